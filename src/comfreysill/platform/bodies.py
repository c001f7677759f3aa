"""Reads the bodies of HTTP requests."""

from typing import Any


async def read_body(receive: Any, max_bytes: int) -> bytes | None:
    """Reads the body of a request; a disconnect ends the body.

    Args:
        receive: ASGI receive function.
        max_bytes: Maximum size of the body.

    Returns:
        The body, or None if it exceeds the maximum.
    """
    chunks = []
    size = 0
    while True:
        message = await receive()
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > max_bytes:
            return None
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)
