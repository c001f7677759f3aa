"""Turns: how much of the work of large messages is done in one pass of the event loop."""

import asyncio
import unittest

from comfreysill.arrivals import Arrival
from comfreysill.connections.limits import ConnectionLimits
from comfreysill.connections.reading import (
    LARGE_BYTES,
    LARGE_PARTS,
    Phase,
    Reading,
    count_data,
    count_discarded,
    count_line,
    enter_phase,
    is_large,
)
from comfreysill.paced_reading import (
    TURNS_PER_PASS,
    PacedFlowControl,
    ReadingTurns,
    await_turn,
)
from comfreysill.platform.ingress import (
    SMALL_BODY_BYTES,
    EntryOperations,
    build_callers_app,
)
from comfreysill.request.types import Verdict
from comfreysill.routes.table import Route, RouteTable
from comfreysill.servers import ARRIVAL_EXTENSION
from comfreysill.turns import Turns, take_turn

LIMITS = ConnectionLimits()


class FakeTransport:
    def __init__(self):
        self.is_reading = True

    def pause_reading(self):
        assert self.is_reading
        self.is_reading = False

    def resume_reading(self):
        assert not self.is_reading
        self.is_reading = True


class TestLargeMessages(unittest.TestCase):
    def setUp(self):
        self.reading = Reading()
        enter_phase(self.reading, Phase.HEAD)

    def test_a_head_at_its_limit_of_lines_is_not_large(self):
        for _ in range(LIMITS.head_lines):
            self.assertIsNone(count_line(self.reading, LIMITS, 10))
        enter_phase(self.reading, Phase.BODY)
        count_data(self.reading, LIMITS, 4_000)
        self.assertFalse(is_large(self.reading))

    def test_many_parts_and_many_bytes_are_large(self):
        for count, size in ((count_data, 1), (count_discarded, 1)):
            enter_phase(self.reading, Phase.HEAD)
            enter_phase(self.reading, Phase.BODY)
            for _ in range(LARGE_PARTS + 1):
                count(self.reading, LIMITS, size)
            self.assertTrue(is_large(self.reading))
        enter_phase(self.reading, Phase.HEAD)
        enter_phase(self.reading, Phase.BODY)
        self.assertFalse(is_large(self.reading))
        count_data(self.reading, LIMITS, LARGE_BYTES + 1)
        self.assertTrue(is_large(self.reading))


class TestReadingTurns(unittest.IsolatedAsyncioTestCase):
    # Guards against a pass of the event loop that grows with the number of large messages.
    async def test_a_few_are_read_in_each_pass_in_order(self):
        turns = ReadingTurns()
        transports = [FakeTransport() for _ in range(3 * TURNS_PER_PASS + 1)]
        for transport in transports:
            await_turn(turns, PacedFlowControl(transport=transport))
        reading = []
        while turns.waiting:
            await asyncio.sleep(0)
            reading.append(sum(transport.is_reading for transport in transports))
            self.assertEqual(
                [transport.is_reading for transport in transports],
                [number < reading[-1] for number in range(len(transports))],
            )
        self.assertEqual(
            reading, [TURNS_PER_PASS * number for number in (1, 2, 3)] + [len(transports)]
        )

    async def test_a_turn_does_not_resume_what_is_paused_nor_the_other_way_round(self):
        turns, transport = ReadingTurns(), FakeTransport()
        flow = PacedFlowControl(transport=transport)
        await_turn(turns, flow)
        await_turn(turns, flow)
        flow.pause_reading()
        flow.resume_reading()
        self.assertFalse(transport.is_reading)
        flow.pause_reading()
        await asyncio.sleep(0)
        self.assertFalse(transport.is_reading)
        flow.resume_reading()
        self.assertTrue(transport.is_reading)
        self.assertFalse(turns.waiting)


class TestTurns(unittest.IsolatedAsyncioTestCase):
    async def test_one_is_given_in_each_pass_in_order(self):
        turns, given = Turns(), []

        async def work(number):
            self.assertTrue(await take_turn(turns, 1))
            given.append(number)

        tasks = [asyncio.create_task(work(number)) for number in range(10)]
        tasks[3].cancel()
        seen = []
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            seen.append(len(given))
        self.assertLessEqual(
            max(after - before for before, after in zip(seen, seen[1:], strict=False)), 1
        )
        self.assertEqual(given, [number for number in range(10) if number != 3])
        self.assertEqual(turns.held_bytes, 0)
        await asyncio.sleep(0)
        self.assertFalse(turns.is_taken)

    async def test_one_over_the_limit_is_refused_at_once(self):
        turns = Turns(max_bytes=100)
        results = await asyncio.gather(*(take_turn(turns, size) for size in (1_000, 60, 60)))
        self.assertEqual(results, [True, True, False])


class TestRefusedSubmissions(unittest.IsolatedAsyncioTestCase):
    """What the callers of large submissions are told while too many of them wait."""

    async def submit(self, state):
        turns = Turns(max_bytes=0)
        turns.is_taken = True
        route = Route(
            name="r",
            host="h",
            prefix="/q/",
            service="s",
            priority=0,
            max_attempts=2,
            stretch=1.5,
            slack_seconds=0.1,
            advised=False,
        )
        table = RouteTable(version=1, max_body_bytes=1 << 20, routes=(route,))
        operations = EntryOperations(
            get_routes=lambda: table,
            submit=None,
            report_disconnect=None,
            find_state=lambda request_id: state,
            cancel=None,
            count_waiting=None,
            is_closing=lambda: False,
            turns=turns,
        )
        arrival = Arrival(sent_after=0.0, read_at=0.0, connected_at=None)
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/q/" + "a" * 16,
            "headers": [(b"host", b"h")],
            "extensions": {ARRIVAL_EXTENSION: arrival},
        }
        answers = []

        async def receive():
            return {"type": "http.request", "body": b" " * (SMALL_BODY_BYTES + 1)}

        async def send(message):
            answers.append(message)

        await build_callers_app(operations)(scope, receive, send)
        headers = dict(answers[0]["headers"])
        self.assertEqual(headers[b"retry-after"], b"1")
        return answers[0]["status"]

    # Guards against a promise that a job never ran, though an earlier submission of it runs.
    async def test_a_repetition_is_not_told_that_its_job_never_ran(self):
        self.assertEqual(await self.submit(None), 503)
        self.assertEqual(await self.submit("running"), 504)
        self.assertEqual(await self.submit(Verdict.COMPLETED), 504)


if __name__ == "__main__":
    unittest.main()
