"""Reports of the runner beside an agent, taken over HTTP."""

import logging
from collections.abc import Callable
from typing import Any

from result import Err

from comfreysill.platform.bodies import read_body
from comfreysill.platform.runner import decode_report
from comfreysill.running.calls import RunnerReport

logger = logging.getLogger(__name__)

PREFIX = "/api/instances/"
REPORT_SUFFIX = "/heartbeat"
LEAVE_SUFFIX = "/deregister"
# A report has a few hundred bytes; 4 MiB is the most that a runner may send.
MOST_BYTES = 4 << 20

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
        body = await read_body(receive, MOST_BYTES)
        status = 413 if body is None else 404
        if body is not None and scope["method"] == "POST" and scope["path"].startswith(PREFIX):
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
