import asyncio
import json
import pathlib
import socket
import threading
import time
import unittest

import uvicorn
import yaml
from result import Err, Ok

from comfreysill.entry.administration import check_floor
from comfreysill.floor.document import build_floor, diff_documents
from comfreysill.floor.schema import FLOOR_SCHEMA
from comfreysill.platform.floors import FloorVersion, read_current, read_history, write_version
from comfreysill.platform.store import StoreFault
from comfreysill.platform.table import open_store_from_url
from standins.platform_store import Store, build_store_app

VALID_DOCUMENT = """
schema: 1
zones: [a, b]
services: [{name: s, zones: [a]}]
teams: [{name: t, weight: 2, services: [s]}, {name: u}]
"""


def find_errors(**changes):
    document = yaml.safe_load(VALID_DOCUMENT) | changes
    return [(problem.path, problem.reason) for problem in check_floor(document)]


class FloorDocumentTest(unittest.TestCase):
    def test_valid_document_has_no_errors(self):
        self.assertEqual(find_errors(), [])

    def test_unknown_reference_is_an_error_with_its_path(self):
        errors = find_errors(
            services=[{"name": "s", "zones": ["c"]}],
            teams=[{"name": "t", "services": ["s", "x"]}],
        )
        self.assertEqual(
            errors,
            [("services[0].zones[0]", "no such zone"), ("teams[0].services[1]", "no such service")],
        )

    def test_duplicate_name_is_an_error(self):
        errors = find_errors(teams=[{"name": "t"}, {"name": "t"}])
        self.assertEqual(errors, [("teams[1].name", "the name is used twice")])

    def test_team_quota_above_the_entry_limit_is_an_error(self):
        errors = find_errors(teams=[{"name": "t", "queued_tasks": 11}], limits={"queued_tasks": 10})
        self.assertEqual([path for path, _ in errors], ["teams[0].queued_tasks"])

    def test_all_schema_errors_are_reported_together(self):
        paths = {path for path, _ in find_errors(schema=2, zones=[], color="red")}
        self.assertEqual(paths, {"schema", "zones", "color"})

    def test_build_floor_applies_weights_and_defaults(self):
        floor = build_floor(3, yaml.safe_load(VALID_DOCUMENT))
        self.assertEqual((floor.version, floor.teams["t"].weight), (3, 2.0))
        self.assertEqual(floor.teams["u"].weight, 1.0)

    def test_difference_includes_the_path(self):
        old, new = (
            yaml.safe_load(VALID_DOCUMENT),
            yaml.safe_load(VALID_DOCUMENT.replace("weight: 2", "weight: 5")),
        )
        self.assertEqual(diff_documents(old, new), ["teams.t.weight: 2 -> 5"])


class StoreServer:
    """Runs the stand-in for the platform's store on a free port in a separate thread."""

    def __init__(self):
        self.store = Store()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        config = uvicorn.Config(
            build_store_app(self.store),
            port=self.port,
            log_level="error",
            lifespan="off",
            ws="none",
        )
        self.server = uvicorn.Server(config)
        self.thread = threading.Thread(target=self.server.run)

    def __enter__(self):
        self.thread.start()
        while not self.server.started:
            time.sleep(0.01)
        return self

    def __exit__(self, *details):
        self.server.should_exit = True
        self.thread.join()


def make_change(change_id, weight):
    document = yaml.safe_load(VALID_DOCUMENT.replace("weight: 2", f"weight: {weight}"))
    return FloorVersion(
        version=0, change_id=change_id, author="x", changed_at=1.0, document=document
    )


class FloorVersionsTest(unittest.TestCase):
    def run_with_store(self, scenario):
        async def run(store_server):
            client = open_store_from_url(f"http://127.0.0.1:{store_server.port}")
            try:
                await scenario(client, store_server.store)
            finally:
                await client.session.close()

        with StoreServer() as store_server:
            asyncio.run(run(store_server))

    def test_only_one_of_concurrent_changes_is_stored(self):
        async def scenario(client, store):
            changes = [make_change(f"change-{n}", n + 1) for n in range(8)]
            answers = await asyncio.gather(*(write_version(client, 0, c) for c in changes))
            stored = [answer.ok_value for answer in answers if isinstance(answer, Ok)]
            faults = [answer.err_value.fault for answer in answers if isinstance(answer, Err)]
            self.assertEqual(len(stored), 1)
            self.assertEqual(set(faults), {StoreFault.CONFLICT})
            current = (await read_current(client)).ok_value
            self.assertEqual(current.change_id, stored[0].change_id)

        self.run_with_store(scenario)

    def test_retry_after_a_lost_answer_adds_no_version(self):
        async def scenario(client, store):
            store.lose_answers = 1
            unanswered = await write_version(client, 0, make_change("change-1", 2))
            self.assertIsInstance(unanswered, Err)
            repeated = await write_version(client, 0, make_change("change-1", 2))
            self.assertEqual(repeated.ok_value.version, 1)
            self.assertEqual(len((await read_history(client)).ok_value), 1)

        self.run_with_store(scenario)

    def test_outage_is_reported_and_stores_nothing(self):
        async def scenario(client, store):
            store.outage = True
            answer = await write_version(client, 0, make_change("change-1", 2))
            self.assertEqual(answer.err_value.fault, StoreFault.UNREACHABLE)
            store.outage = False
            self.assertIsNone((await read_current(client)).ok_value)

        self.run_with_store(scenario)


class FloorSchemaTest(unittest.TestCase):
    def test_schema_in_docs_matches_the_code(self):
        page = pathlib.Path(__file__).parent.parent / "docs" / "floor.schema.json"
        self.assertEqual(json.loads(page.read_text()), FLOOR_SCHEMA)
