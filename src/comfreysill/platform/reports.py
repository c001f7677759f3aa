"""HTTP endpoint for the reports and the deregistration of the runner beside an agent."""

import re
import time
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from comfreysill.execution.calls import RunnerReport
from comfreysill.platform.bodies import read_body
from comfreysill.platform.documents import MAX_NAME_CHARS
from comfreysill.platform.rejections import RejectedEntry, Rejections, record_rejections
from comfreysill.platform.runner_reports import decode_report

INSTANCES_PATH = "/api/instances/"
REPORT_SUFFIX = "/heartbeat"
DEREGISTER_SUFFIX = "/deregister"
# A report has a few hundred bytes; a runner may send up to 4 MiB.
MAX_BODY_BYTES = 4 << 20

# Bound of the difference between the clocks of a runner and an agent.
MAX_BORN_AHEAD_SECONDS = 86_400.0
_RUNNER_ID = re.compile(rf"[!-.0-~]{{1,{MAX_NAME_CHARS}}}")


class ReportHandlers:
    """What the endpoint calls, and what a report must say.

    Attributes:
        on_report: Called with each usable report.
        on_deregister: Called with the id of a runner that deregisters.
        service: Service of the runner, empty if it isn't known.
        rejections: Records the reports that can't be used.
    """

    __slots__ = ("on_report", "on_deregister", "service", "rejections")

    def __init__(
        self,
        *,
        on_report: Callable[[RunnerReport], None],
        on_deregister: Callable[[str], None],
        service: str,
        rejections: Rejections,
    ) -> None:
        self.on_report = on_report
        self.on_deregister = on_deregister
        self.service = service
        self.rejections = rejections


def build_reports_app(handlers: ReportHandlers) -> Callable[..., Any]:
    """Builds the ASGI application that the runner calls."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        status = 413 if body is None else 404
        if (
            body is not None
            and scope["method"] == "POST"
            and scope["path"].startswith(INSTANCES_PATH)
        ):
            status = _handle_call(handlers, scope["path"][len(INSTANCES_PATH) :], body)
        headers = [(b"content-type", b"application/json"), (b"content-length", b"2")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b"{}"})

    return serve


def _handle_call(handlers: ReportHandlers, resource: str, body: bytes) -> int:
    """Handles a call and returns the HTTP status of the response."""
    runner_id, _, kind = resource.rpartition("/")
    if f"/{kind}" not in (REPORT_SUFFIX, DEREGISTER_SUFFIX):
        return 404
    decoded = _read_call(handlers, runner_id, body if f"/{kind}" == REPORT_SUFFIX else None)
    if isinstance(decoded, Err):
        why = decoded.err_value
        rejected = RejectedEntry(name=runner_id[:MAX_NAME_CHARS], identity=why, why=why)
        record_rejections(handlers.rejections, "reports of runners", [rejected])
        return 400
    if decoded.ok_value is None:
        handlers.on_deregister(runner_id)
    else:
        handlers.on_report(decoded.ok_value)
    return 200


def _read_call(
    handlers: ReportHandlers, runner_id: str, body: bytes | None
) -> Result[RunnerReport | None, str]:
    """Checks a report, or a deregistration without body; the error says why it can't be used."""
    if _RUNNER_ID.fullmatch(runner_id) is None:
        return Err("the id has a character that no header takes, or is too long")
    if body is None:
        return Ok(None)
    return decode_report(runner_id, body).and_then(lambda report: _check_report(handlers, report))


def _check_report(handlers: ReportHandlers, report: RunnerReport) -> Result[RunnerReport, str]:
    """Rejects a report that would put another runner in the place of the one beside the agent."""
    if handlers.service and report.service != handlers.service:
        return Err(f"service: expected {handlers.service!r}, got {report.service!r}")
    if report.lifetime.started_at_ms > (time.time() + MAX_BORN_AHEAD_SECONDS) * 1000:
        return Err("born: it is in the future")
    return Ok(report)
