"""Bodies of the HTTP requests that the platform's clients and runners send."""

from typing import Any


async def read_body(receive: Any, most_bytes: int) -> bytes | None:
    """Reads the body of a request; a client that leaves ends it.

    Returns:
        None when it is longer than allowed.
    """
    chunks = []
    size = 0
    while True:
        message = await receive()
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > most_bytes:
            return None
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)
