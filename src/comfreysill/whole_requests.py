"""Requests that can't be received completely: nothing of them is run, and clients are told."""

from typing import Any

import msgspec
from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from comfreysill.connections.reasons import RETRIED_STATUSES, Reason

RETRY_AFTER_SECONDS = 1


class RequestAborted(BaseException):
    """Ends an application whose request can't be received completely."""


def build_refusal(status: int, reason: Reason) -> bytes:
    """Builds the answer to a message that wasn't received."""
    body = msgspec.json.encode({"error": f"refused, nothing was run: {reason.value}"})
    lines = [
        STATUS_LINE[status].rstrip(),
        b"content-type: application/json",
        b"content-length: %d" % len(body),
        b"connection: close",
    ]
    if status in RETRIED_STATUSES:
        lines.append(b"retry-after: %d" % RETRY_AFTER_SECONDS)
    return b"\r\n".join((*lines, b"", body))


def build_whole_request_app(app: Any) -> Any:
    """Wraps an ASGI application so that it ends if its request isn't received completely."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        is_whole = False

        async def receive_part() -> dict[str, Any]:
            nonlocal is_whole
            message = await receive()
            if message["type"] == "http.disconnect" and not is_whole:
                raise RequestAborted
            is_whole = is_whole or not message.get("more_body")
            return message

        try:
            await app(scope, receive_part, send)
        except RequestAborted:
            return

    return serve
