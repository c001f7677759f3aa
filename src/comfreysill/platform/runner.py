"""Client of the runner beside an agent."""

import math
from typing import Any, TypedDict

import aiohttp
import msgspec
from result import Err, Ok, Result

from comfreysill.address import Address
from comfreysill.clock import read_boot_clock
from comfreysill.execution.calls import (
    CallReply,
    ListedRun,
    RenewCall,
    RenewReply,
    ReplyStatus,
    RunEnd,
    RunnerLifetime,
    StartCall,
    StopCall,
    build_unanswered_reply,
)
from comfreysill.platform.bodies import read_answer
from comfreysill.platform.documents import (
    MAX_INTEGER,
    ClockMs,
    Integer,
    decode_document,
    encode_document,
)
from comfreysill.platform.rejections import RejectedEntry, Rejections, record_rejections

COMMAND_TIMEOUT_SECONDS = 0.1
RENEWAL_TIMEOUT_MARGIN_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 0.1
# A call that is sent late, as the process was busy, is answered no faster for it.
MIN_TIMEOUT_SECONDS = 0.02
MAX_CONNECTIONS = 8
# Shorter than the idle timeout of the runner, so that no call uses a connection being closed.
KEEPALIVE_SECONDS = 1.25
# The platform numbers the occurrences of a repeated job; a single job has this number.
FIRST_OCCURRENCE = "0"
STATUS_BY_REASON = {
    "fence": ReplyStatus.FENCED,
    "old": ReplyStatus.OLD_RUN,
    "late": ReplyStatus.LATE,
    "room": ReplyStatus.NO_ROOM,
}
STATUS_BY_HTTP_STATUS = {
    421: ReplyStatus.GONE,
    429: ReplyStatus.UNHEALTHY,
    503: ReplyStatus.UNHEALTHY,
    400: ReplyStatus.INVALID,
}

# Each row of `running` is [task, run, checkpoint, percent, ...], and each row of `ended` is
# [number, task, run, outcome, ...].
ReplyDocument = TypedDict(
    "ReplyDocument",
    {
        "clock-ms": ClockMs,
        "born": Integer,
        "reason": str,
        "running": list[list[Any]],
        "ended": list[list[Any]],
    },
    total=False,
)
# Fields of each list of runs; without `born` it may be another lifetime's.
LIST_FIELDS = frozenset({"clock-ms", "born", "running", "ended"})
REPLY_DECODER = msgspec.json.Decoder(ReplyDocument)


class RunnerClient:
    """Client of the runner.

    Attributes:
        base_url: Base URL of the runner.
        session: HTTP session.
        rejections: Records the replies that can't be decoded.
    """

    __slots__ = ("base_url", "session", "rejections")

    def __init__(self, *, base_url: str, session: aiohttp.ClientSession) -> None:
        self.base_url = base_url
        self.session = session
        self.rejections = Rejections()


def open_runner(address: Address) -> RunnerClient:
    """Opens a client; its `session` has to be closed."""
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_SECONDS)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    )
    return RunnerClient(base_url=f"http://{address}", session=session)


async def send_command(runner: RunnerClient, call: StartCall | StopCall) -> CallReply:
    """Sends a start or stop call and returns the reply."""
    body: dict[str, Any] = {
        "task": encode_task(call.task),
        "run": call.run,
        "fencing-token": call.token,
    }
    path = "/api/run-stop"
    timeout_seconds = COMMAND_TIMEOUT_SECONDS
    if isinstance(call, StartCall):
        path = "/api/run-start"
        body["spec"] = call.payload
        body["deadline-ms"] = call.lease_until_ms
        timeout_seconds = _limit_timeout(call, COMMAND_TIMEOUT_SECONDS)
    status, document = await _post(runner, path, body, call.lifetime, timeout_seconds)
    return CallReply(call=call, status=status, clock_ms=_read_clock(document))


async def send_renewal(runner: RunnerClient, call: RenewCall) -> CallReply | RenewReply:
    """Renews the run leases; the reply lists the active runs and those that have ended.

    With `lease_until_ms` 0 the leases stay unchanged. With `wait_ms`, the runner may delay its
    response until a run ends (long polling). A reply that can't be decoded counts as UNANSWERED.
    """
    body: dict[str, Any] = {"fencing-token": call.token, "last-seen": call.ended_seen}
    if call.lease_until_ms:
        body["deadline-ms"] = call.lease_until_ms
    if call.wait_ms:
        body["wait-ms"] = call.wait_ms
    timeout_seconds = _limit_timeout(call, call.wait_ms / 1000 + RENEWAL_TIMEOUT_MARGIN_SECONDS)
    status, document = await _post(runner, "/api/hold", body, call.lifetime, timeout_seconds)
    decoded = build_renew_reply(call, status, document)
    if isinstance(decoded, Err):
        _report_unreadable(runner, decoded.err_value)
        return build_unanswered_reply(call)
    return decoded.ok_value


def _limit_timeout(call: StartCall | RenewCall, timeout_seconds: float) -> float:
    """Returns the timeout of a call, which ends at its `answer_by` at the latest."""
    return min(timeout_seconds, max(MIN_TIMEOUT_SECONDS, call.answer_by - read_boot_clock()))


def build_renew_reply(
    call: RenewCall, status: ReplyStatus, document: ReplyDocument
) -> Result[RenewReply, str]:
    """Builds the reply to a renewal; the error names what is missing or can't be decoded."""
    missing = LIST_FIELDS - document.keys()
    if status == ReplyStatus.ACCEPTED and missing:
        return Err(f"missing: {', '.join(sorted(missing))}")
    try:
        running = [_decode_listed_run(row) for row in document.get("running", ())]
        ended = [_decode_run_end(row) for row in document.get("ended", ())]
    except (ValueError, OverflowError, TypeError, IndexError, AttributeError) as error:
        return Err(f"{type(error).__name__} {error}")
    return Ok(
        RenewReply(
            call=call,
            status=status,
            clock_ms=_read_clock(document),
            started_at_ms=document.get("born", 0),
            running=running,
            ended=ended,
        )
    )


def _report_unreadable(runner: RunnerClient, detail: str) -> None:
    """Counts and logs a reply that can't be decoded; the same one comes again and again."""
    rejected = RejectedEntry(name=runner.base_url, identity=detail, why=detail)
    record_rejections(runner.rejections, "runner reply could not be decoded", [rejected])


def encode_task(name: str) -> str:
    """Converts a task name to the platform's form, `request.occurrence.step.index`."""
    request_id, step, index = name.rsplit("/", 2)
    return f"{request_id}.{FIRST_OCCURRENCE}.{step}.{index}"


def decode_task(name: str) -> str:
    """Converts a task name from the platform's form."""
    request_id, _, step, index = name.rsplit(".", 3)
    return f"{request_id}/{step}/{index}"


async def _post(
    runner: RunnerClient,
    path: str,
    body: dict[str, Any],
    lifetime: RunnerLifetime,
    timeout_seconds: float,
) -> tuple[ReplyStatus, ReplyDocument]:
    timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
    headers = {"Content-Type": "application/json", "X-Expect-Instance": lifetime.runner_id}
    try:
        async with runner.session.post(
            runner.base_url + path, data=encode_document(body), headers=headers, timeout=timeout
        ) as response:
            text = await read_answer(response)
            status = response.status
    except aiohttp.ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return (ReplyStatus.REFUSED if refused else ReplyStatus.UNANSWERED), {}
    except aiohttp.ServerDisconnectedError:
        return ReplyStatus.DISCONNECTED, {}
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
        return ReplyStatus.UNANSWERED, {}
    decoded = decode_document(REPLY_DECODER, text or b"{}")
    if isinstance(decoded, Err):
        _report_unreadable(runner, decoded.err_value)
        return ReplyStatus.UNANSWERED, {}
    document = decoded.ok_value
    if status == 200:
        return ReplyStatus.ACCEPTED, document
    if status == 409:
        return STATUS_BY_REASON.get(document.get("reason", ""), ReplyStatus.INVALID), document
    return STATUS_BY_HTTP_STATUS.get(status, ReplyStatus.UNANSWERED), document


def _read_clock(document: ReplyDocument) -> int:
    return int(document.get("clock-ms", -1))


def _decode_listed_run(row: list[Any]) -> ListedRun:
    percent = float(row[3]) if len(row) > 3 else 0.0
    if not math.isfinite(percent):
        raise ValueError(f"percent: {percent}")
    return ListedRun(task=decode_task(row[0]), run=_read_integer(row[1]), percent=percent)


def _decode_run_end(row: list[Any]) -> RunEnd:
    return RunEnd(
        number=_read_integer(row[0]),
        task=decode_task(row[1]),
        run=_read_integer(row[2]),
        outcome=str(row[3]),
    )


def _read_integer(value: Any) -> int:
    number = int(value)
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError("a number out of range")
    return number
