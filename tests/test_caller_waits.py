import asyncio
import math
import socket
import time
import unittest
from unittest import mock

from comfreysill.arrivals import Arrival, measure_arrival, measure_idle_time
from comfreysill.clock import ClockReading, read_boot_clock, read_clocks
from comfreysill.platform.ingress import read_wait
from comfreysill.polls import PollTimes, build_timed_loop, watch_listener
from comfreysill.servers import ARRIVAL_EXTENSION, build_http, stop_http

PAUSE_SECONDS = 0.4
MAX_IDLE_POLL_SECONDS = 0.2


def build_scope(*headers, unread_seconds=0.0):
    arrival = Arrival(sent_after=100.0 - unread_seconds, read_at=100.0, connected_at=98.0)
    return {"headers": list(headers), "extensions": {ARRIVAL_EXTENSION: arrival}}


class TestWaitHeader(unittest.TestCase):
    def test_the_wait_begins_when_the_request_was_read(self):
        wait = read_wait(build_scope((b"x-deadline-ms", b"1500"), unread_seconds=0.25))
        self.assertEqual((wait.sent_after, wait.read_at, wait.ends_at), (99.75, 100.0, 101.5))
        self.assertEqual(wait.connected_at, 98.0)

    def test_a_missing_or_unusable_header_means_an_unknown_wait(self):
        for value in (b"", b"0", b"-1", b"nan", b"inf", b"1e99", b"soon", b"\xff", b"9" * 400):
            wait = read_wait(build_scope((b"x-deadline-ms", value)))
            self.assertEqual(wait.ends_at, math.inf, value)
        self.assertEqual(read_wait(build_scope()).ends_at, math.inf)


class TestArrival(unittest.TestCase):
    """The time that a request may have waited unread, on a real server and event loop."""

    def setUp(self):
        self.poll_times = PollTimes()
        self.arrivals = []
        self.listener = socket.create_server(("127.0.0.1", 0))

    def play(self, scenario, before=None):
        """Runs a scenario beside a server that records the arrivals of its requests.

        `before` is called before the server accepts connections.
        """

        async def serve(scope, receive, send):
            self.arrivals.append((scope["extensions"][ARRIVAL_EXTENSION], read_boot_clock()))
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        async def run():
            if before is not None:
                watch_listener(self.poll_times, self.listener, read_clocks())
                await before()
            server = build_http(serve, poll_times=self.poll_times)
            task = asyncio.create_task(server.serve(sockets=[self.listener]))
            ticks = asyncio.create_task(self.tick())
            await asyncio.sleep(0.5)
            await scenario()
            await asyncio.sleep(0.2)
            ticks.cancel()
            await stop_http(server, task)

        with asyncio.Runner(loop_factory=lambda: build_timed_loop(self.poll_times)) as runner:
            runner.run(run())

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)

    def connect(self):
        client = socket.create_connection(self.listener.getsockname())
        self.addCleanup(client.close)
        return client

    def send(self, client):
        client.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        return read_boot_clock()

    def test_a_request_that_came_during_a_pause_may_be_as_old_as_the_pause(self):
        async def scenario():
            self.sent_at = self.send(self.connect())
            time.sleep(PAUSE_SECONDS)

        self.play(scenario)
        arrival, _ = self.arrivals[0]
        self.assertLess(arrival.sent_after, self.sent_at)
        self.assertGreater(arrival.read_at - self.sent_at, PAUSE_SECONDS * 0.9)

    def test_the_age_of_the_connection_is_that_of_its_first_request(self):
        async def scenario():
            client = self.connect()
            await asyncio.sleep(0.3)
            self.send(client)
            await asyncio.sleep(0.1)
            self.send(client)
            await asyncio.sleep(0.1)
            self.send(self.connect())

        self.play(scenario)
        first, second, third = (arrival for arrival, _ in self.arrivals)
        self.assertAlmostEqual(first.read_at - first.connected_at, 0.3, delta=0.05)
        self.assertIsNone(second.connected_at)
        self.assertAlmostEqual(third.read_at - third.connected_at, 0.0, delta=0.05)

    def test_a_request_on_an_open_connection_that_came_during_a_pause(self):
        async def scenario():
            client = self.connect()
            await asyncio.sleep(0.2)
            self.sent_at = self.send(client)
            time.sleep(PAUSE_SECONDS)

        self.play(scenario)
        self.assertLess(self.arrivals[0][0].sent_after, self.sent_at)

    def test_the_first_byte_counts_where_a_request_comes_in_pieces(self):
        async def scenario():
            client = self.connect()
            client.sendall(b"GET / HTTP/1.1\r\n")
            await asyncio.sleep(PAUSE_SECONDS)
            client.sendall(b"host: h\r\n\r\n")

        self.play(scenario)
        arrival, handled_at = self.arrivals[0]
        self.assertGreater(handled_at - arrival.read_at, PAUSE_SECONDS * 0.9)

    # Guards against requests that come while the process starts, and are taken for new ones.
    def test_a_request_that_came_before_connections_are_accepted(self):
        async def before():
            self.sent_at = self.send(self.connect())
            for _ in range(20):
                await asyncio.sleep(0.02)

        async def scenario():
            self.send(self.connect())

        self.play(scenario, before)
        first, second = (arrival for arrival, _ in self.arrivals)
        self.assertLess(first.sent_after, self.sent_at)
        self.assertLess(second.read_at - second.sent_after, MAX_IDLE_POLL_SECONDS)

    # Guards against the same while the process has no descriptors left to accept with.
    def test_a_request_that_came_while_the_listening_socket_was_not_polled(self):
        async def before():
            pass

        async def scenario():
            loop = asyncio.get_running_loop()
            key = loop._selector.unregister(self.listener)
            self.sent_at = self.send(self.connect())
            for _ in range(20):
                await asyncio.sleep(0.02)
            loop._selector.register(self.listener, key.events, key.data)

        self.play(scenario, before)
        self.assertLess(self.arrivals[0][0].sent_after, self.sent_at)

    def test_a_request_on_a_calm_day_was_read_soon(self):
        async def scenario():
            self.send(self.connect())
            await asyncio.sleep(0.1)
            self.send(self.connect())

        self.play(scenario)
        for arrival, _ in self.arrivals:
            self.assertLess(arrival.read_at - arrival.sent_after, MAX_IDLE_POLL_SECONDS)

    # Guards against callers that pay for a pause though they have sent their request near its end.
    def test_a_request_on_a_connection_that_was_opened_in_a_pause_is_as_old_as_that(self):
        async def scenario():
            time.sleep(PAUSE_SECONDS)
            client = self.connect()
            self.connected_at = read_boot_clock()
            time.sleep(0.1)
            self.sent_at = self.send(client)
            time.sleep(0.1)

        self.play(scenario)
        arrival, _ = self.arrivals[0]
        self.assertLess(arrival.sent_after, self.sent_at)
        self.assertAlmostEqual(arrival.sent_after, self.connected_at, delta=0.03)


class TestIdleTime(unittest.TestCase):
    """What the kernel tells of a connection, and where it isn't taken into account."""

    def setUp(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.client = socket.create_connection(listener.getsockname())
        self.connection, _ = listener.accept()
        for opened in (listener, self.client, self.connection):
            self.addCleanup(opened.close)

    def build_poll_times(self, seconds, suspended_seconds=0.0):
        """Returns poll times whose earliest poll lies back, perhaps with a suspension since."""
        now = read_clocks()
        poll_times = PollTimes()
        earliest = ClockReading(
            boot=now.boot - seconds, monotonic=now.monotonic - seconds + suspended_seconds
        )
        poll_times.started_at.append(earliest)
        return poll_times

    def test_it_counts_from_the_handshake_and_from_what_was_last_sent(self):
        time.sleep(0.2)
        self.client.sendall(b"request")
        time.sleep(0.1)
        self.assertAlmostEqual(measure_idle_time(self.connection), 0.31, delta=0.03)
        self.connection.sendall(b"response")
        time.sleep(0.1)
        self.client.sendall(b"request")
        self.assertAlmostEqual(measure_idle_time(self.connection), 0.11, delta=0.03)

    def test_a_connection_that_is_younger_than_the_pause_bounds_the_arrival(self):
        self.client.sendall(b"request")
        arrival = measure_arrival(self.build_poll_times(3.5), self.connection)
        self.assertLess(arrival.read_at - arrival.sent_after, 0.1)

    def test_an_old_connection_leaves_the_bound_of_the_polls(self):
        self.client.sendall(b"request")
        time.sleep(0.5)
        arrival = measure_arrival(self.build_poll_times(0.4), self.connection)
        self.assertAlmostEqual(arrival.read_at - arrival.sent_after, 0.4, delta=0.02)

    # Guards against trust in the kernel's count where the machine was suspended whole.
    def test_it_is_not_trusted_after_a_suspension(self):
        self.client.sendall(b"request")
        arrival = measure_arrival(self.build_poll_times(3.5, 3.2), self.connection)
        self.assertAlmostEqual(arrival.read_at - arrival.sent_after, 3.5, delta=0.02)

    def test_a_kernel_that_tells_nothing_leaves_the_bound_of_the_polls(self):
        for info in (b"", bytes(136), b"\x01" * 104, b"\x01" * 44 + bytes(92)):
            connection = mock.Mock(getsockopt=lambda *arguments, info=info: info)
            arrival = measure_arrival(self.build_poll_times(3.5), connection)
            self.assertAlmostEqual(arrival.read_at - arrival.sent_after, 3.5, delta=0.02)
        self.connection.close()
        self.assertEqual(measure_idle_time(self.connection), -1.0)
