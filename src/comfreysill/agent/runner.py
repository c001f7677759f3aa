"""HTTP client of the runner: an asyncio task per call, over a bounded number of connections."""

import asyncio
import time
from types import SimpleNamespace

import aiohttp

from comfreysill.agent.messages import LedgerMessage, RunEnded, RunnerAnnounced
from comfreysill.mailbox import Mailbox
from comfreysill.target.ledger import Record
from comfreysill.target.messages import Outcome

RUN_TIMEOUT_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 1.0
REFUSAL_STATUS = 503
REFUSAL_HEADER = "Comfreysill-Verdict"
REFUSAL_VALUE = "not-run"


class RunnerClient:
    """Connections to the runner, and the asyncio tasks that call it.

    Attributes:
        session: HTTP session, None before the first call. It allows as many connections as the
            runner's announcement did at that call.
        inbox: Receives the outcomes of the calls.
        calls: Asyncio tasks of the open calls.
        connections: Not used.
    """

    __slots__ = ("session", "inbox", "calls", "connections")

    def __init__(self, *, inbox: Mailbox[LedgerMessage]) -> None:
        self.inbox = inbox
        self.session: aiohttp.ClientSession | None = None
        self.connections = 0
        self.calls: set[asyncio.Task] = set()


def start_call(client: RunnerClient, runner: RunnerAnnounced, record: Record) -> None:
    """Calls the runner for a record in a new asyncio task, which posts the outcome."""
    if client.session is None:
        client.session = open_session(runner.connections)
    call = asyncio.get_running_loop().create_task(_call(client, runner, record))
    client.calls.add(call)
    call.add_done_callback(client.calls.discard)


def open_session(connections: int) -> aiohttp.ClientSession:
    """Opens an HTTP session with a maximum number of connections, which traces redirections."""
    trace = aiohttp.TraceConfig()
    trace.on_request_redirect.append(_trace_redirect)
    connector = aiohttp.TCPConnector(limit=connections)
    return aiohttp.ClientSession(connector=connector, trace_configs=[trace])


async def _trace_redirect(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestRedirectParams,
) -> None:
    context.trace_request_ctx.append(params.url)


async def close_client(client: RunnerClient) -> None:
    """Closes the connections to the runner."""
    if client.session is not None:
        await client.session.close()


async def _call(client: RunnerClient, runner: RunnerAnnounced, record: Record) -> None:
    batch, task = record.batch, record.task
    started = time.monotonic()
    url = f"http://{runner.host}:{runner.port}/run"
    headers = {
        "Comfreysill-Team": batch.key.team,
        "Comfreysill-Job": batch.key.job_id,
        "Comfreysill-Task": str(task.index),
        "Comfreysill-Attempt": str(task.attempt),
    }
    outcome, payload = await _post(client.session, url, headers, task.payload)
    run_seconds = time.monotonic() - started
    client.inbox.post(
        RunEnded(record=record, outcome=outcome, payload=payload, run_seconds=run_seconds)
    )


async def _post(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str], payload: bytes
) -> tuple[Outcome | None, bytes]:
    """Posts a task to the runner.

    If the connection breaks or times out after the request was sent, the task may have run; so may
    one that was redirected to an address to which no connection was opened.

    Returns:
        The outcome, or None if the task certainly did not run; and the response body. Without a
        response, the body is the name of the error, or empty if no connection was opened.
    """
    timeout = aiohttp.ClientTimeout(total=RUN_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS)
    redirects: list[object] = []
    try:
        async with session.post(
            url, data=payload, headers=headers, timeout=timeout, trace_request_ctx=redirects
        ) as response:
            body = await response.read()
            status, verdict = response.status, response.headers.get(REFUSAL_HEADER)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        if redirects:
            return Outcome.LOST, type(error).__name__.encode()
        return None, b""
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Outcome.LOST, type(error).__name__.encode()
    if status == 200:
        return Outcome.DONE, body
    if status == REFUSAL_STATUS and verdict == REFUSAL_VALUE:
        return None, body
    return Outcome.FAILED, body
