import pathlib
import tempfile
import unittest

import orjson

from comfreysill.cli.explain import describe_record, describe_trace, explain_request
from comfreysill.exceptions import RefusedError, UsageError
from comfreysill.exchange.messages import Outcome
from comfreysill.placement.placement import refuse_unmeetable
from comfreysill.request_trace.records import Record, decode_line, read_records
from comfreysill.request_trace.trace import CONTEXT_EVENTS, build_trace
from tests import test_placement

SOURCES = pathlib.Path(__file__).parent.parent / "src" / "comfreysill"


def line(time, process, event, **fields):
    return orjson.dumps({"time": time, "process": process, "event": event, **fields})


def accepted(time=10.0, process="e1"):
    return line(time, process, "request accepted", request="r1", tasks=2)


def ended(verdict, time=11.0, why="", **fields):
    return line(time, "e1", "request ended", request="r1", verdict=verdict, why=why, **fields)


class TestTrace(unittest.TestCase):
    def build(self, *lines):
        return build_trace([decode_line(text) for text in lines], "r1")

    def test_causes(self):
        failed = [line(10.4, "e1", "task failed", task="r1/0/0", agent=name) for name in "ab"]
        returned = line(
            10.5, "e1", "task rescheduled", task="r1/0/1", agent="a", why="it stood still"
        )
        cases = (
            ((accepted(), ended("COMPLETED", late=False)), "completed in time"),
            (
                (
                    accepted(),
                    line(10.3, "e1", "cancelling received", request="r1", entry="e2@7"),
                    ended("CANCELLED", late=False),
                ),
                "cancelled by a caller, at e2",
            ),
            (
                (line(10.3, "e1", "request not taken: it was cancelled", request="r1"),),
                "cancelled by a caller, at an entry",
            ),
            ((accepted(), ended("NOT_RUN", why="no room", age=1.0)), "refused before it ran"),
            (
                (accepted(), *failed, ended("FAILED")),
                "tasks failed on a, b: likely caused by the request",
            ),
            ((accepted(), failed[0], ended("FAILED")), "tasks failed only on a: "),
            ((accepted(), returned, ended("COMPLETED", late=True)), "a (it stood still)"),
            (
                (
                    accepted(),
                    line(10.1, "e1", "tasks placed", request="r1", agent="a"),
                    line(10.2, "a", "runner crashed", tasks=["r1/0/0"]),
                    ended("FAILED", why="task 0/0 crashes the runners that start it"),
                ),
                "given up: task 0/0 crashes the runners that start it; crashed: a",
            ),
            ((accepted(), ended("MAY_HAVE_RUN", why="its caller left")), "its caller left"),
            (
                (
                    line(10.0, "e1", "entry was suspended or busy", seconds=3.5),
                    line(
                        10.1,
                        "e1",
                        "request refused: its caller may have left",
                        request="r1",
                        unread=3.4,
                        wait=1.5,
                    ),
                ),
                "e1 may have read it 3.4 s after it was sent, and its caller waits 1.5 s",
            ),
            ((accepted(), line(10.9, "e1", "entry started")), "e1 died during the request"),
            ((accepted(), line(10.9, "e2", "entry started")), "e1 logged no end"),
            ((ended("COMPLETED", time=9.0), accepted()), "e1 logged no end"),
            ((accepted(time=10.0, process="e2"),), "e2 logged no end"),
        )
        for lines, expected in cases:
            self.assertIn(expected, self.build(*lines).cause)

    def test_context_is_limited_to_involved_processes(self):
        trace = self.build(
            line(1.0, "e1", "entry started"),
            accepted(),
            line(10.1, "e1", "tasks placed", request="r1", agent="a", waited=0.1),
            line(10.2, "a", "target suspended", seconds=1.0),
            line(10.2, "b", "target suspended", seconds=1.0),
            line(10.3, "e1", "tasks placed", request="r2", agent="b"),
            ended("COMPLETED", late=False),
        )
        self.assertEqual(len(trace.related), 3)
        self.assertEqual([record.process for record in trace.context], ["e1", "e1", "a", "e1"])
        self.assertEqual(len(describe_trace(trace)["lines"]), 4)
        self.assertIn("agent=a", describe_record(trace.context[1], 10.0))

    def test_task_of_request_with_same_id_prefix_is_not_related(self):
        trace = self.build(accepted(), line(10.2, "e1", "task failed", task="r11/0/0", agent="a"))
        self.assertEqual(len(trace.related), 1)


class TestLogFiles(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "log"

    def test_foreign_lines_and_line_prefixes_are_ignored(self):
        self.path.write_bytes(b"x\n{}\n[1]\n{broken\n 1.0 e1 " + accepted() + b"\n")
        (record,) = read_records([self.path])
        self.assertEqual((record.process, record.fields["request"]), ("e1", "r1"))

    def test_missing_logs_and_unknown_requests_are_errors(self):
        with self.assertRaises(UsageError):
            read_records([self.path])
        self.path.write_bytes(b"nothing\n")
        with self.assertRaises(UsageError):
            read_records([self.path])
        self.path.write_bytes(accepted())
        with self.assertRaises(RefusedError):
            explain_request("r2", [self.path])


class TestEntryEvents(unittest.TestCase):
    """Determines causes from the events that an entry emits, not from hand-written lines."""

    def setUp(self):
        self.placement_test = test_placement.TestPlacement()
        self.placement_test.setUp()

    def explain(self, request_id):
        events = enumerate(self.placement_test.state.events)
        records = [
            Record(time=float(number), process="e", event=text, fields=fields)
            for number, (text, fields) in events
        ]
        return build_trace(records, request_id).cause

    def test_a_refused_request(self):
        self.placement_test.submit(test_placement.build_request("r1"))
        self.placement_test.now += 30.0
        refuse_unmeetable(self.placement_test.state, self.placement_test.now)
        self.assertIn("refused before it ran, after 30.0 s", self.explain("r1"))

    def test_a_failed_request(self):
        self.placement_test.submit(test_placement.build_request("r1", tasks=1))
        for attempt in (1, 2):
            (agent,) = self.placement_test.flush()[0]
            self.placement_test.deliver_frame(
                agent, task_ends=[("r1/0/0", attempt, Outcome.FAILED)]
            )
        self.assertIn("tasks failed on a, b: likely caused by the request", self.explain("r1"))

    def test_a_request_that_was_late_after_its_agent_was_lost(self):
        self.placement_test.submit(test_placement.build_request("r1", tasks=1))
        (agent,) = self.placement_test.flush()[0]
        self.placement_test.deliver_frame(agent, task_ends=[("r1/0/0", 1, Outcome.LOST)])
        self.placement_test.now += 5.0
        for name in "ab":
            self.placement_test.deliver_frame(name)
        (other,) = self.placement_test.flush()[0]
        self.assertNotEqual(other, agent)
        self.placement_test.deliver_frame(other, task_ends=[("r1/0/0", 2, Outcome.DONE)])
        self.assertIn(f"late because tasks were retried: {agent}", self.explain("r1"))

    def test_context_events_are_emitted_by_processes(self):
        all_sources = "".join(path.read_text() for path in SOURCES.rglob("*.py"))
        trace_source = (SOURCES / "request_trace" / "trace.py").read_text()
        for event in CONTEXT_EVENTS:
            self.assertGreater(
                all_sources.count(f'"{event}"'), trace_source.count(f'"{event}"'), event
            )
