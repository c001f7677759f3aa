"""HTTP client for the API of an entry."""

import os
from typing import Any

import aiohttp
import orjson

from comfreysill.exceptions import RefusedError, UnreachableError

KEY_VARIABLE = "COMFREYSILL_KEY"
JOB_PATH = "/v1/teams/{team}/jobs/{job_id}"


class Reply:
    """HTTP status and JSON document that an entry returned; the document is None without a body."""

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
    """Sends one request to an entry, given by its base URL.

    The key in the environment variable `COMFREYSILL_KEY`, if there is one, is sent as bearer token.

    Raises:
        UnreachableError: The entry did not answer, or not with JSON.
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
            message=f"--entry {entry}: no response ({type(error).__name__})",
            hint="check the address, or use another entry",
        ) from error
    except orjson.JSONDecodeError as error:
        raise UnreachableError(
            message=f"--entry {entry}: the response is not JSON",
            hint="check that this is the address of an entry",
        ) from error


async def request_once(entry: str, method: str, path: str, document: Any = None) -> Reply:
    """Sends one request over a new connection."""
    async with aiohttp.ClientSession() as session:
        return await send_request(session, entry, method, path, document)


def check_reply(reply: Reply) -> Any:
    """Returns the document of a successful reply.

    Raises:
        RefusedError: The status of the reply is 400 or higher.
    """
    if reply.status < 400:
        return reply.document
    problem = reply.document if isinstance(reply.document, dict) else {}
    detail = problem.get("detail") or problem.get("description") or problem.get("title", "")
    raise RefusedError(message=f"the entry responded with status {reply.status}: {detail}")
