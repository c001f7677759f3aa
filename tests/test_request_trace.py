import ast
import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

import orjson

from comfreysill.arrivals import Arrival
from comfreysill.cli.explain import describe_record, describe_trace, explain_request
from comfreysill.exceptions import RefusedError, UsageError
from comfreysill.exchange.messages import Outcome
from comfreysill.execution.calls import ReplyStatus
from comfreysill.gateway.actor import Actor
from comfreysill.gateway.handlers import HANDLERS
from comfreysill.gateway.messages import CallerDisconnected, Reply
from comfreysill.placement.placement import refuse_unmeetable
from comfreysill.placement.requests import disconnect_caller
from comfreysill.platform.ingress import build_callers_app
from comfreysill.request.types import CallerWait, Verdict
from comfreysill.request_trace.holdings import build_holdings, describe_holding
from comfreysill.request_trace.records import Record, decode_line, read_records
from comfreysill.request_trace.trace import CONTEXT_EVENTS, build_trace
from comfreysill.routes.table import Route, RouteTable
from comfreysill.servers import ARRIVAL_EXTENSION
from tests import test_execution, test_placement

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
        refused = line(
            10.4, "a", "order refused", task="r1/0/0", entry="e1@1", why="its zone is closed"
        )
        cases = (
            ((accepted(), ended("COMPLETED", late=False)), "completed in time"),
            (
                (accepted(), refused, ended("COMPLETED", late=True)),
                "late because tasks were retried: a (its zone is closed)",
            ),
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
            (
                (
                    accepted(),
                    line(
                        10.3,
                        "e1",
                        "wait for a near place ended",
                        request="r1",
                        rack="k",
                        waited=0.2,
                    ),
                    ended("COMPLETED", late=True),
                ),
                "late; its last tasks were placed 0.000 s after it was received; "
                "tasks waited 0.200 s in vain for room in rack k",
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


def placed(time, process, agent, number=1):
    tasks = [f"0/0#{number}"]
    return line(time, process, "tasks placed", request="r1", agent=agent, tasks=tasks)


def read(time, process, unread=0.002, connection=0.001):
    fields = {"unread": unread, "connection": connection, "wait": 1.5, "retry": 1.3}
    return line(time, process, "request accepted", request="r1", tasks=1, **fields)


def left(time, process):
    event = "request cancelled: its last caller disconnected"
    return line(time, process, event, request="r1", age=1.0)


def done(time, process, verdict="COMPLETED"):
    return line(time, process, "request ended", request="r1", verdict=verdict, why="", late=False)


class TestSimultaneousEntries(unittest.TestCase):
    """Each way in which two entries come to run a request at once leaves other lines; issue 43."""

    def build(self, *lines):
        records = sorted((decode_line(text) for text in lines), key=lambda record: record.time)
        return build_trace(records, "r1")

    def play(self, first_at, second_at, first=(), second=(), **fields):
        """Two acceptances, each with a task placed at once and an end after 1.4 s."""
        return self.build(
            read(first_at, "e1", **fields),
            placed(first_at, "e1", "a"),
            *(first or (done(first_at + 1.4, "e1"),)),
            read(second_at, "e2"),
            placed(second_at, "e2", "b"),
            *(second or (done(second_at + 1.4, "e2"),)),
        )

    def test_a_connection_that_broke_unseen(self):
        cause = self.play(10.0, 11.35).cause
        self.assertIn("e1 and e2 had the request at once, for 0.050 s, accepted 1.350 s", cause)
        self.assertIn("its caller's connection may have broken unseen", cause)
        self.assertIn("e1 never saw its caller leave", cause)

    def test_a_connection_whose_end_was_told_late(self):
        ends = (left(11.5, "e1"), done(11.5, "e1", "MAY_HAVE_RUN"))
        cause = self.play(10.0, 11.35, ends).cause
        self.assertIn("connection may have broken unseen", cause)
        self.assertIn("e1 saw its caller leave 0.150 s after e2 accepted", cause)

    def test_a_request_that_was_held_up_on_its_way(self):
        cause = self.play(10.0, 10.8, connection=2.0).cause
        self.assertIn("for 0.600 s, accepted 0.800 s apart", cause)
        self.assertIn("its connection to e1 was open for 2.000 s before it came", cause)
        self.assertIn("callers send again after 1.300 s: it came late to one of the two", cause)
        self.assertNotIn("unseen", cause)
        self.assertIn("it came late to one of the two", self.play(10.0, 10.8).cause)

    def test_a_request_on_a_connection_with_an_earlier_one(self):
        self.assertIn("broken unseen", self.play(10.0, 11.35, connection=None).cause)

    def test_a_request_that_was_read_after_a_pause(self):
        paused = line(10.001, "e1", "entry was suspended or busy", seconds=3.5)
        cause = self.build(
            read(9.5, "e2"),
            placed(9.5, "e2", "b"),
            read(10.0, "e1", unread=3.4),
            placed(10.0, "e1", "a"),
            paused,
            left(10.002, "e1"),
            done(10.002, "e1", "MAY_HAVE_RUN"),
            done(10.9, "e2"),
        ).cause
        self.assertIn("e1 may have read it 3.400 s after it was sent", cause)
        self.assertIn("e1 was suspended or busy for 3.500 s", cause)
        self.assertNotIn("e2 was suspended", cause)
        self.assertIn("e2 never saw its caller leave", cause)
        self.assertIn("e1 saw its caller leave 0.002 s after it accepted", cause)
        self.assertNotIn("unseen", cause)

    def test_a_pause_after_both_had_it_explains_nothing(self):
        paused = line(12.7, "e1", "entry was suspended or busy", seconds=1.0)
        second = (paused, done(12.75, "e2"))
        self.assertIn("broken unseen", self.play(10.0, 11.35, second=second).cause)

    def test_a_run_counts_until_its_agent_has_stopped_it(self):
        fields = {
            "task": "r1/0/0",
            "attempt": 1,
            "outcome": "LOST",
            "why": "its entry asked for it",
        }
        ends = (left(11.3, "e1"), done(11.3, "e1", "MAY_HAVE_RUN"))
        stopped = line(11.5, "a", "run ended early", entry="e1@5f", **fields)
        rescheduled = line(11.5, "e1", "task rescheduled", agent="a", **fields)
        for stop in (stopped, rescheduled):
            trace = self.play(10.0, 11.35, (*ends, stop))
            self.assertIn("at once, for 0.150 s", trace.cause)
            self.assertIn("e1 saw its caller leave 0.050 s before e2 accepted", trace.cause)
        self.assertEqual(self.play(10.0, 11.35, ends).cause, "completed in time")
        of_the_second = line(11.5, "b", "run ended early", entry="e2@5f", **fields)
        trace = self.play(10.0, 11.35, (*ends, of_the_second))
        self.assertEqual(trace.cause, "completed in time")

    def test_one_entry_after_the_other_or_without_tasks_is_none(self):
        self.assertEqual(self.play(10.0, 12.0).cause, "completed in time")
        for process in ("e1", "e2"):
            # The second acceptance places nothing: an entry may refer it to the first one.
            trace = self.build(
                read(10.0, "e1"),
                placed(10.0, "e1", "a"),
                read(11.0, process),
                done(11.4, "e1"),
                done(11.4, process),
            )
            self.assertEqual(trace.cause, "completed in time")
        stopped = line(11.5, "a", "run ended early", entry="e1@5f", task="r1/0/0", outcome="LOST")
        trace = self.build(
            read(10.0, "e1"),
            placed(10.0, "e1", "a"),
            done(11.0, "e1", "MAY_HAVE_RUN"),
            stopped,
            read(11.2, "e1"),
            placed(11.2, "e1", "b"),
            done(12.6, "e1"),
        )
        self.assertEqual(trace.cause, "completed in time")

    def test_logs_of_earlier_versions_tell_no_age(self):
        cause = self.build(
            accepted(10.0, "e1"),
            placed(10.0, "e1", "a"),
            accepted(11.35, "e2"),
            placed(11.35, "e2", "b"),
            done(11.4, "e1"),
            done(12.8, "e2"),
        ).cause
        self.assertIn("had the request at once, for 0.050 s", cause)
        self.assertIn("the logs don't tell how old it was", cause)

    def test_each_acceptance_is_shown_with_what_became_of_it(self):
        ends = (left(11.5, "e1"), done(11.5, "e1", "MAY_HAVE_RUN"))
        trace = self.play(10.0, 11.35, ends)
        first, second = (describe_holding(holding, 10.0) for holding in trace.holdings)
        for part in (
            "e1 accepted it at +0.000",
            "connection open 0.001 s",
            "unread 0.002 s",
            "placed at +0.000 on a",
            "caller left at +1.500",
            "MAY_HAVE_RUN at +1.500",
        ):
            self.assertIn(part, first)
        self.assertIn("e2 accepted it at +1.350", second)
        documents = describe_trace(trace)["holdings"]
        self.assertEqual([document["entry"] for document in documents], ["e1", "e2"])
        self.assertEqual(documents[0]["left_at"], 11.5)
        self.assertIn(
            "no end logged", describe_holding(self.build(read(10.0, "e1")).holdings[0], 10)
        )


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

    def find_events(self, text):
        return [fields for event, fields in self.placement_test.state.events if event == text]

    def test_an_acceptance_tells_how_old_the_request_may_be(self):
        case = self.placement_test
        case.state.retry_seconds = 1.3
        wait = CallerWait(
            sent_after=case.now - 0.3, read_at=case.now, ends_at=case.now + 1.5, connected_at=8.0
        )
        case.submit(test_placement.build_request("r1"), wait=wait)
        (fields,) = self.find_events("request accepted")
        ages = {name: fields[name] for name in ("unread", "connection", "wait", "retry")}
        self.assertEqual(ages, {"unread": 0.3, "connection": 2.0, "wait": 1.5, "retry": 1.3})
        case.submit(test_placement.build_request("r2"), caller=2)
        self.assertIsNone(self.find_events("request accepted")[1]["connection"])

    def test_callers_that_join_and_leave_are_told_of(self):
        case = self.placement_test
        case.submit(test_placement.build_request("r1", tasks=1), caller=1)
        (agent,) = case.flush()[0]
        case.submit(test_placement.build_request("r1", tasks=1), caller=2)
        (joined,) = self.find_events("request joined")
        self.assertEqual((joined["callers"], joined["has_verdict"]), (1, False))
        case.now += 0.5
        disconnect_caller(case.state, 1, case.now)
        (fields,) = self.find_events("caller disconnected")
        self.assertEqual(fields, {"request": "r1", "age": 0.5, "callers": 1})
        disconnect_caller(case.state, 2, case.now)
        (fields,) = self.find_events("request cancelled: its last caller disconnected")
        self.assertEqual(fields, {"request": "r1", "age": 0.5})
        case.submit(test_placement.build_request("r1", tasks=1), caller=3)
        self.assertTrue(self.find_events("request joined")[1]["has_verdict"])
        disconnect_caller(case.state, 3, case.now)
        self.assertEqual(self.find_events("caller disconnected")[1]["callers"], 0)

    def test_a_repetition_that_is_answered_from_the_cache_is_told_of(self):
        case = self.placement_test
        case.submit(test_placement.build_request("r1", tasks=1))
        (agent,) = case.flush()[0]
        case.deliver_frame(agent, task_ends=[("r1/0/0", 1, Outcome.DONE)])
        case.submit(test_placement.build_request("r1", tasks=1), caller=2)
        (fields,) = self.find_events("request repeated")
        self.assertEqual(fields["request"], "r1")

    def test_the_end_of_a_request_holds_until_its_stops_are_confirmed(self):
        case = self.placement_test
        case.submit(test_placement.build_request("r1", tasks=1))
        (agent,) = case.flush()[0]
        disconnect_caller(case.state, 1, case.now)
        case.deliver_frame(agent, task_ends=[("r1/0/0", 1, Outcome.LOST)])
        records = [
            Record(time=float(number), process="e", event=text, fields=fields)
            for number, (text, fields) in enumerate(case.state.events)
        ]
        (holding,) = build_holdings(build_trace(records, "r1").related)
        self.assertEqual(holding.agents, [agent])
        self.assertLess(holding.ended_at, holding.known_until)

    def test_context_events_are_emitted_by_processes(self):
        all_sources = "".join(path.read_text() for path in SOURCES.rglob("*.py"))
        trace_source = (SOURCES / "request_trace" / "trace.py").read_text()
        for event in CONTEXT_EVENTS:
            self.assertGreater(
                all_sources.count(f'"{event}"'), trace_source.count(f'"{event}"'), event
            )


def build_body():
    steps = [{"count": 1, "cpu": 1, "mem-mb": 1, "estimate-ms": 100}]
    return orjson.dumps({"spec": "", "best-effort": True, "steps": steps})


class TestDepartureAfterTheVerdict(unittest.IsolatedAsyncioTestCase):
    """The end of a connection that is read together with the ends of the tasks; see issue 43."""

    def setUp(self):
        self.case = test_placement.TestPlacement()
        self.case.setUp()
        self.actor = Actor(state=self.case.state)

    def disconnect(self, caller):
        message = CallerDisconnected(caller=caller, request_id="r1")
        HANDLERS[CallerDisconnected](self.actor, message, self.case.now)
        return [text for text, _ in self.case.state.events if "disconnected" in text]

    async def test_a_caller_that_left_after_the_verdict_is_told_of(self):
        self.case.submit(test_placement.build_request("r1", tasks=1))
        (agent,) = self.case.flush()[0]
        self.case.deliver_frame(agent, task_ends=[("r1/0/0", 1, Outcome.DONE)])
        self.assertEqual(self.disconnect(1), ["caller disconnected after its verdict"])

    async def test_a_departure_that_is_read_with_the_reply_is_reported(self):
        reply = asyncio.get_running_loop().create_future()
        reply.set_result(Reply(verdict=Verdict.COMPLETED))
        route = Route(
            name="q",
            host="h",
            prefix="/q/",
            service="s",
            priority=0,
            max_attempts=1,
            stretch=1.6,
            slack_seconds=0.06,
            advised=False,
        )
        table = RouteTable(version=1, max_body_bytes=1000, routes=(route,))
        reported = []
        operations = mock.Mock(
            get_routes=lambda: table,
            submit=lambda specification, wait: (7, reply),
            report_disconnect=lambda caller, request_id: reported.append((caller, request_id)),
            is_closing=lambda: False,
        )
        messages = [{"type": "http.request", "body": build_body()}, {"type": "http.disconnect"}]
        arrival = Arrival(sent_after=1.0, read_at=1.0)
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/q/r1",
            "headers": [(b"host", b"h")],
            "extensions": {ARRIVAL_EXTENSION: arrival},
        }
        sent = []

        async def receive():
            return messages.pop(0)

        async def send(message):
            sent.append(message)

        await build_callers_app(operations)(scope, receive, send)
        self.assertEqual(reported, [(7, "r1")])
        self.assertEqual(sent[0]["status"], 200)

    async def test_a_caller_that_left_before_it_is_told_of_once(self):
        self.case.submit(test_placement.build_request("r1", tasks=1))
        self.assertEqual(self.disconnect(1), ["request cancelled: its last caller disconnected"])


class TestAgentEvents(unittest.TestCase):
    """Two runs of a task at once are of two entries: each event of a run names its entry."""

    def setUp(self):
        self.execution_test = test_execution.TestExecution()
        self.execution_test.setUp()
        self.agent = self.execution_test.agent

    def test_the_end_of_a_run_names_its_entry(self):
        self.execution_test.deliver_frame(tasks=1)
        self.execution_test.confirm_starts()
        self.execution_test.answer_renewal(status=ReplyStatus.GONE)
        self.assertEqual(self.execution_test.find_event("run ended early")["entry"], "e@1")

    def test_events_that_name_a_run_name_its_entry(self):
        found = 0
        for path in (SOURCES / "execution").glob("*.py"):
            for call in ast.walk(ast.parse(path.read_text())):
                if not isinstance(call, ast.Call) or ast.unparse(call.func) != "note_event":
                    continue
                fields = {keyword.arg: ast.unparse(keyword.value) for keyword in call.keywords}
                if fields.get("task") == "run.task":
                    found += 1
                    self.assertEqual(fields.get("entry"), "run.entry", ast.unparse(call))
        self.assertGreaterEqual(found, 5)
