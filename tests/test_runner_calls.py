"""What a runner's answer, or the lack of one, proves about a task; against servers on loopback."""

import asyncio
import unittest

from comfreysill.agent.runner import REFUSAL_HEADER, REFUSAL_VALUE, _post, open_session
from comfreysill.target.messages import Outcome

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REFUSAL = (
    f"HTTP/1.1 503 Busy\r\n{REFUSAL_HEADER}: {REFUSAL_VALUE}\r\ncontent-length: 0\r\n\r\n".encode()
)
REFUSED_ADDRESS = "http://127.0.0.1:1/run"


def build_redirect(status, url):
    return f"HTTP/1.1 {status} Elsewhere\r\nlocation: {url}\r\ncontent-length: 0\r\n\r\n".encode()


class FakeRunner:
    """Answers the requests that it gets in turn; closes the connection after None or a part."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
                self.requests += 1
                answer = self.answers.pop(0)
                if answer:
                    writer.write(answer)
                    await writer.drain()
                if not answer or not answer.endswith((b"\r\n\r\n", b"ok")):
                    break
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


class RunnerCallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.session = open_session(connections=1)

    async def asyncTearDown(self):
        await self.session.close()

    async def start(self, runner):
        server = await asyncio.start_server(runner.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/run"

    async def call(self, url):
        outcome, _ = await _post(self.session, url, {}, b"payload")
        return outcome

    async def test_only_refusals_prove_that_a_task_did_not_run(self):
        runner = FakeRunner(REFUSAL, OK, b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        url = await self.start(runner)
        outcomes = [await self.call(url) for _ in range(3)]
        self.assertEqual(outcomes, [None, Outcome.DONE, Outcome.FAILED])
        self.assertIsNone(await self.call(REFUSED_ADDRESS))

    # On a connection used before, an HTTP client may send a request without an answer again.
    async def test_a_call_without_an_answer_is_in_doubt_and_made_once(self):
        runner = FakeRunner(OK, None, OK[:-1])
        url = await self.start(runner)
        outcomes = [await self.call(url) for _ in range(3)]
        self.assertEqual(outcomes, [Outcome.DONE, Outcome.LOST, Outcome.LOST])
        self.assertEqual(runner.requests, 3)

    # A redirected task counted as not run if the address it was sent to refused the connection.
    async def test_a_redirected_task_is_not_taken_for_one_that_did_not_run(self):
        statuses = (301, 302, 303, 307, 308)
        runner = FakeRunner(*(build_redirect(status, REFUSED_ADDRESS) for status in statuses))
        url = await self.start(runner)
        outcomes = [await self.call(url) for _ in statuses]
        self.assertEqual(outcomes, [Outcome.LOST] * len(statuses))

    async def test_a_redirected_task_has_the_outcome_of_the_last_answer(self):
        elsewhere = FakeRunner(OK, REFUSAL)
        url = await self.start(elsewhere)
        runner = FakeRunner(build_redirect(307, url), build_redirect(307, url))
        own_url = await self.start(runner)
        outcomes = [await self.call(own_url) for _ in range(2)]
        self.assertEqual(outcomes, [Outcome.DONE, None])
        self.assertEqual((runner.requests, elsewhere.requests), (2, 2))
