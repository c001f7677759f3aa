"""How the end of a runner's process, and cuts, appear to its agent; against processes on loopback.

What a refused connection proves depends on how the calls before it ended.
"""

import asyncio
import contextlib
import os
import signal
import sys
import unittest

from comfreysill.address import parse_address
from comfreysill.execution.calls import (
    RenewCall,
    ReplyStatus,
    RunnerLifetime,
    StartCall,
)
from comfreysill.platform.runner import open_runner, send_command, send_renewal

# Answers a renewal that doesn't wait at once; prints a line for any other call, without an answer.
RUNNER = """
import asyncio

async def serve(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\\r\\n\\r\\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\\r\\n")[0])
            body = await reader.readexactly(length)
            if b"wait-ms" in body or b"/api/hold" not in head:
                print("open", flush=True)
                await asyncio.sleep(60)
            answer = b'{"clock-ms":1,"born":1,"running":[],"ended":[]}'
            head = b"HTTP/1.1 200 OK\\r\\ncontent-length: %d\\r\\n\\r\\n" % len(answer)
            writer.write(head + answer)
            await writer.drain()
    except asyncio.IncompleteReadError:
        pass

async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()

asyncio.run(main())
"""
LIFETIME = RunnerLifetime(runner_id="i", started_at_ms=1)
# Until a request has been written, or the end of a connection been seen.
SETTLING_SECONDS = 0.05


class PlatformRunnerCallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-S", "-c", RUNNER, stdout=asyncio.subprocess.PIPE
        )
        port = int(await self.process.stdout.readline())
        self.runner = open_runner(parse_address(f"127.0.0.1:{port}"))

    async def asyncTearDown(self):
        await self.runner.session.close()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def renew(self, wait_ms=0):
        call = RenewCall(
            lifetime=LIFETIME, token=1, ended_seen=0, lease_until_ms=0, wait_ms=wait_ms, sent_at=0.0
        )
        return (await send_renewal(self.runner, call)).status

    async def start(self):
        call = StartCall(
            lifetime=LIFETIME, task="r/0/0", run=1, payload="", lease_until_ms=1, token=1
        )
        return (await send_command(self.runner, call)).status

    async def kill(self):
        self.process.kill()
        await self.process.wait()

    async def test_the_end_of_a_process_closes_open_calls_before_it_refuses_new_ones(self):
        self.assertEqual(await self.renew(), ReplyStatus.ACCEPTED)
        calls = [asyncio.create_task(self.renew(wait_ms=2000)), asyncio.create_task(self.start())]
        for _ in calls:
            await self.process.stdout.readline()
        await self.kill()
        self.assertEqual(await asyncio.gather(*calls), [ReplyStatus.DISCONNECTED] * 2)
        self.assertEqual(await self.renew(), ReplyStatus.REFUSED)

    # A renewal sent right after the last answer is written to a connection that is closed already.
    async def test_the_end_of_a_process_just_before_a_renewal_closes_its_connection(self):
        self.assertEqual(await self.renew(), ReplyStatus.ACCEPTED)
        self.process.kill()
        # Without a turn of the event loop, in which the end of the connection would be seen.
        with contextlib.suppress(ChildProcessError):
            os.waitid(os.P_PID, self.process.pid, os.WEXITED | os.WNOWAIT)
        self.assertEqual(await self.renew(), ReplyStatus.DISCONNECTED)
        self.assertEqual(await self.renew(), ReplyStatus.REFUSED)

    # Without an open call the end of a process can't be told from a cut that refuses connections.
    async def test_the_end_of_a_process_without_an_open_call_is_only_refused(self):
        self.assertEqual(await self.renew(), ReplyStatus.ACCEPTED)
        await self.kill()
        await asyncio.sleep(SETTLING_SECONDS)
        self.assertEqual(await self.renew(), ReplyStatus.REFUSED)

    async def test_a_silent_runner_is_not_taken_for_one_whose_process_has_ended(self):
        self.assertEqual(await self.renew(), ReplyStatus.ACCEPTED)
        self.process.send_signal(signal.SIGSTOP)
        self.assertEqual(await self.renew(), ReplyStatus.UNANSWERED)
        self.assertEqual(await self.start(), ReplyStatus.UNANSWERED)

    # A connection with bytes that were never read is reset at the end of its process; so may a cut
    # reset it.
    async def test_a_reset_connection_is_not_taken_for_the_end_of_a_process(self):
        self.process.send_signal(signal.SIGSTOP)
        call = asyncio.create_task(self.renew(wait_ms=2000))
        await asyncio.sleep(SETTLING_SECONDS)
        await self.kill()
        self.assertEqual(await call, ReplyStatus.UNANSWERED)


if __name__ == "__main__":
    unittest.main()
