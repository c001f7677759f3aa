"""Calls of the runner: one task for each call, over a bounded number of connections."""

import asyncio
import time

import aiohttp

from comfreysill.agent.messages import LedgerMessage, RunEnded, RunnerAnnounced
from comfreysill.mailbox import Mailbox
from comfreysill.target.ledger import Record
from comfreysill.target.messages import Outcome

RUN_LIMIT_SECONDS = 60.0
CONNECT_LIMIT_SECONDS = 1.0
REFUSAL_STATUS = 503
REFUSAL_HEADER = "Comfreysill-Verdict"
REFUSAL_VALUE = "not-run"


class RunnerCalls:
    """Owner of the connections to the runner."""

    __slots__ = ("session", "inbox", "calls", "connections")

    def __init__(self, *, inbox: Mailbox[LedgerMessage]) -> None:
        self.inbox = inbox
        self.session: aiohttp.ClientSession | None = None
        self.connections = 0
        self.calls: set[asyncio.Task] = set()


def start_call(calls: RunnerCalls, runner: RunnerAnnounced, record: Record) -> None:
    """Calls the runner in a task of its own, which reports to the ledger task."""
    if calls.session is None:
        connector = aiohttp.TCPConnector(limit=runner.connections)
        calls.session = aiohttp.ClientSession(connector=connector)
    call = asyncio.get_running_loop().create_task(_call(calls, runner, record))
    calls.calls.add(call)
    call.add_done_callback(calls.calls.discard)


async def close_calls(calls: RunnerCalls) -> None:
    """Closes the connections to the runner."""
    if calls.session is not None:
        await calls.session.close()


async def _call(calls: RunnerCalls, runner: RunnerAnnounced, record: Record) -> None:
    batch, task = record.batch, record.task
    started = time.monotonic()
    url = f"http://{runner.host}:{runner.port}/run"
    headers = {
        "Comfreysill-Team": batch.key.team,
        "Comfreysill-Job": batch.key.job_id,
        "Comfreysill-Task": str(task.index),
        "Comfreysill-Attempt": str(task.attempt),
    }
    outcome, payload = await _post(calls.session, url, headers, task.payload)
    run_seconds = time.monotonic() - started
    calls.inbox.post(
        RunEnded(record=record, outcome=outcome, payload=payload, run_seconds=run_seconds)
    )


async def _post(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str], payload: bytes
) -> tuple[Outcome | None, bytes]:
    """Posts a task.

    A connection that broke after the request was sent proves nothing: the task may have run.

    Returns:
        The outcome, None for a proven refusal, and the result or the failure's text.
    """
    timeout = aiohttp.ClientTimeout(total=RUN_LIMIT_SECONDS, sock_connect=CONNECT_LIMIT_SECONDS)
    try:
        async with session.post(url, data=payload, headers=headers, timeout=timeout) as response:
            body = await response.read()
            status, verdict = response.status, response.headers.get(REFUSAL_HEADER)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return None, b""
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Outcome.LOST, type(error).__name__.encode()
    if status == 200:
        return Outcome.DONE, body
    if status == REFUSAL_STATUS and verdict == REFUSAL_VALUE:
        return None, body
    return Outcome.FAILED, body
