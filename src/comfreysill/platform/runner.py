"""Calls of the runner beside an agent, and the reports that it sends."""

from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from comfreysill.address import Address
from comfreysill.running.calls import (
    CallReply,
    Lifetime,
    ListedRun,
    RenewCall,
    RenewReply,
    ReplyStatus,
    RunEnd,
    RunnerReport,
    StartCall,
    StopCall,
)

ORDER_SECONDS = 0.1
RENEW_MARGIN_SECONDS = 0.1
CONNECT_SECONDS = 0.1
CONNECTIONS = 16
# The runner closes idle connections; ours are closed sooner.
KEEPALIVE_SECONDS = 1.0
# The platform numbers a job's occurrences; a job without any has this one.
FIRST_OCCURRENCE = "0"
REASONS = {
    "fence": ReplyStatus.FENCED,
    "old": ReplyStatus.OLD_RUN,
    "late": ReplyStatus.LATE,
    "room": ReplyStatus.NO_ROOM,
}
STATUSES = {
    421: ReplyStatus.GONE,
    429: ReplyStatus.UNHEALTHY,
    503: ReplyStatus.UNHEALTHY,
    400: ReplyStatus.INVALID,
}


class RunnerClient:
    """Connections to the runner."""

    __slots__ = ("base", "session")

    def __init__(self, *, base: str, session: aiohttp.ClientSession) -> None:
        self.base = base
        self.session = session


def open_runner(address: Address) -> RunnerClient:
    """Opens a client; the caller closes `session`."""
    connector = aiohttp.TCPConnector(limit=CONNECTIONS, keepalive_timeout=KEEPALIVE_SECONDS)
    session = aiohttp.ClientSession(connector=connector)
    return RunnerClient(base=f"http://{address}", session=session)


async def call_order(runner: RunnerClient, call: StartCall | StopCall) -> CallReply:
    """Sends a start or a stop."""
    body: dict[str, Any] = {
        "task": encode_task(call.task),
        "run": call.run,
        "fencing-token": call.token,
    }
    path = "/api/run-stop"
    if isinstance(call, StartCall):
        path = "/api/run-start"
        body["spec"] = call.payload
        body["deadline-ms"] = call.lease_until
    reply, document = await _post(runner, path, body, call.lifetime, ORDER_SECONDS)
    return CallReply(call=call, reply=reply, clock_ms=_read_clock(document))


async def call_renewal(runner: RunnerClient, call: RenewCall) -> RenewReply:
    """Sends a renewal and waits for the lists of runs."""
    body: dict[str, Any] = {"fencing-token": call.token, "last-seen": call.ended_seen}
    if call.lease_until:
        body["deadline-ms"] = call.lease_until
    if call.wait_ms:
        body["wait-ms"] = call.wait_ms
    limit = call.wait_ms / 1000 + RENEW_MARGIN_SECONDS
    reply, document = await _post(runner, "/api/hold", body, call.lifetime, limit)
    try:
        return RenewReply(
            call=call,
            reply=reply,
            clock_ms=_read_clock(document),
            started_at_ms=int(document.get("born") or 0),
            running=[_decode_entry(row) for row in document.get("running", ())],
            ended=[_decode_end(row) for row in document.get("ended", ())],
        )
    except (ValueError, TypeError, IndexError):
        return RenewReply(
            call=call,
            reply=ReplyStatus.UNANSWERED,
            clock_ms=-1,
            started_at_ms=0,
            running=[],
            ended=[],
        )


def encode_task(name: str) -> str:
    """Returns the platform's name of a task."""
    request_id, step, index = name.rsplit("/", 2)
    return f"{request_id}.{FIRST_OCCURRENCE}.{step}.{index}"


def decode_task(name: str) -> str:
    """Returns the project's name of a task."""
    request_id, _, step, index = name.rsplit(".", 3)
    return f"{request_id}/{step}/{index}"


async def _post(
    runner: RunnerClient, path: str, body: dict[str, Any], lifetime: Lifetime, seconds: float
) -> tuple[ReplyStatus, dict[str, Any]]:
    timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
    headers = {"Content-Type": "application/json", "X-Expect-Instance": lifetime.runner_id}
    try:
        async with runner.session.post(
            runner.base + path, data=orjson.dumps(body), headers=headers, timeout=timeout
        ) as response:
            text = await response.read()
            status = response.status
        document = orjson.loads(text) if text else {}
    except aiohttp.ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return (ReplyStatus.GONE if refused else ReplyStatus.UNANSWERED), {}
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
        return ReplyStatus.UNANSWERED, {}
    if not isinstance(document, dict):
        return ReplyStatus.UNANSWERED, {}
    if status == 200:
        return ReplyStatus.ACCEPTED, document
    if status == 409:
        return REASONS.get(document.get("reason", ""), ReplyStatus.INVALID), document
    return STATUSES.get(status, ReplyStatus.UNANSWERED), document


def _read_clock(document: dict[str, Any]) -> int:
    clock = document.get("clock-ms")
    return int(clock) if isinstance(clock, int | float) else -1


def _decode_entry(row: list[Any]) -> ListedRun:
    percent = float(row[3]) if len(row) > 3 else 0.0
    return ListedRun(task=decode_task(row[0]), run=int(row[1]), percent=percent)


def _decode_end(row: list[Any]) -> RunEnd:
    return RunEnd(
        number=int(row[0]), task=decode_task(row[1]), run=int(row[2]), outcome=str(row[3])
    )


def decode_report(runner_id: str, body: bytes) -> Result[RunnerReport, str]:
    """Decodes a report; the error names what can't be read."""
    try:
        document = orjson.loads(body)
        capacity = document["capacity"]
        state = document["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"unknown state {state!r}")
        return Ok(
            RunnerReport(
                lifetime=Lifetime(
                    runner_id=runner_id, started_at_ms=int(document.get("born") or 0)
                ),
                service=_read_text(document, "service"),
                address=_read_text(document, "address"),
                zone=_read_text(document, "zone"),
                draining=state == "draining",
                sequence=int(document["seq"]),
                cpu=int(capacity["cpu"]),
                memory_mb=int(capacity["mem-mb"]),
                gpus=int(capacity.get("gpus", 0)),
                labels=tuple(str(label) for label in document.get("labels") or ()),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"{type(error).__name__} {error}")


def _read_text(document: dict[str, Any], name: str) -> str:
    value = document[name]
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a text")
    return value
