"""HTTP client of an entry, for the command-line tool."""

import os
from typing import Any

import aiohttp
import orjson

from comfreysill.exceptions import UnreachableError

KEY_VARIABLE = "COMFREYSILL_KEY"
JOB_PATH = "/v1/teams/{team}/jobs/{job_id}"


class Reply:
    """Answer of an entry: HTTP status and JSON document."""

    __slots__ = ("status", "document")

    def __init__(self, *, status: int, document: Any) -> None:
        self.status = status
        self.document = document


async def send_request(
    session: aiohttp.ClientSession,
    entry: str,
    method: str,
    path: str,
    document: Any = None,
) -> Reply:
    """Sends one request to an entry.

    Raises:
        UnreachableError: The entry gave no answer.
    """
    body = orjson.dumps(document) if document is not None else None
    headers = {"Content-Type": "application/json"} if body is not None else {}
    key = os.environ.get(KEY_VARIABLE)
    if key:
        headers["Authorization"] = f"Bearer {key}"
    try:
        async with session.request(method, entry + path, data=body, headers=headers) as answer:
            text = await answer.read()
            return Reply(status=answer.status, document=orjson.loads(text) if text else None)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise UnreachableError(
            message=f"--entry {entry}: no answer ({type(error).__name__})",
            hint="check the address, or name another entry",
        ) from error
    except orjson.JSONDecodeError as error:
        raise UnreachableError(
            message=f"--entry {entry}: the answer is no JSON", hint="is this an entry?"
        ) from error


async def ask(entry: str, method: str, path: str, document: Any = None) -> Reply:
    """Sends one request over a connection of its own."""
    async with aiohttp.ClientSession() as session:
        return await send_request(session, entry, method, path, document)
