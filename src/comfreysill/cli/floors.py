"""Commands about the floor document."""

import asyncio
import pathlib
import time
from typing import Any

import uuid_utils

from comfreysill.cli.client import Reply, ask
from comfreysill.entry.administration import check_floor
from comfreysill.exceptions import DocumentError, RefusedError, UnreachableError, UsageError
from comfreysill.floor.document import diff_documents
from comfreysill.schemas import read_yaml

FLOOR_PATH = "/admin/v1/floor"
TRIES = 5
RETRY_SECONDS = 0.5


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
    """Applies a document, and again with the same change id while its fate is unknown.

    Args:
        entry: Address of an entry.
        document: The document.
        author: Who makes the change.
        previous: Version that the change was made on, None for the one in force.

    Returns:
        The accepted version.

    Raises:
        RefusedError: The document was refused, or another change came first.
        UnreachableError: The store gave no answer in any try.
    """
    if previous is None:
        previous = find_version(entry)
    change = {
        "previous": previous,
        "change_id": str(uuid_utils.uuid7()),
        "author": author,
        "document": document,
    }
    for _ in range(TRIES):
        reply = asyncio.run(ask(entry, "PUT", FLOOR_PATH, change))
        if reply.status != 503:
            return _check_change(reply)
        time.sleep(RETRY_SECONDS)
    raise UnreachableError(
        message=f"the change may or may not be in force: {reply.document.get('detail')}",
        hint="look with `comfreysill floor show`, then apply again if it is not",
    )


def find_version(entry: str) -> int:
    """Returns the number of the version in force, 0 before the first."""
    reply = asyncio.run(ask(entry, "GET", FLOOR_PATH))
    if reply.status == 404:
        return 0
    return check_admin(reply)["version"]


def find_history(entry: str) -> list[dict[str, Any]]:
    """Returns all versions, the oldest first."""
    return check_admin(asyncio.run(ask(entry, "GET", f"{FLOOR_PATH}/history")))["versions"]


def find_past(entry: str, version: int) -> Any:
    """Returns the document of a past version.

    Raises:
        UsageError: There is no such version.
    """
    for item in find_history(entry):
        if item["version"] == version:
            return item["document"]
    raise UsageError(
        message=f"VERSION {version}: no such version", hint="see `comfreysill floor history`"
    )


def diff_with_current(entry: str, document: Any) -> list[str]:
    """Returns a line for each place in which a document differs from the one in force."""
    reply = asyncio.run(ask(entry, "GET", FLOOR_PATH))
    current = {} if reply.status == 404 else check_admin(reply)["document"]
    return diff_documents(current, document)


def check_admin(reply: Reply) -> Any:
    """Returns the document of a successful reply.

    Raises:
        RefusedError: The entry refused the request.
        UnreachableError: The entry's store gave no answer.
    """
    if reply.status < 400:
        return reply.document
    detail = reply.document.get("detail") or reply.document.get("title", "")
    if reply.status == 503:
        raise UnreachableError(message=detail, hint="the platform's table is away; try later")
    raise RefusedError(message=f"the entry answered {reply.status}: {detail}")


def _check_change(reply: Reply) -> dict[str, Any]:
    if reply.status < 400:
        return reply.document
    document = reply.document
    lines = [document.get("detail") or document.get("title", "")]
    lines += [f"  {line}" for line in document.get("difference", [])]
    lines += [f"  {item['path']}: {item['reason']}" for item in document.get("problems", [])]
    raise RefusedError(message="\n".join(lines), hint="nothing was changed")
