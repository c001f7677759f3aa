"""Reads the bodies of HTTP requests, and of the answers to this process."""

from typing import Any

import aiohttp

# Answers of the store and of runners are below 1 MB.
MAX_ANSWER_BYTES = 4 << 20


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


async def read_answer(response: aiohttp.ClientResponse) -> bytes:
    """Reads the body of an answer.

    Raises:
        ValueError: It is larger than `MAX_ANSWER_BYTES`; the connection is closed.
    """
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            response.close()
            raise ValueError(f"an answer over {MAX_ANSWER_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
