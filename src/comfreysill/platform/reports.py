"""Reports of the runner beside an agent, taken over HTTP."""

import logging
from collections.abc import Callable
from typing import Any

from result import Err

from comfreysill.platform.runner import decode_report
from comfreysill.running.calls import RunnerReport

logger = logging.getLogger(__name__)

PREFIX = "/api/instances/"
REPORT_SUFFIX = "/heartbeat"
LEAVE_SUFFIX = "/deregister"

TakeReport = Callable[[RunnerReport], None]
TakeLeaving = Callable[[str], None]


def build_reports_app(report: TakeReport, leave: TakeLeaving) -> Callable[..., Any]:
    """Builds the ASGI application that the runner calls.

    Args:
        report: Takes a report.
        leave: Takes the id of a runner that ends.
    """

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        status = 404
        if scope["method"] == "POST" and scope["path"].startswith(PREFIX):
            status = _take_call(scope["path"][len(PREFIX) :], body, report, leave)
        headers = [(b"content-type", b"application/json"), (b"content-length", b"2")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b"{}"})

    return serve


def _take_call(rest: str, body: bytes, report: TakeReport, leave: TakeLeaving) -> int:
    """Takes a call and returns the status of its answer."""
    if rest.endswith(LEAVE_SUFFIX):
        leave(rest[: -len(LEAVE_SUFFIX)])
        return 200
    if not rest.endswith(REPORT_SUFFIX):
        return 404
    decoded = decode_report(rest[: -len(REPORT_SUFFIX)], body)
    if isinstance(decoded, Err):
        logger.warning("unreadable report", extra={"fields": {"why": decoded.err_value}})
        return 400
    report(decoded.ok_value)
    return 200


async def _read_body(receive: Any) -> bytes:
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)
