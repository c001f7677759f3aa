"""Where the tasks of a request would go: the decision, the HTTP endpoint and the command."""

import asyncio
import pathlib
import tempfile
import unittest

import orjson

from comfreysill.cli.where import (
    build_question,
    describe_answer,
    describe_step,
    list_place_rows,
)
from comfreysill.containment import handle_contained
from comfreysill.exceptions import UsageError
from comfreysill.gateway.actor import Actor
from comfreysill.gateway.handlers import CONTAINMENT, HANDLERS
from comfreysill.gateway.where import locate
from comfreysill.gateway.where_app import MAX_BODY_BYTES, RateLimit, build_where_app, take_turn
from comfreysill.gateway.where_document import build_document
from comfreysill.placement.agents import collect_frames, discover_agent, end_session
from comfreysill.placement.closures import read_zones
from comfreysill.placement.locating import locate_request, locate_specification
from comfreysill.placement.placement import place_waiting
from comfreysill.request.types import Specification, Step
from comfreysill.routes.table import Route, RouteTable
from comfreysill.zones.closures import ZoneReading, ZoneStatus
from tests import test_placement
from tests.test_placement import build_request

ROUTES = RouteTable(
    version=3,
    max_body_bytes=1000,
    routes=(
        Route(
            name="q",
            host="h",
            prefix="/",
            service="s",
            priority=0,
            max_attempts=2,
            stretch=1.6,
            slack_seconds=0.06,
            advised=False,
        ),
    ),
)


def dump(value, seen=None):
    """Returns all that can be reached from a value, as nested tuples."""
    seen = set() if seen is None else seen
    if isinstance(value, str | bytes | int | float | None):
        return value
    if id(value) in seen:
        return "seen"
    seen.add(id(value))
    if isinstance(value, dict):
        return tuple((dump(key, seen), dump(item, seen)) for key, item in value.items())
    if isinstance(value, list | tuple) or hasattr(value, "popleft"):
        return tuple(dump(item, seen) for item in value)
    if isinstance(value, set | frozenset):
        return tuple(sorted(map(repr, value)))
    names = [name for kind in type(value).__mro__ for name in getattr(kind, "__slots__", ())]
    return (type(value).__name__, *((name, dump(getattr(value, name), seen)) for name in names))


def build_rack_request(tasks, rack):
    step = Step(count=tasks, cpu=1000, memory_mb=1, estimate=0.2, rack=rack)
    request = build_request("n")
    fields = {name: getattr(request, name) for name in Specification.__slots__}
    return Specification(**{**fields, "steps": (step,)})


class World:
    """An entry with the agents `a` and `b`, each with four free cores and a label of its name."""

    def __init__(self):
        self.case = test_placement.TestPlacement()
        self.case.setUp()
        self.state = self.case.state
        self.now = self.case.now

    def list_placed(self, specification):
        """Returns the number of tasks that placement sends to each agent."""
        self.case.submit(specification)
        return self.case.flush()[0]


def count_tasks(step):
    return {place.agent: place.task_count for place in step.places if place.task_count}


def get_reasons(step):
    return {excluded.agent: excluded.reason for excluded in step.excluded}


class TestLocating(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.state, self.now = self.world.state, self.world.now

    def locate(self, specification):
        return locate_specification(self.state, specification, self.now)

    def test_placement_does_what_was_told(self):
        requests = (
            build_request("1", tasks=3),
            build_request("2", tasks=3, cpu=1500),
            build_request("3", tasks=1, label="b"),
            build_rack_request(2, "a"),
            build_request("5", tasks=9),
        )
        for number, specification in enumerate(requests):
            told = count_tasks(self.locate(specification).steps[0])
            self.assertEqual(told, self.world.list_placed(specification), number)

    def test_nothing_changes_where_there_is_room(self):
        self.state.remote_factor = 2.0
        before = dump(self.state)
        for request in (build_request("x", after=(0,)), build_rack_request(7, "a")):
            self.assertTrue(count_tasks(self.locate(request).steps[0]))
        self.assertEqual(dump(self.state), before)

    def test_avoided_agents_are_passed_over(self):
        self.world.list_placed(build_request("r", tasks=9))
        self.state.requests["r"].pending[0][0].avoided_agents = ("a",)
        for name in ("a", "b"):
            self.state.agents[name].reservations.clear()
        step = locate_request(self.state, "r", self.now).steps[0]
        self.assertEqual(count_tasks(step), {"b": 1})

    def test_nothing_changes(self):
        self.world.list_placed(build_request("r", tasks=6))
        self.world.case.submit(build_request("p", tasks=9))
        place_waiting(self.state, self.now)
        collect_frames(self.state, self.now)
        self.state.requests["p"].pending[0][0].avoided_agents = ("a", "b")
        self.state.remote_factor = 2.0
        before = dump(self.state)
        for request in (build_request("x", after=(0,)), build_rack_request(9, "a")):
            self.locate(request)
        for request_id in ("r", "p", "unknown"):
            locate_request(self.state, request_id, self.now)
        self.assertEqual(dump(self.state), before)

    def test_excluded_agents_have_their_reasons(self):
        discover_agent(self.state, "c", "c:1")
        self.world.case.deliver_frame("a", accepting=False)
        self.world.case.deliver_frame("b", cpu=500)
        step = self.locate(build_request(label="b")).steps[0]
        reasons = get_reasons(step)
        self.assertEqual(step.places, [])
        self.assertIn("accepts no work", reasons["a"])
        self.assertIn("500 of 1000", reasons["b"])
        self.assertEqual(reasons["c"], "no link")
        label = get_reasons(self.locate(build_request(label="z")).steps[0])
        self.assertIn("label z", label["b"])

    def test_a_target_without_enough_memory_says_so(self):
        for agent in self.state.agents.values():
            agent.load.memory_mb = 0
        step = self.locate(build_request()).steps[0]
        self.assertEqual({place.reason for place in step.places}, {"no room: 0 of 1 MB are free"})

    def test_stale_news_excludes_a_target_and_has_its_age(self):
        self.now += 5
        answer = self.locate(build_request())
        excluded = answer.steps[0].excluded[0]
        self.assertIn("out of date", excluded.reason)
        self.assertEqual(excluded.load_age, 5)
        self.assertFalse(answer.refused)
        self.assertIn("no target is usable: 2 known", answer.reason)
        self.assertGreater(answer.refused_at, self.now)

    def test_an_entry_without_targets_says_so(self):
        self.state.agents.clear()
        self.assertEqual(self.locate(build_request()).reason, "no target of the service is known")

    def test_closed_zones_refuse(self):
        status = ZoneStatus(zone="z1", closed=True, version=2, since=self.now)
        read_zones(self.state, ZoneReading(version=2, statuses=(status,)), self.now)
        answer = self.locate(build_request())
        self.assertTrue(answer.refused)
        self.assertIn("z1", answer.reason)
        self.assertGreater(answer.retry_seconds, 0)
        self.assertIn("zone z1 is closed", get_reasons(answer.steps[0])["a"])

    def test_a_request_that_cannot_end_in_time_is_refused(self):
        for name in ("a", "b"):
            self.world.case.deliver_frame(name, slowness=50.0)
        answer = self.locate(build_request())
        self.assertTrue(answer.refused)
        self.assertEqual(count_tasks(answer.steps[0]), {})

    def test_far_tasks_may_wait_for_a_busy_near_target(self):
        self.state.remote_factor = 2.0
        self.world.case.deliver_frame("a", cpu=0)
        step = self.locate(build_rack_request(1, "a")).steps[0]
        self.assertTrue(step.may_wait)
        self.assertEqual([(place.agent, place.near) for place in step.places], [("b", False)])

    def test_an_open_request_has_placed_and_pending_tasks(self):
        self.world.list_placed(build_request("r", tasks=9))
        answer = locate_request(self.state, "r", self.now)
        self.assertEqual(len(answer.placed), 8)
        self.assertEqual(answer.steps[0].task_count, 1)
        self.assertEqual(count_tasks(answer.steps[0]), {})
        end_session(self.state, "a", self.state.agents["a"].session)
        self.assertFalse(locate_request(self.state, "x", self.now).known)


class TestApp(unittest.TestCase):
    def setUp(self):
        self.actor = Actor(state=World().state)
        self.actor.state.routes = ROUTES
        self.now = 10.0

    def ask(self, method, query, body=b"", limit=None, path="/where"):
        return asyncio.run(self.exchange(method, query, body, limit or RateLimit(), path))

    async def exchange(self, method, query, body, limit, path):
        sent = []

        async def fallback(scope, receive, send):
            await send({"status": 200, "headers": []})
            await send({"body": b'"metrics"'})

        async def receive():
            return {"body": body}

        async def send(message):
            sent.append(message)

        def ask_actor(target):
            future = locate(self.actor.inbox, target)
            asyncio.get_running_loop().create_task(self.handle())
            return future

        app = build_where_app(fallback, lambda: ROUTES, ask_actor, limit, lambda: self.now)
        scope = {"type": "http", "path": path, "method": method, "query_string": query}
        await app(scope, receive, send)
        return sent[0]["status"], orjson.loads(sent[1]["body"]), dict(sent[0]["headers"])

    async def handle(self):
        for message in await self.actor.inbox.get_batch():
            handle_contained(self.actor, message, self.now, HANDLERS, CONTAINMENT)

    def test_answers(self):
        query = b"route=q&cpu=1000&memory_mb=1&estimate=0.2&count=2"
        status, document, _ = self.ask("GET", query)
        self.assertEqual((status, document["steps"][0]["unplaced"]), (200, 0))
        body = b'{"best-effort": true, "steps": [{"count": 5, "cpu": 1000, "estimate-ms": 200}]}'
        status, document, _ = self.ask("POST", b"route=q", body)
        self.assertEqual((status, document["steps"][0]["tasks"]), (200, 5))
        status, document, _ = self.ask("GET", b"job=nobody")
        self.assertEqual((status, document["known"]), (200, False))
        status, document, _ = self.ask("POST", b"route=none", body)
        self.assertEqual((status, document["refused"]), (200, True))
        self.assertEqual(self.ask("GET", b"", path="/")[1], "metrics")

    def test_bad_input_is_refused_with_the_field_at_fault(self):
        step = b"route=q&memory_mb=1&estimate=0.2&count=2"
        for method, query, body, field in (
            ("GET", step + b"&cpu=-1", b"", "cpu"),
            ("GET", step + b"&cpu=" + b"9" * 200, b"", "cpu"),
            ("GET", step + b"&cpu=" + b"0" * 20 + b"1", b"", "cpu"),
            ("GET", step + b"&cpu=1&gang=1", b"", "gang"),
            ("GET", b"route=q&cpu=1&memory_mb=1&count=1&estimate=nan", b"", "estimate"),
            ("GET", b"job=a%20b", b"", "job"),
            ("GET", b"", b"", "route"),
            ("GET", step + b"&route=q", b"", "query"),
            ("POST", b"route=q", b'{"steps": [{"count": 0}]}', "$.steps[0].count"),
        ):
            status, document, _ = self.ask(method, query, body)
            self.assertEqual(status, 400, query)
            self.assertIn(field, document["detail"])
        self.assertEqual(self.ask("POST", b"route=q", b" " * (MAX_BODY_BYTES + 1))[0], 413)
        self.assertEqual(self.ask("DELETE", b"")[0], 405)

    def test_the_rate_is_bounded(self):
        limit = RateLimit()
        statuses = [self.ask("GET", b"job=x", limit=limit)[0] for _ in range(5)]
        self.assertEqual(statuses, [200] * 4 + [429])
        self.assertEqual(self.ask("GET", b"job=x", limit=limit)[2][b"retry-after"], b"1")
        self.assertEqual(take_turn(limit, self.now + 0.25), 0.0)
        self.assertGreater(take_turn(limit, self.now + 0.25), 0.0)

    # Guards against a question whose handling fails and ends the entry.
    def test_a_failed_question_costs_itself_only(self):
        self.actor.state.agents["a"].load = None
        self.assertEqual(self.ask("GET", b"route=q&cpu=1&memory_mb=1&estimate=1&count=1")[0], 503)


class TestCommand(unittest.TestCase):
    def test_questions(self):
        step = {"cpu": 1, "memory_mb": 2, "estimate": 0.5, "count": 3, "rack": None}
        question = build_question(job=None, file=None, route="q", step=step)
        self.assertEqual(question.path, "/where?route=q&cpu=1&memory_mb=2&estimate=0.5&count=3")
        self.assertEqual(
            build_question(job="j", file=None, route=None, step={}).path, "/where?job=j"
        )
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "r.json")
            file.write_text("{")
            for options in (
                {"job": "j", "file": None, "route": "q", "step": {}},
                {"job": None, "file": None, "route": None, "step": {}},
                {"job": None, "file": None, "route": "q", "step": {"cpu": 1}},
                {"job": None, "file": file, "route": "q", "step": {}},
                {"job": None, "file": file, "route": "q", "step": {"cpu": 1}},
            ):
                with self.assertRaises(UsageError, msg=options):
                    build_question(**options)

    def test_formatting(self):
        world = World()
        world.case.deliver_frame("b", accepting=False)
        answer = locate_specification(world.state, build_request(tasks=5), world.now)
        document = build_document(answer, world.now)
        step = document["steps"][0]
        self.assertEqual(describe_step(step), "Step 0: 5 task(s), 1 without a place now")
        rows = list_place_rows(step)
        self.assertEqual(rows[0], ("a", 4, "0.200", 4000, "z1", "near", "0.000", ""))
        self.assertEqual(rows[1][0], "b")
        self.assertIn("accepts no work", rows[1][-1])
        self.assertIn("may be placed now", describe_answer(document))
