"""Commands that read and change the floor document."""

import asyncio
import pathlib
import time
from typing import Any

import uuid_utils

from comfreysill.cli.client import Reply, request_once
from comfreysill.entry.administration import check_floor
from comfreysill.exceptions import DocumentError, RefusedError, UnreachableError, UsageError
from comfreysill.floor.document import diff_documents
from comfreysill.schemas import read_yaml

FLOOR_PATH = "/admin/v1/floor"
MAX_ATTEMPTS = 5
RETRY_INTERVAL_SECONDS = 0.5


def read_floor_file(path: pathlib.Path) -> Any:
    """Reads and checks a floor document.

    Raises:
        DocumentError: The document has errors; all of them are listed.
        UsageError: The file can't be read.
    """
    document = read_yaml(path, "FILE")
    problems = check_floor(document)
    if problems:
        raise DocumentError(source=str(path), problems=tuple(problems))
    return document


def apply_document(entry: str, document: Any, author: str, previous: int | None) -> dict[str, Any]:
    """Applies a document.

    Repeats the request with the same change ID while the entry's store is unreachable, so that the
    change is applied at most once.

    Args:
        entry: Base URL of an entry.
        document: The document.
        author: Author of the change.
        previous: Version that the change is based on, None for the current version.

    Returns:
        The accepted version.

    Raises:
        RefusedError: The document was refused, or another change was applied first.
        UnreachableError: The entry or its store is unreachable.
    """
    if previous is None:
        previous = fetch_current_version(entry)
    change = {
        "previous": previous,
        "change_id": str(uuid_utils.uuid7()),
        "author": author,
        "document": document,
    }
    for _ in range(MAX_ATTEMPTS):
        reply = asyncio.run(request_once(entry, "PUT", FLOOR_PATH, change))
        if reply.status != 503:
            return _check_change(reply)
        time.sleep(RETRY_INTERVAL_SECONDS)
    raise UnreachableError(
        message=f"the change may or may not have been applied: {reply.document.get('detail')}",
        hint="check with `comfreysill floor show`, and apply again if it was not",
    )


def fetch_current_version(entry: str) -> int:
    """Returns the current version number, 0 if there is no document."""
    reply = asyncio.run(request_once(entry, "GET", FLOOR_PATH))
    if reply.status == 404:
        return 0
    return check_admin_reply(reply)["version"]


def fetch_history(entry: str) -> list[dict[str, Any]]:
    """Returns all versions, oldest first."""
    return check_admin_reply(asyncio.run(request_once(entry, "GET", f"{FLOOR_PATH}/history")))[
        "versions"
    ]


def fetch_past_document(entry: str, version: int) -> Any:
    """Returns the document of a past version.

    Raises:
        UsageError: The version does not exist.
    """
    for item in fetch_history(entry):
        if item["version"] == version:
            return item["document"]
    raise UsageError(
        message=f"VERSION {version}: version not found", hint="see `comfreysill floor history`"
    )


def diff_with_current(entry: str, document: Any) -> list[str]:
    """Returns one line for each difference from the current document.

    A missing current document counts as `{}`.
    """
    reply = asyncio.run(request_once(entry, "GET", FLOOR_PATH))
    current = {} if reply.status == 404 else check_admin_reply(reply)["document"]
    return diff_documents(current, document)


def check_admin_reply(reply: Reply) -> Any:
    """Returns the document of a successful reply.

    Raises:
        RefusedError: The entry refused the request.
        UnreachableError: The entry's store is unreachable.
    """
    if reply.status < 400:
        return reply.document
    detail = reply.document.get("detail") or reply.document.get("title", "")
    if reply.status == 503:
        raise UnreachableError(
            message=detail, hint="the platform's store is unavailable; try again later"
        )
    raise RefusedError(message=f"the entry responded with status {reply.status}: {detail}")


def _check_change(reply: Reply) -> dict[str, Any]:
    if reply.status < 400:
        return reply.document
    document = reply.document
    lines = [document.get("detail") or document.get("title", "")]
    lines += [f"  {line}" for line in document.get("difference", [])]
    lines += [f"  {item['path']}: {item['reason']}" for item in document.get("problems", [])]
    raise RefusedError(message="\n".join(lines), hint="the floor document was not changed")
