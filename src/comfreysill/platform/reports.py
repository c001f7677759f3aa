"""HTTP endpoint for the reports and the deregistration of the runner beside an agent."""

import logging
from collections.abc import Callable
from typing import Any

from result import Err

from comfreysill.execution.calls import RunnerReport
from comfreysill.platform.bodies import read_body
from comfreysill.platform.runner import decode_report

logger = logging.getLogger(__name__)

INSTANCES_PATH = "/api/instances/"
REPORT_SUFFIX = "/heartbeat"
DEREGISTER_SUFFIX = "/deregister"
# A report has a few hundred bytes; a runner may send up to 4 MiB.
MAX_BODY_BYTES = 4 << 20

ReportHandler = Callable[[RunnerReport], None]
DeregistrationHandler = Callable[[str], None]


def build_reports_app(
    on_report: ReportHandler, on_deregister: DeregistrationHandler
) -> Callable[..., Any]:
    """Builds the ASGI application that the runner calls.

    Args:
        on_report: Called with each decoded report.
        on_deregister: Called with the id of a runner that deregisters.
    """

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
            status = _handle_call(
                scope["path"][len(INSTANCES_PATH) :], body, on_report, on_deregister
            )
        headers = [(b"content-type", b"application/json"), (b"content-length", b"2")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b"{}"})

    return serve


def _handle_call(
    resource: str, body: bytes, on_report: ReportHandler, on_deregister: DeregistrationHandler
) -> int:
    """Handles a call and returns the HTTP status of the response."""
    if resource.endswith(DEREGISTER_SUFFIX):
        on_deregister(resource[: -len(DEREGISTER_SUFFIX)])
        return 200
    if not resource.endswith(REPORT_SUFFIX):
        return 404
    decoded = decode_report(resource[: -len(REPORT_SUFFIX)], body)
    if isinstance(decoded, Err):
        logger.warning(
            "runner report could not be decoded", extra={"fields": {"why": decoded.err_value}}
        )
        return 400
    on_report(decoded.ok_value)
    return 200
