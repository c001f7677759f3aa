"""Limits of links: the frames that are counted before the library sees them, and a server."""

import asyncio
import unittest

from comfreysill.address import parse_address
from comfreysill.connections.frames import CALL_COST, FrameReading, read_frames
from comfreysill.connections.limits import LinkLimits
from comfreysill.connections.reasons import Reason
from comfreysill.gateway.roster import RosterService, fetch_routes
from comfreysill.mailbox import Mailbox
from comfreysill.platform.rejections import Rejections
from comfreysill.servers import build_guard, start_grpc
from standins.hostile_forms import (
    CALL,
    CALL_FIELDS,
    CONTINUATION,
    DATA,
    END_HEADERS,
    FRAME_BYTES,
    HEADERS,
    HTTP2_OPENING,
    HTTP2_START,
    LONG_FIELDS,
    PING,
    build_frame,
)

LIMITS = LinkLimits()
ADDRESS = "127.231.0.1:7720"
CLOSING_SECONDS = 10.0
A_PING = build_frame(PING, 0, 0, b"p" * 8)
A_MESSAGE = build_frame(DATA, 0, 1, b"a" * 10)


class TestFrames(unittest.TestCase):
    def setUp(self):
        self.reading = FrameReading(now=0.0)

    def read(self, data, now=0.0):
        return read_frames(self.reading, LIMITS, data, now)

    def test_frames_without_data_are_limited_and_allowed_again_with_time(self):
        self.assertIsNone(self.read(HTTP2_OPENING + A_PING * LIMITS.control_frames))
        self.assertEqual(self.read(A_PING), Reason.CONTROL_FRAMES)
        later = 1.0 + 1 / LIMITS.control_frames_per_second
        self.assertIsNone(self.read(A_PING * int(LIMITS.control_frames_per_second), later))

    def test_messages_are_not_limited(self):
        self.assertIsNone(self.read(HTTP2_START + CALL + A_MESSAGE * 10_000))

    def test_the_count_does_not_depend_on_the_reads(self):
        data = HTTP2_OPENING + (A_MESSAGE + A_PING) * (LIMITS.control_frames + 1)
        for size in (1, 7, 100):
            self.reading = FrameReading(now=0.0)
            parts = [data[start : start + size] for start in range(0, len(data), size)]
            reasons = [self.read(part) for part in parts]
            self.assertEqual(set(reasons[: -2 * len(A_PING) // size - 2]), {None})
            self.assertIn(Reason.CONTROL_FRAMES, reasons)

    def test_the_head_of_a_call_is_limited_over_all_of_its_frames(self):
        part = build_frame(CONTINUATION, 0, 1, LONG_FIELDS[: FRAME_BYTES // 2])
        self.assertIsNone(self.read(HTTP2_START + build_frame(HEADERS, 0, 1, CALL_FIELDS) + part))
        self.assertEqual(self.read(part), Reason.HEAD_BYTES)

    def test_calls_are_limited(self):
        self.assertIsNone(self.read(HTTP2_START))
        calls = LIMITS.control_frames // CALL_COST
        self.assertEqual(self.read(CALL * calls), Reason.CONTROL_FRAMES)


class TestServer(unittest.IsolatedAsyncioTestCase):
    """A server in this process."""

    async def asyncSetUp(self):
        self.guard = build_guard(max_descriptors=280, memory_bytes=16 << 20)
        service = RosterService(
            inbox=Mailbox(),
            get_routes=lambda: b"r" * 1_000_000,
            get_members=lambda: [],
            rejections=Rejections(),
        )
        self.server = await start_grpc([service], parse_address(ADDRESS), guard=self.guard)
        self.addCleanup(self.server.close)

    async def connect(self, data):
        host, _, port = ADDRESS.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def await_end(self, reader):
        async with asyncio.timeout(CLOSING_SECONDS):
            try:
                await reader.read()
            except ConnectionResetError:
                return

    async def check_served(self):
        self.assertEqual(len(await fetch_routes(ADDRESS)), 1_000_000)

    async def test_a_link_over_its_limits_is_closed_and_others_are_served(self):
        for data in (
            HTTP2_START + A_PING * (LIMITS.control_frames + 1),
            b"GET / HTTP/1.1\r\n\r\n" * 10,
            HTTP2_START + build_frame(0x7F, END_HEADERS, 1, b"x") * (LIMITS.control_frames + 1),
        ):
            await self.await_end(await self.connect(data))
            await self.check_served()
        self.assertIn(Reason.CONTROL_FRAMES, self.guard.table.counters)

    # Guards against links without a call that take the place of those that other processes need.
    async def test_links_without_a_call_make_room(self):
        maximum = self.guard.links.limits.connections
        readers = [await self.connect(HTTP2_START) for _ in range(maximum)]
        await self.check_served()
        await self.await_end(readers[0])
        self.assertLessEqual(len(self.guard.links.connections), maximum)

    async def test_messages_that_are_not_complete_are_limited_together(self):
        limit = self.guard.links.limits.held_bytes
        start = build_frame(DATA, 0, 1, b"\0" + (1 << 30).to_bytes(4, "big"))
        part = build_frame(DATA, 0, 1, b"a" * 10_000)
        readers = [await self.connect(HTTP2_START + CALL + start + part * 20) for _ in range(6)]
        ends = [asyncio.create_task(self.await_end(reader)) for reader in readers]
        done, others = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        for end in others:
            end.cancel()
        self.assertTrue(done)
        self.assertLessEqual(self.guard.links.held_bytes, limit)
        await self.check_served()


if __name__ == "__main__":
    unittest.main()
