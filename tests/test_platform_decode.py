import json
import os
import pathlib
import re
import tempfile
import unittest
from unittest import mock

import yaml
from result import Err, Ok

from comfreysill.exceptions import UsageError
from comfreysill.platform.configuration import decode_configuration
from comfreysill.platform.crashes import decode_crashes
from comfreysill.platform.evacuations import decode_evacuations
from comfreysill.platform.members import decode_members
from comfreysill.platform.runner import decode_task, encode_task
from comfreysill.platform.runner_reports import decode_report
from comfreysill.platform.settings import read_instance_settings
from comfreysill.platform.settings_file import SETTINGS_VARIABLE
from comfreysill.platform.store import RowSet, StoredRow
from comfreysill.platform.submission import (
    MAX_PAYLOAD_CHARS,
    MAX_STEPS_PER_REQUEST,
    MAX_TASKS_PER_REQUEST,
    Rejection,
    decode_submission,
)
from comfreysill.routes.table import choose_newer, find_route

SOURCES = pathlib.Path(__file__).parent.parent / "src" / "comfreysill"
SETTINGS = """
node: e1
zone: z1
ip: 10.0.0.1
unknown-field: 5
listen: {front: "10.0.0.1:81", ready: "10.0.0.1:82"}
port-range: [7720, 7735]
seeds: ["10.0.0.2:8166"]
bounds: {grace-s: 6}
platform: {address: "10.9.0.1:80"}
"""


def encode_configuration(version=3, **changes):
    route = {
        "name": "r1",
        "host": "h.example",
        "path-prefix": "/a/",
        "service": "s",
        "priority": 1,
        "max-attempts": 4,
        "stretch": 1.6,
        "target-latency-ms": 60,
        **changes,
    }
    route_with_longer_prefix = {**route, "name": "r2", "path-prefix": "/a/b/"}
    document = {
        "version": version,
        "routes": [route, route_with_longer_prefix],
        "limits": {"max-body-bytes": 9},
    }
    return json.dumps(document).encode()


class TestSettings(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.yaml"
            path.write_text(text)
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                return read_instance_settings()

    def test_fields(self):
        settings = self.read(SETTINGS)
        self.assertEqual((settings.name, settings.grace_seconds), ("e1", 6.0))
        self.assertEqual(str(settings.link), "10.0.0.1:7720")
        self.assertEqual(settings.entries, ("10.0.0.2:7720",))
        self.assertIsNone(settings.runner)
        self.assertEqual(settings.remote_factor, 1.0)
        with_factor = SETTINGS.replace("grace-s: 6", "grace-s: 6, remote-factor: 2")
        self.assertEqual(self.read(with_factor).remote_factor, 2.0)

    def test_the_share_of_links_by_need_is_optional_and_bounded(self):
        self.assertEqual(self.read(SETTINGS).max_link_share, 0.0)
        self.assertEqual(self.read(SETTINGS + "\nmax-link-share: 0.75").max_link_share, 0.75)
        for share in ("-0.1", "1.1", "all"):
            with self.assertRaises(UsageError) as caught:
                self.read(f"{SETTINGS}\nmax-link-share: {share}")
            self.assertIn("max-link-share", str(caught.exception))

    def test_yaml_and_json_are_read_alike(self):
        settings = self.read(json.dumps(yaml.safe_load(SETTINGS)))
        self.assertEqual((settings.name, str(settings.link)), ("e1", "10.0.0.1:7720"))

    def test_invalid_files_are_reported(self):
        for text in (
            "a: [",
            "node: e1",
            "[]",
            "{",
            '{"node": 5}',
            SETTINGS.replace("ip: 10.0.0.1", ""),
        ):
            with self.assertRaises(UsageError) as caught:
                self.read(text)
            self.assertIn("boot.yaml", str(caught.exception))


class TestConfiguration(unittest.TestCase):
    def test_longest_prefix_wins(self):
        table = decode_configuration(encode_configuration()).ok_value
        self.assertEqual(find_route(table, "h.example", "/a/b/1").name, "r2")
        self.assertEqual(find_route(table, "h.example", "/a/1").name, "r1")
        self.assertIsNone(find_route(table, "h.example", "/b/1"))
        self.assertIsNone(find_route(table, "other", "/a/1"))
        self.assertEqual(find_route(table, "h.example", "/a/1").slack_seconds, 0.06)

    def test_older_version_is_not_adopted(self):
        newer = decode_configuration(encode_configuration(5)).ok_value
        older = decode_configuration(encode_configuration(4)).ok_value
        self.assertIs(choose_newer(newer, older), newer)
        self.assertIs(choose_newer(older, newer), newer)

    def test_invalid_documents_are_rejected(self):
        for text in (
            b"",
            b"[]",
            b"{}",
            b'{"version": "x"}',
            b'{"version":1,"routes":[{}]}',
            # Without routes every queue would be gone.
            b'{"version":9}',
            encode_configuration(stretch="nan"),
            encode_configuration(priority=-1),
        ):
            self.assertIsInstance(decode_configuration(text), Err, text)


class TestSubmission(unittest.TestCase):
    def setUp(self):
        table = decode_configuration(encode_configuration()).ok_value
        self.route = find_route(table, "h.example", "/a/1")

    def decode(self, **changes):
        step = {"count": 2, "cpu": 500, "mem-mb": 8, "estimate-ms": 250}
        body = {"spec": "t", "best-effort": True, "steps": [step, {**step, "after": [0]}]}
        body.update(changes)
        return decode_submission("id", self.route, json.dumps(body).encode())

    def test_fields(self):
        request = self.decode().ok_value
        self.assertEqual([step.after for step in request.steps], [(), (0,)])
        self.assertEqual(request.steps[0].estimate, 0.25)
        self.assertEqual(request.max_attempts, 4)

    def test_unsupported_features_are_rejected(self):
        stored = self.decode(**{"best-effort": False}).err_value
        self.assertEqual(stored.rejection, Rejection.UNSUPPORTED)
        gang = {"count": 2, "gang": True}
        self.assertEqual(self.decode(steps=[gang]).err_value.rejection, Rejection.UNSUPPORTED)

    def test_invalid_documents_are_rejected(self):
        for changes in (
            {"steps": []},
            {"steps": [{"count": 0}]},
            {"steps": [{"count": 1, "after": [0]}]},
            {"steps": 5},
            {"spec": 5},
        ):
            error = self.decode(**changes).err_value
            self.assertEqual(error.rejection, Rejection.INVALID, changes)
        self.assertIsInstance(decode_submission("id", self.route, b"\xff"), Err)

    def test_values_out_of_range_are_rejected_with_the_path_of_the_field(self):
        """Such values have ended entries, or kept them busy for seconds."""
        for field, values in (
            ("estimate-ms", ("nan", "inf", -1, 1e300, None)),
            ("cpu", (-1, 1 << 64, 1.5, "5", True)),
            ("mem-mb", (-1, 1 << 31)),
            ("gpus", (-1,)),
            ("anti-affinity", (-1,)),
            ("count", (0, -1, 20_000_000, "8")),
            ("requires", (5, "x" * 1000)),
            ("data-rack", ([],)),
            ("after", ([-1], [1], ["0"], [0] * 5000)),
        ):
            for value in values:
                step = {"count": 1, field: value}
                error = self.decode(steps=[step]).err_value
                self.assertEqual(error.rejection, Rejection.INVALID, step)
                self.assertIn(f"$.steps[0].{field}", error.detail.replace("[...]", ""), step)

    def test_oversized_requests_are_rejected(self):
        step = {"count": 1}
        for changes, path in (
            ({"steps": [step] * (MAX_STEPS_PER_REQUEST + 1)}, "$.steps"),
            ({"steps": [{"count": MAX_TASKS_PER_REQUEST // 2 + 1}] * 2}, "$.steps"),
            ({"spec": "x" * (MAX_PAYLOAD_CHARS + 1)}, "$.spec"),
        ):
            self.assertIn(path, self.decode(**changes).err_value.detail)
        self.assertIsInstance(self.decode(steps=[{"count": MAX_TASKS_PER_REQUEST}]), Ok)

    def test_numbers_without_a_value_and_deep_nesting_are_rejected(self):
        for body in (
            b'{"best-effort":true,"steps":[{"count":1,"estimate-ms":NaN}]}',
            b'{"best-effort":true,"steps":[{"count":1,"estimate-ms":1e999}]}',
            b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ):
            self.assertIsInstance(decode_submission("id", self.route, body), Err)

    def test_request_ids_that_tasks_can_not_be_named_after_are_rejected(self):
        for request_id in ("a/b", "a.b", "", "x" * 65, "\ud800", "a\n"):
            body = b'{"best-effort":true,"steps":[{"count":1}]}'
            self.assertIsInstance(decode_submission(request_id, self.route, body), Err, request_id)


class TestReports(unittest.TestCase):
    def decode(self, **changes):
        body = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 4,
            "born": 17,
            "clock-ms": 482113,
            "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 0},
            "labels": ["a", "r1-3"],
            **changes,
        }
        return decode_report("i-1", json.dumps(body).encode())

    def test_fields(self):
        report = self.decode().ok_value
        self.assertEqual((report.lifetime.runner_id, report.lifetime.started_at_ms), ("i-1", 17))
        self.assertEqual((report.cpu, report.gpus, report.labels), (16000, 0, ("a", "r1-3")))
        self.assertTrue(self.decode(state="draining").ok_value.draining)

    def test_malformed_reports_are_rejected(self):
        for changes in (
            {"state": "resting"},
            {"service": 5},
            {"capacity": None},
            {"capacity": {"cpu": "x"}},
            {"seq": None},
        ):
            self.assertIsInstance(self.decode(**changes), Err, changes)
        self.assertIsInstance(decode_report("i-1", b"\xff{"), Err)


class TestNames(unittest.TestCase):
    def test_tasks(self):
        self.assertEqual(encode_task("ab12/1/17"), "ab12.0.1.17")
        self.assertEqual(decode_task("ab12.0.1.17"), "ab12/1/17")

    def test_members(self):
        rows = [
            StoredRow(key="a", value=b'{"role":"agent","address":"h:1"}', version=1),
            StoredRow(key="b", value=b"no", version=2),
            StoredRow(key="c", value=None, version=3),
        ]
        found = decode_members(RowSet(rows=rows, version=3))
        self.assertEqual([member.name for member in found.members], ["a"])
        self.assertEqual((found.unreadable, found.removed), (1, ["c"]))

    def test_member_rows_that_name_no_usable_address_are_skipped(self):
        documents = (
            {"role": "agent", "address": "h:1", "service": ["s"]},
            {"role": "agent", "address": "h"},
            {"role": "agent", "address": "h:99999"},
            {"role": "agent", "address": "h" * 100 + ":1"},
            {"role": "agent", "address": 5},
            {"role": "other", "address": "h:1"},
            [],
        )
        rows = [
            StoredRow(key=str(number), value=json.dumps(document).encode(), version=number + 1)
            for number, document in enumerate(documents)
        ]
        found = decode_members(RowSet(rows=rows, version=9))
        self.assertEqual((found.members, found.unreadable), ([], len(documents)))

    def test_crashes(self):
        rows = [
            StoredRow(key="a/i@2", value=b'{"tasks":["r/0/1","r/0/0"]}', version=3),
            StoredRow(key="a/i@1", value=b'{"tasks":["q/0/0"],"later":1}', version=2),
            StoredRow(key="b/i@1", value=None, version=4),
            StoredRow(key="b/i@2", value=b'{"tasks":[1]}', version=5),
            StoredRow(key="b/i@3", value=b"", version=6),
        ]
        found = decode_crashes(RowSet(rows=rows, version=6))
        self.assertEqual(
            [(report.crash_id, report.tasks) for report in found.reports],
            [("a/i@1", ("q/0/0",)), ("a/i@2", ("r/0/1", "r/0/0"))],
        )
        self.assertEqual(found.unreadable, 2)

    def test_evacuations(self):
        values = {"a": b"{}", "b": None, "c": b"\xff{", "d": b"[1]", "e": b" " * 10_000 + b"1"}
        rows = [
            StoredRow(key=f"evacuate/{zone}", value=value, version=number + 1)
            for number, (zone, value) in enumerate(values.items())
        ]
        odd_keys = ("config", "evacuate", "evacuate/", "evacuate/" + "z" * 300, "evacuate/\n")
        rows += [StoredRow(key=key, value=b"{}", version=8) for key in odd_keys]
        rows.append(StoredRow(key="evacuate/f", value=b"{}", version=0))
        read = RowSet(rows=rows, version=9, whole=True, unreadable=("evacuate/g", "x"))
        found = decode_evacuations(read)
        reading = found.reading
        self.assertEqual(
            [(status.zone, status.version, status.closed) for status in reading.statuses],
            [("a", 1, True), ("b", 2, False), ("c", 3, True), ("d", 4, True), ("e", 5, True)],
        )
        self.assertEqual((reading.version, reading.whole, reading.undated), (9, True, ("f", "g")))
        self.assertEqual([entry.name for entry in found.odd], ["evacuate/c", "evacuate/e"])
        self.assertEqual(len(found.rejected), 3)

    def test_an_address_belongs_to_the_member_that_registered_last(self):
        rows = [
            StoredRow(key="new", value=b'{"role":"agent","address":"h:1"}', version=7),
            StoredRow(key="old", value=b'{"role":"agent","address":"h:1"}', version=2),
        ]
        found = decode_members(RowSet(rows=rows, version=7))
        self.assertEqual([member.name for member in found.members], ["new"])

    def test_platform_names_occur_only_in_the_adapter(self):
        """Hyphenated fields, call paths and header names of the platform occur nowhere else."""
        adapter = SOURCES / "platform"
        names = set()
        for path in adapter.glob("*.py"):
            for text in re.findall(r'"([^"\n]+)"', path.read_text()):
                if re.fullmatch(r"[a-z]+(-[a-z]+)+|/api/.*|X-[A-Za-z-]+", text):
                    names.add(f'"{text}"')
        names -= {'"retry-after"', '"content-type"', '"content-length"'}
        self.assertGreater(len(names), 20)
        for path in SOURCES.rglob("*.py"):
            if adapter not in path.parents:
                text = path.read_text()
                found = sorted(name for name in names if name in text)
                self.assertEqual(found, [], str(path))


class TestResults(unittest.TestCase):
    def test_valid_configuration_is_decoded(self):
        self.assertIsInstance(decode_configuration(encode_configuration()), Ok)
