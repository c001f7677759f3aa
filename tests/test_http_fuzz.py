"""Broken HTTP from a grammar, against the protocol of all servers on a transport without a network.

Whatever comes in: no exception leaves the protocol, what the application runs and what is answered
doesn't depend on how the bytes are split into reads, and nothing is run that is refused. CI plays
the same cases in each run; HTTP_EXAMPLES and FUZZ_SEED play others.
"""

import asyncio
import os
import random
import re
import unittest

from comfreysill.bounded_http import BoundedHttpProtocol
from comfreysill.connection_guard import ConnectionGuard
from comfreysill.connections.limits import ConnectionLimits, ProcessLimits
from comfreysill.servers import build_http

EXAMPLES = int(os.environ.get("HTTP_EXAMPLES", "400"))
SEED = int(os.environ.get("FUZZ_SEED", "1"))
# Cases that once failed, by their seeds.
KEPT_SEEDS = ()
TURNS_PER_READ = 12
LINES = (
    b"Host: h\r\n",
    b"Host : h\r\n",
    b"Host: h\n",
    b"Host: h\rX: y\r\n",
    b" folded\r\n",
    b"X: a\r\n\tb\r\n",
    b"no colon\r\n",
    b": empty\r\n",
    b"X: \x00\r\n",
    b"X\xff: \xff\r\n",
    b"Content-Length: 2\r\n",
    b"Content-Length: 2\r\nContent-Length: 2\r\n",
    b"Content-Length: 2\r\nContent-Length: 3\r\n",
    b"Content-Length: +2\r\n",
    b"Content-Length: -2\r\n",
    b"Content-Length: 0x2\r\n",
    b"Content-Length: 2, 2\r\n",
    b"Content-Length: 99999999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: chunked, identity\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Transfer-Encoding:\x0bchunked\r\n",
    b"Connection: close\r\n",
    b"Connection: upgrade\r\nUpgrade: websocket\r\n",
    b"Expect: 100-continue\r\n",
)
STARTS = (
    b"GET / HTTP/1.1\r\n",
    b"POST /a HTTP/1.1\r\n",
    b"DELETE /a HTTP/1.1\r\n",
    b"POST  /a HTTP/1.1\r\n",
    b"POST /a HTTP/1.0\r\n",
    b"POST /a HTTP/2.0\r\n",
    b"POST /a\r\n",
    b"POST http://h:80/a?b#c HTTP/1.1\r\n",
    b"POST /%zz%00 HTTP/1.1\r\n",
    b"CONNECT h:80 HTTP/1.1\r\n",
    b"OPTIONS * HTTP/1.1\r\n",
    b"PRI * HTTP/2.0\r\n",
    b"nonsense\r\n",
    b"\r\n\r\nGET / HTTP/1.1\r\n",
    b"\nGET / HTTP/1.1\r\n",
)
BODIES = (
    b"",
    b"{}",
    b"2\r\n{}\r\n0\r\n\r\n",
    b"2\r\n{}\r\n0\r\nX: y\r\n\r\n",
    b"2;a=b\r\n{}\r\n0;c\r\n\r\n",
    b"02\r\n{}\r\n000\r\n\r\n",
    b"+2\r\n{}\r\n0\r\n\r\n",
    b"-2\r\n{}\r\n0\r\n\r\n",
    b"0x2\r\n{}\r\n0\r\n\r\n",
    b" 2\r\n{}\r\n0\r\n\r\n",
    b"2 \r\n{}\r\n0\r\n\r\n",
    b"2\n{}\n0\n\n",
    b"2\r\n{}X\r\n0\r\n\r\n",
    b"3\r\n{}\r\n0\r\n\r\n",
    b"ffffffffffffffffff\r\n{}",
    b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
    b"2\r\n{}\r\n0\r\n\r\nPOST /smuggled HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
)


class FakeTransport(asyncio.Transport):
    """Records what is written."""

    def __init__(self):
        super().__init__()
        self.written, self.closing, self.paused = b"", False, False

    def get_extra_info(self, name, default=None):
        return default

    def write(self, data):
        assert not self.closing, "written after the end"
        self.written += data

    def write_eof(self):
        return None

    def close(self):
        self.closing = True

    abort = close

    def is_closing(self):
        return self.closing

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        return None


def build_case(seed):
    """Returns the bytes of a few requests, most of them broken in one place."""
    choose = random.Random(seed)
    data = b""
    for _ in range(choose.randint(1, 4)):
        start = choose.choice(STARTS[:3] if choose.random() < 0.7 else STARTS)
        lines = b"".join(choose.choice(LINES) for _ in range(choose.randint(0, 3)))
        if choose.random() < 0.4:
            lines = choose.choice((b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n"))
        data += start + lines + b"\r\n" + choose.choice(BODIES)
    if choose.random() < 0.2:
        data = data[: choose.randint(1, len(data))]
    return data


class Play:
    """One connection on which a case is sent in parts.

    Attributes:
        run: Method, path and body of each request that the application got whole.
        statuses: Status of each answer.
        errors: Exceptions that left the protocol or the application.
    """

    def __init__(self):
        self.run, self.statuses, self.errors = [], [], []

    async def serve(self, scope, receive, send):
        body, more = b"", True
        while more:
            message = await receive()
            # As applications do that take the end of a connection for the end of a body.
            body, more = body + message.get("body", b""), message.get("more_body", False)
        self.run.append((scope["method"], scope["path"], body))
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})

    async def send(self, parts):
        limits = ProcessLimits(connections=10, queued=10, held_bytes=1 << 20)
        guard = ConnectionGuard(limits=ConnectionLimits(), process_limits=limits)
        server = build_http(self.serve, guard=guard)
        server.config.load()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: self.errors.append(context))
        protocol = BoundedHttpProtocol(
            guard=guard,
            limits=guard.limits,
            poll_times=None,
            config=server.config,
            server_state=server.server_state,
            app_state={},
            _loop=loop,
        )
        transport = FakeTransport()
        protocol.connection_made(transport)
        for part in parts:
            if transport.closing:
                break
            protocol.get_buffer(-1)[: len(part)] = part
            protocol.buffer_updated(len(part))
            for _ in range(TURNS_PER_READ):
                await asyncio.sleep(0)
        protocol.connection_lost(None)
        for _ in range(TURNS_PER_READ):
            await asyncio.sleep(0)
        self.statuses = re.findall(rb"HTTP/1\.1 ([2-5]\d\d) ", transport.written)
        assert not guard.table.connections and not guard.table.held_bytes
        assert not server.server_state.tasks, "a task goes on"


def play(parts):
    """Sends the parts of a case on a new connection."""
    result = Play()
    asyncio.run(result.send(parts))
    return result


class TestBrokenHttp(unittest.TestCase):
    def check(self, seed):
        data = build_case(seed)
        whole = play([data])
        choose = random.Random(seed)
        cut = choose.randint(1, max(1, len(data) - 1))
        for parts in ([data[:cut], data[cut:]], [data[at : at + 1] for at in range(len(data))]):
            split = play([part for part in parts if part])
            self.assertEqual(split.run, whole.run, (seed, data))
            self.check_answers(split, (seed, data))
        self.check_answers(whole, (seed, data))

    def check_answers(self, result, case):
        """Checks that what was run was answered, and at most one refusal follows.

        A GET or DELETE with a broken body is refused in words only if it wasn't started.
        """
        self.assertEqual(result.errors, [], case)
        served = len(result.run)
        self.assertEqual(result.statuses[:served], [b"200"] * served, case)
        self.assertLessEqual(len(result.statuses), served + 1, case)
        self.assertNotIn(b"200", result.statuses[served:], case)

    def test_what_is_run_does_not_depend_on_the_reads(self):
        for seed in (*KEPT_SEEDS, *range(SEED * 1_000_000, SEED * 1_000_000 + EXAMPLES)):
            self.check(seed)


if __name__ == "__main__":
    unittest.main()
