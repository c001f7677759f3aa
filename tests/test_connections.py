"""Limits of connections: the decisions, and a server in this process that carries them out."""

import asyncio
import contextlib
import socket
import unittest

from result import Err

from comfreysill.address import parse_address
from comfreysill.connection_guard import ConnectionGuard
from comfreysill.connections.limits import (
    MAX_RECEIVE_BYTES,
    MIN_RECEIVE_BYTES,
    ConnectionLimits,
    ProcessLimits,
    derive_process_limits,
)
from comfreysill.connections.reading import (
    LARGE_BYTES,
    Phase,
    Reading,
    begin_read,
    count_data,
    count_line,
    end_read,
    enter_phase,
)
from comfreysill.connections.reasons import Reason
from comfreysill.connections.table import (
    ConnectionTable,
    add_connection,
    find_dearest,
    find_overdue,
    find_surplus,
    note_begin,
    remove_connection,
    set_held_bytes,
)
from comfreysill.exceptions import UsageError
from comfreysill.execution.calls import RenewCall, ReplyStatus, RunnerLifetime
from comfreysill.platform.bodies import MAX_ANSWER_BYTES
from comfreysill.platform.runner import open_runner, send_renewal
from comfreysill.platform.settings import decode_settings
from comfreysill.platform.store import open_store, read_rows
from comfreysill.servers import build_http, stop_http

LIMITS = ConnectionLimits()
POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_SECONDS = 10.0


class TestReading(unittest.TestCase):
    def read(self, reading, size, *events):
        begin_read(reading)
        for event in events:
            event()
        return end_read(reading, LIMITS, size)

    def test_a_line_without_end_is_counted_beyond_the_events(self):
        reading = Reading()
        enter_phase(reading, Phase.HEAD)
        self.assertIsNone(self.read(reading, LIMITS.head_bytes))
        self.assertEqual(self.read(reading, 1), Reason.HEAD_BYTES)

    def test_a_head_at_its_limits_is_accepted(self):
        reading = Reading()
        enter_phase(reading, Phase.HEAD)
        reasons = [count_line(reading, LIMITS, 20) for _ in range(LIMITS.head_lines + 1)]
        self.assertEqual(set(reasons[:-1]), {None})
        self.assertEqual(reasons[-1], Reason.HEAD_LINES)

    def test_chunks_of_one_byte_are_accepted_and_extensions_without_end_are_not(self):
        reading = Reading()
        enter_phase(reading, Phase.BODY)
        for _ in range(10_000):
            self.assertIsNone(self.read(reading, 6, lambda: count_data(reading, LIMITS, 1)))
        sizes = [self.read(reading, 16_384) for _ in range(10)]
        self.assertIn(Reason.FRAMING_BYTES, sizes)

    def test_empty_lines_before_a_request_are_limited(self):
        reading = Reading()
        self.assertIsNone(self.read(reading, LIMITS.empty_bytes))
        self.assertEqual(self.read(reading, 2), Reason.EMPTY_BYTES)


class TestTable(unittest.TestCase):
    def setUp(self):
        limits = ProcessLimits(connections=3, queued=1, held_bytes=100)
        self.table = ConnectionTable(limits=limits)

    def add(self, unanswered=0):
        connection = add_connection(self.table, lambda reason: None)
        connection.unanswered = unanswered
        return connection

    # Guards against a crowd that costs a caller its answer, or a new caller its connection.
    def test_the_connection_closed_first_has_been_without_a_request_for_the_longest_time(self):
        waiting, oldest, newer, newest = self.add(unanswered=1), *(self.add() for _ in range(3))
        self.assertIs(find_surplus(self.table), oldest)
        note_begin(self.table, oldest)
        self.assertIs(find_surplus(self.table), newer)
        enter_phase(newest.reading, Phase.DISCARDING)
        self.assertIs(find_surplus(self.table), newest)
        remove_connection(self.table, newest)
        self.assertIsNone(find_surplus(self.table))
        self.assertIn(waiting, self.table.connections)

    # Guards against clients that read no answers and keep new ones out.
    def test_a_connection_with_unread_answers_makes_room_before_a_new_one(self):
        waiting, unread, others, newest = (self.add(unanswered=1) for _ in range(4))
        newest.unanswered = 0
        self.assertIs(find_surplus(self.table), newest)
        unread.is_unread = True
        self.assertIs(find_surplus(self.table), unread)
        remove_connection(self.table, unread)
        self.assertEqual(self.table.connections, {waiting, others, newest})

    # Guards against large messages and requests ahead that keep small ones out.
    def test_those_that_send_large_messages_or_ahead_make_room_before_others(self):
        oldest, large, ahead, waiting = self.add(), self.add(1), self.add(2), self.add(1)
        enter_phase(large.reading, Phase.BODY)
        count_data(large.reading, LIMITS, LARGE_BYTES + 1)
        for expected in (large, ahead):
            self.assertIs(find_surplus(self.table), expected)
            remove_connection(self.table, expected)
            self.add(1)
        self.assertIs(find_surplus(self.table), oldest)
        self.assertIn(waiting, self.table.connections)

    def test_the_dearest_is_found_once_all_hold_too_much(self):
        first, second = self.add(), self.add()
        set_held_bytes(self.table, first, 40)
        set_held_bytes(self.table, second, 60)
        self.assertIsNone(find_dearest(self.table))
        set_held_bytes(self.table, first, 41)
        self.assertIs(find_dearest(self.table), second)
        remove_connection(self.table, second)
        self.assertEqual(self.table.held_bytes, 41)

    def test_deadlines_begin_with_each_phase_and_spare_those_that_wait(self):
        connection = self.add()
        self.assertIsNone(find_overdue(connection, LIMITS, 0.0))
        self.assertEqual(find_overdue(connection, LIMITS, 75.0), Reason.IDLE_SECONDS)
        enter_phase(connection.reading, Phase.HEAD)
        self.assertIsNone(find_overdue(connection, LIMITS, 80.0))
        self.assertEqual(find_overdue(connection, LIMITS, 90.0), Reason.HEAD_SECONDS)
        enter_phase(connection.reading, Phase.BETWEEN)
        connection.unanswered = 1
        self.assertIsNone(find_overdue(connection, LIMITS, 90.0))
        self.assertIsNone(find_overdue(connection, LIMITS, 1e9))

    def test_limits_by_the_descriptors_and_memory_of_a_process(self):
        limits = derive_process_limits(1_638, 160 << 20)
        self.assertEqual(
            (limits.connections, limits.queued, limits.held_bytes), (719, 179, 20 << 20)
        )
        self.assertEqual(derive_process_limits(100).connections, 16)

    def test_what_the_kernel_holds_is_bounded_over_all_connections(self):
        for descriptors, memory_mb in ((1_638, 160), (4_100, 300), (8_192, 552)):
            limits = derive_process_limits(descriptors, memory_mb << 20)
            total = limits.connections * limits.receive_bytes
            self.assertLessEqual(total, memory_mb << 20 >> 3)
        self.assertEqual(derive_process_limits(400, 1 << 30).receive_bytes, MAX_RECEIVE_BYTES)
        self.assertEqual(derive_process_limits(1 << 16, 1 << 27).receive_bytes, MIN_RECEIVE_BYTES)


class TestSettings(unittest.TestCase):
    def decode(self, **fields):
        document = {
            "node": "e",
            "zone": "z",
            "ip": "127.0.0.1",
            "listen": {},
            "port-range": [7720, 7735],
            "platform": {"address": "127.0.0.1:1"},
            "bounds": {"grace-s": 6},
        }
        return decode_settings(document | fields)

    def test_limits_come_from_the_settings_and_have_defaults(self):
        settings = self.decode()
        self.assertEqual((settings.memory_bytes, settings.max_descriptors), (0, 0))
        self.assertEqual(settings.connection_limits.head_bytes, LIMITS.head_bytes)
        settings = self.decode(
            **{"limits": {"memory-mb": 160, "max-fds": 1638, "cores": 1}},
            **{"connection-limits": {"head-bytes": 100, "idle-seconds": 1.5}},
        )
        self.assertEqual((settings.memory_bytes, settings.max_descriptors), (160 << 20, 1638))
        limits = settings.connection_limits
        self.assertEqual((limits.head_bytes, limits.idle_seconds), (100, 1.5))
        for odd in ({"head-bytes": 0}, {"head-bytes": "1"}, {"idle-seconds": -1}):
            with self.assertRaises(UsageError):
                self.decode(**{"connection-limits": odd})


class TestAnswers(unittest.IsolatedAsyncioTestCase):
    """What this process reads as a client of the store and of a runner."""

    async def asyncSetUp(self):
        self.sent = 0
        server = await asyncio.start_server(self.answer_without_end, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = parse_address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    async def answer_without_end(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while self.sent < 20 * MAX_ANSWER_BYTES:
                writer.write(b"10000\r\n" + b"a" * 0x10000 + b"\r\n")
                self.sent += 0x10000
                await writer.drain()
        writer.close()

    # Guards against a store or a runner that fills the memory of a process.
    async def test_an_answer_of_the_store_without_end_is_given_up(self):
        store = open_store(self.address)
        self.addAsyncCleanup(store.session.close)
        self.assertIsInstance(await read_rows(store, "op"), Err)
        self.assertLess(self.sent, 10 * MAX_ANSWER_BYTES)

    async def test_an_answer_of_a_runner_without_end_is_given_up(self):
        runner = open_runner(self.address)
        self.addAsyncCleanup(runner.session.close)
        lifetime = RunnerLifetime(runner_id="i", started_at_ms=1)
        call = RenewCall(
            lifetime=lifetime, token=1, lease_until_ms=0, ended_seen=0, wait_ms=2_000, sent_at=0.0
        )
        reply = await send_renewal(runner, call)
        self.assertEqual(reply.status, ReplyStatus.UNANSWERED)
        self.assertLess(self.sent, 10 * MAX_ANSWER_BYTES)


class TestServer(unittest.IsolatedAsyncioTestCase):
    """A server with small limits whose application waits for a whole body, and then for `go`."""

    async def asyncSetUp(self):
        self.bodies, self.left = [], 0
        self.go = asyncio.Event()
        self.go.set()
        limits = ConnectionLimits(
            head_bytes=2_000, head_lines=10, url_bytes=200, body_bytes=5_000, requests_ahead=2
        )
        process_limits = ProcessLimits(connections=50, queued=50, held_bytes=1 << 20)
        self.guard = ConnectionGuard(limits=limits, process_limits=process_limits)
        listener = socket.create_server(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        self.server = build_http(self.serve, guard=self.guard)
        self.task = asyncio.create_task(self.server.serve(sockets=[listener]))
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        self.go.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await stop_http(self.server, self.task)

    async def serve(self, scope, receive, send):
        body, more = b"", True
        while more:
            message = await receive()
            body, more = body + message["body"], message["more_body"]
        self.bodies.append(body)
        left = asyncio.ensure_future(receive())
        await asyncio.wait(
            (left, asyncio.ensure_future(self.go.wait())), return_when=asyncio.FIRST_COMPLETED
        )
        self.left += left.done()
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})

    async def connect(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def exchange(self, data):
        """Sends data and returns all that is answered until the connection is closed."""
        reader, _ = await self.connect(data)
        answer = b""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(1_000):
                    answer += data
        return answer

    # Guards against a refusal that says that nothing was run though the application got a request.
    async def test_what_is_over_a_limit_is_refused_and_not_run(self):
        cases = (
            (b"GET /" + b"a" * 300, 414, Reason.URL_BYTES),
            (GET[:-2] + b"a: b\r\n" * 20, 431, Reason.HEAD_LINES),
            # A line without end is counted to within one read.
            (GET[:-2] + b"a: " + b"b" * 40_000, 431, Reason.HEAD_BYTES),
            (GET[:-2] + b"a: " + b"b" * 3_000 + b"\r\n\r\n", 431, Reason.HEAD_BYTES),
            (b"\r\n" * 3_000, 400, Reason.EMPTY_BYTES),
            (b"\x00\x01", 400, Reason.MALFORMED),
            (GET[:-2] + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, Reason.MALFORMED),
            (CHUNKED + b"-1\r\n", 400, Reason.MALFORMED),
            (CHUNKED + b"2\r\n{}\r\n0\r\n" + b"a: b\r\n" * 70, 431, Reason.TRAILER_LINES),
            (CHUNKED + b"2\r\n{}\r\n0\r\na: " + b"b" * 60_000, 400, Reason.FRAMING_BYTES),
            (CHUNKED + b"2;" + b"a" * 60_000, 400, Reason.FRAMING_BYTES),
            (CHUNKED + b"1388\r\n" + b"a" * 5_000 + b"\r\n1\r\n", 413, Reason.BODY_BYTES),
            (POST + b"Content-Length: 9999\r\n\r\n" + b"a" * 9_999, 413, Reason.BODY_BYTES),
        )
        for number, (data, status, reason) in enumerate(cases):
            data += b"a" if reason == Reason.BODY_BYTES else b""
            answer = await self.exchange(data)
            self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), (number, answer))
            self.assertIn(b"nothing was run", answer)
            self.assertIn(b"connection: close", answer)
            self.assertGreaterEqual(self.guard.table.counters[reason], 1)
        self.assertEqual(self.bodies, [])
        self.assertEqual(self.guard.table.held_bytes, 0)

    async def test_requests_at_their_limits_are_served_on_one_connection(self):
        bodies = [
            POST + b"Content-Length: 5000\r\n\r\n" + b"a" * 5_000,
            CHUNKED + b"1\r\na\r\n" * 5_000 + b"0\r\n" + b"a: b\r\n" * 60 + b"\r\n",
            b"\r\n" * 100 + GET[:-2] + b"a: b\r\n" * 9 + b"\r\n",
        ]
        reader, writer = await self.connect(b"")
        for data in bodies:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"200 OK", head)
            await reader.readexactly(2)
        self.assertEqual([len(body) for body in self.bodies], [5_000, 5_000, 0])

    # Guards against a refusal that a caller takes for the answer to its earlier request.
    async def test_a_request_that_waits_is_answered_before_a_later_one_is_refused(self):
        for later, status in ((b"\x00", 400), (GET * 9, 429), (CHUNKED + b"-1\r\n", 400)):
            self.go.clear()
            answers = asyncio.create_task(self.exchange(GET + later))
            await asyncio.sleep(0.2)
            self.assertFalse(answers.done())
            self.go.set()
            parts = (await answers).split(b"HTTP/1.1 ")[1:]
            served = 3 if status == 429 else 1
            self.assertEqual([part[:3] for part in parts], [b"200"] * served + [b"%d" % status])
            self.assertEqual(len(self.bodies), served)
            self.bodies.clear()

    # Guards against work that goes on for a caller who has left.
    async def test_a_waiting_caller_that_leaves_is_noticed(self):
        for data in (GET, GET + GET, GET + GET * 9):
            self.go.clear()
            self.left = 0
            _, writer = await self.connect(data)
            await asyncio.sleep(0.2)
            writer.close()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while not self.left:
                    await asyncio.sleep(0.02)

    async def test_a_body_whose_connection_breaks_is_not_run(self):
        _, writer = await self.connect(CHUNKED + b"2\r\n{}\r\n0\r\na: b\r\n")
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.2)
        self.assertEqual(self.bodies, [])
        self.assertEqual(len(self.guard.table.connections), 0)

    # Guards against a process that can't end before it is killed.
    async def test_a_server_stops_beside_clients_that_neither_finish_nor_read(self):
        await self.connect(CHUNKED + b"2\r\n{}\r\n")
        await self.connect(GET[:-2])
        await self.connect(GET * 3)
        await asyncio.sleep(0.2)
        await self.stop()

    async def test_a_request_that_waits_is_answered_while_the_server_stops(self):
        self.go.clear()
        answers = [asyncio.create_task(self.exchange(GET + part)) for part in (b"", b"GET /")]
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(stop_http(self.server, self.task))
        await asyncio.sleep(1.3)
        self.go.set()
        self.assertEqual([(await answer)[:12] for answer in answers], [b"HTTP/1.1 200"] * 2)
        await stopping

    async def test_the_connection_that_waits_longest_for_a_request_makes_room(self):
        idle = [await self.connect(b"") for _ in range(50)]
        await asyncio.sleep(0.2)
        answer = await self.exchange(GET[:-2] + b"Connection: close\r\n\r\n")
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"503 ", await idle[0][0].read())
        self.assertFalse(idle[1][0].at_eof())


if __name__ == "__main__":
    unittest.main()
