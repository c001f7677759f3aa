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
from comfreysill.platform.table import open_table
from standins.platform_store import Store, build_store_app

GOOD = """
schema: 1
zones: [a, b]
services: [{name: s, zones: [a]}]
teams: [{name: t, weight: 2, services: [s]}, {name: u}]
"""


def find_errors(**changes):
    document = yaml.safe_load(GOOD) | changes
    return [(problem.path, problem.reason) for problem in check_floor(document)]


class DocumentTest(unittest.TestCase):
    def test_good_document_passes(self):
        self.assertEqual(find_errors(), [])

    def test_unknown_references_are_errors_with_paths(self):
        errors = find_errors(
            services=[{"name": "s", "zones": ["c"]}],
            teams=[{"name": "t", "services": ["s", "x"]}],
        )
        self.assertEqual(
            errors,
            [("services[0].zones[0]", "no such zone"), ("teams[0].services[1]", "no such service")],
        )

    def test_names_used_twice_are_errors(self):
        errors = find_errors(teams=[{"name": "t"}, {"name": "t"}])
        self.assertEqual(errors, [("teams[1].name", "the name is used twice")])

    def test_quota_above_the_entry_is_an_error(self):
        errors = find_errors(teams=[{"name": "t", "queued_tasks": 11}], limits={"queued_tasks": 10})
        self.assertEqual([path for path, _ in errors], ["teams[0].queued_tasks"])

    def test_all_schema_errors_come_at_once(self):
        paths = {path for path, _ in find_errors(schema=2, zones=[], color="red")}
        self.assertEqual(paths, {"schema", "zones", "color"})

    def test_built_floor_holds_weights_and_defaults(self):
        floor = build_floor(3, yaml.safe_load(GOOD))
        self.assertEqual((floor.version, floor.teams["t"].weight), (3, 2.0))
        self.assertEqual(floor.teams["u"].weight, 1.0)

    def test_difference_names_the_place(self):
        old, new = yaml.safe_load(GOOD), yaml.safe_load(GOOD.replace("weight: 2", "weight: 5"))
        self.assertEqual(diff_documents(old, new), ["teams.t.weight: 2 -> 5"])


class ServedStore:
    """The store's stand-in on a free port, in a thread of its own."""

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
    document = yaml.safe_load(GOOD.replace("weight: 2", f"weight: {weight}"))
    return FloorVersion(
        version=0, change_id=change_id, author="x", changed_at=1.0, document=document
    )


class AgreementTest(unittest.TestCase):
    def run_with_store(self, trial):
        async def run(served):
            table = open_table(f"http://127.0.0.1:{served.port}")
            try:
                await trial(table, served.store)
            finally:
                await table.session.close()

        with ServedStore() as served:
            asyncio.run(run(served))

    def test_of_two_racing_operators_exactly_one_wins(self):
        async def trial(table, store):
            changes = [make_change(f"change-{n}", n + 1) for n in range(8)]
            answers = await asyncio.gather(*(write_version(table, 0, c) for c in changes))
            won = [answer.ok_value for answer in answers if isinstance(answer, Ok)]
            lost = [answer.err_value.fault for answer in answers if isinstance(answer, Err)]
            self.assertEqual(len(won), 1)
            self.assertEqual(set(lost), {StoreFault.CONFLICT})
            current = (await read_current(table)).ok_value
            self.assertEqual(current.change_id, won[0].change_id)

        self.run_with_store(trial)

    def test_lost_answer_is_resolved_by_the_change_id(self):
        async def trial(table, store):
            store.lose_answers = 1
            first = await write_version(table, 0, make_change("change-1", 2))
            self.assertIsInstance(first, Err)
            again = await write_version(table, 0, make_change("change-1", 2))
            self.assertEqual(again.ok_value.version, 1)
            self.assertEqual(len((await read_history(table)).ok_value), 1)

        self.run_with_store(trial)

    def test_outage_changes_nothing(self):
        async def trial(table, store):
            store.outage = True
            answer = await write_version(table, 0, make_change("change-1", 2))
            self.assertEqual(answer.err_value.fault, StoreFault.UNREACHABLE)
            store.outage = False
            self.assertIsNone((await read_current(table)).ok_value)

        self.run_with_store(trial)


class SchemaPageTest(unittest.TestCase):
    def test_schema_in_docs_is_the_one_in_force(self):
        page = pathlib.Path(__file__).parent.parent / "docs" / "floor.schema.json"
        self.assertEqual(json.loads(page.read_text()), FLOOR_SCHEMA)
