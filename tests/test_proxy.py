import asyncio
import math
import socket
import struct
import time
import unittest

from standins.proxy import (
    Mode,
    Proxy,
    break_clients,
    reset_connections,
    start_proxy,
    stop_proxy,
)

ADDRESS, TARGET = "127.210.0.1:8200", "127.210.0.2:8200"
HOLD_SECONDS = 0.4
# How much later than due something may happen on a busy machine.
TOLERANCE_SECONDS = 0.35
TIMEOUT_SECONDS = 5.0


def reset(writer):
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class TestProxy(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Time and bytes of what the target has seen; none for an opening, empty for an end.
        self.seen = asyncio.Queue()
        self.target_writers = []
        host, _, port = TARGET.partition(":")
        server = await asyncio.start_server(self.accept, host, int(port))
        self.addCleanup(server.close)
        self.proxy = Proxy(address=ADDRESS, target=TARGET)
        await start_proxy(self.proxy)
        self.addAsyncCleanup(stop_proxy, self.proxy)

    def accept(self, reader, writer):
        self.target_writers.append(writer)
        recorder = asyncio.create_task(self.record(reader, writer))
        self.addCleanup(recorder.cancel)
        self.addCleanup(writer.transport.abort)

    async def record(self, reader, writer):
        self.seen.put_nowait((time.monotonic(), None))
        while True:
            try:
                chunk = await reader.read(1000)
            except OSError:
                chunk = b""
            self.seen.put_nowait((time.monotonic(), chunk))
            if not chunk:
                writer.close()
                return
            writer.write(chunk.upper())

    async def connect(self):
        host, _, port = ADDRESS.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def expect(self, chunk, earliest=0.0):
        """Checks what the target sees next, and that it isn't before a time, nor long after it."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            seen_at, seen = await self.seen.get()
        self.assertEqual(seen, chunk)
        if earliest:
            self.assertGreaterEqual(seen_at, earliest)
            self.assertLess(seen_at, earliest + TOLERANCE_SECONDS)
        return seen_at

    async def expect_nothing(self, seconds):
        await asyncio.sleep(seconds)
        self.assertTrue(self.seen.empty())

    async def read(self, reader, count):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await reader.readexactly(count)

    async def open_kept_alive(self):
        """Returns a connection on which an exchange has taken place."""
        reader, writer = await self.connect()
        writer.write(b"ab")
        self.assertEqual(await self.read(reader, 2), b"AB")
        await self.expect(None)
        await self.expect(b"ab")
        return reader, writer

    async def check_client_is_broken(self, reader):
        with self.assertRaises(ConnectionResetError):
            await self.read(reader, 1)

    async def test_bytes_and_ends_pass_both_ways(self):
        reader, writer = await self.open_kept_alive()
        writer.close()
        await self.expect(b"", time.monotonic())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await reader.read(), b"")

    async def test_an_end_of_the_target_comes_after_its_last_bytes(self):
        reader, _ = await self.open_kept_alive()
        self.target_writers[0].write(b"x" * 300_000)
        self.target_writers[0].close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await reader.read(), b"x" * 300_000)

    async def test_each_byte_of_a_kept_connection_is_held_for_the_same_time(self):
        reader, writer = await self.open_kept_alive()
        self.proxy.hold_seconds = HOLD_SECONDS
        sent_at = []
        for chunk in (b"c", b"d", b"e"):
            sent_at.append(time.monotonic())
            writer.write(chunk)
            await asyncio.sleep(HOLD_SECONDS / 2)
        writer.close()
        ended_at = time.monotonic()
        for chunk, began_at in zip((b"c", b"d", b"e"), sent_at, strict=True):
            await self.expect(chunk, began_at + HOLD_SECONDS)
        await self.expect(b"", ended_at + HOLD_SECONDS)

    async def test_answers_are_held_as_well(self):
        reader, writer = await self.open_kept_alive()
        self.proxy.hold_seconds = HOLD_SECONDS
        writer.write(b"c")
        seen_at = await self.expect(b"c", time.monotonic() + HOLD_SECONDS)
        self.assertEqual(await self.read(reader, 1), b"C")
        self.assertGreaterEqual(time.monotonic(), seen_at + HOLD_SECONDS)

    async def test_an_opening_is_held_and_its_client_may_be_gone_by_then(self):
        self.proxy.hold_seconds = HOLD_SECONDS
        opened_at = time.monotonic()
        _, writer = await self.connect()
        writer.write(b"c")
        await asyncio.sleep(HOLD_SECONDS / 2)
        writer.transport.abort()
        ended_at = time.monotonic()
        await self.expect(None, opened_at + HOLD_SECONDS)
        await self.expect(b"c", opened_at + HOLD_SECONDS)
        await self.expect(b"", ended_at + HOLD_SECONDS)

    async def test_an_answer_to_a_client_that_has_left_ends_nothing_early(self):
        _, writer = await self.open_kept_alive()
        self.proxy.hold_seconds = 2 * HOLD_SECONDS
        writer.transport.abort()
        ended_at = time.monotonic()
        for _ in range(3):
            self.target_writers[0].write(b"x")
            await asyncio.sleep(HOLD_SECONDS / 10)
        await self.expect(b"", ended_at + 2 * HOLD_SECONDS)

    async def test_what_is_held_is_not_overtaken_when_nothing_is_held_any_more(self):
        _, writer = await self.open_kept_alive()
        self.proxy.hold_seconds = HOLD_SECONDS
        writer.write(b"c")
        sent_at = time.monotonic()
        await asyncio.sleep(0.1)
        self.proxy.hold_seconds = 0.0
        writer.write(b"d")
        await self.expect(b"cd", sent_at + HOLD_SECONDS)

    async def test_a_break_that_the_target_is_never_told_of(self):
        reader, _ = await self.open_kept_alive()
        self.assertEqual(break_clients(self.proxy, math.inf), 1)
        await self.check_client_is_broken(reader)
        self.target_writers[0].write(b"answer")
        await self.expect_nothing(2 * HOLD_SECONDS)
        self.assertFalse(self.target_writers[0].transport.is_closing())
        self.assertEqual(break_clients(self.proxy, 0.0), 0)

    async def test_a_break_that_the_target_is_told_of_late(self):
        reader, _ = await self.open_kept_alive()
        broken_at = time.monotonic()
        break_clients(self.proxy, HOLD_SECONDS)
        await self.check_client_is_broken(reader)
        self.assertLess(time.monotonic(), broken_at + HOLD_SECONDS)
        await self.expect(b"", broken_at + HOLD_SECONDS)

    async def test_a_connection_of_a_broken_client_ends_with_its_target(self):
        await self.open_kept_alive()
        break_clients(self.proxy, math.inf)
        self.target_writers[0].close()
        await self.expect(b"")
        await asyncio.sleep(0.1)
        self.assertEqual(self.proxy.connections, set())

    async def test_new_connections_break_by_themselves(self):
        self.proxy.break_seconds, self.proxy.told_seconds = HOLD_SECONDS, HOLD_SECONDS
        opened_at = time.monotonic()
        reader, _ = await self.open_kept_alive()
        await self.check_client_is_broken(reader)
        self.assertGreaterEqual(time.monotonic(), opened_at + HOLD_SECONDS)
        await self.expect(b"", opened_at + 2 * HOLD_SECONDS)

    async def test_one_way_cuts_drop_the_bytes_of_one_way(self):
        reader, writer = await self.open_kept_alive()
        self.proxy.mode = Mode.CUT_BACK
        writer.write(b"c")
        await self.expect(b"c")
        await asyncio.sleep(0.1)
        self.proxy.mode = Mode.CUT_FORTH
        writer.write(b"d")
        await self.expect_nothing(0.1)
        self.target_writers[0].write(b"e")
        self.assertEqual(await self.read(reader, 1), b"e")

    async def test_held_ends_pass_once_the_mode_has_changed(self):
        _, writer = await self.open_kept_alive()
        await self.check_held_end(writer, writer.close)

    async def test_a_reset_of_the_client_is_an_end_that_is_held(self):
        _, writer = await self.open_kept_alive()
        await self.check_held_end(writer, lambda: reset(writer))

    async def check_held_end(self, writer, leave):
        self.proxy.mode = Mode.HOLD_ENDS
        writer.write(b"c")
        await self.expect(b"c")
        leave()
        await self.expect_nothing(HOLD_SECONDS)
        self.proxy.mode = Mode.PASS
        await self.expect(b"", time.monotonic())

    async def test_a_reset_ends_both_sides_at_once_and_loses_what_is_held(self):
        reader, writer = await self.open_kept_alive()
        self.proxy.hold_seconds = 2 * HOLD_SECONDS
        opening_reader, _ = await self.connect()
        writer.write(b"c")
        await asyncio.sleep(HOLD_SECONDS / 2)
        reset_connections(self.proxy)
        await self.expect(b"", time.monotonic())
        await self.check_client_is_broken(reader)
        await self.check_client_is_broken(opening_reader)
        await self.expect_nothing(2 * HOLD_SECONDS)
        self.assertEqual(self.proxy.connections, set())


if __name__ == "__main__":
    unittest.main()
