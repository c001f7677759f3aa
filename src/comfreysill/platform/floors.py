"""Versions of the floor document in the platform's table."""

from typing import Any

from result import Err, Ok, Result

from comfreysill.job.types import Verdict
from comfreysill.platform.store import StoreClient, StoreError, StoreFault
from comfreysill.platform.table import Row, Write, commit, read_row, scan_rows

CURRENT_KEY = "floor/current"
HISTORY_PREFIX = "floor/history/"


class FloorVersion:
    """One accepted version.

    Attributes:
        version: Number, from 1.
        change_id: Id that the operator's tool gave the change.
        author: Who made the change.
        changed_at: Unix time in seconds.
        document: The document.
    """

    __slots__ = ("version", "change_id", "author", "changed_at", "document")

    def __init__(
        self,
        *,
        version: int,
        change_id: str,
        author: str,
        changed_at: float,
        document: dict[str, Any],
    ) -> None:
        self.version = version
        self.change_id = change_id
        self.author = author
        self.changed_at = changed_at
        self.document = document


async def read_current(store: StoreClient) -> Result[FloorVersion | None, StoreError]:
    """Reads the version in force, None before the first."""
    row = await read_row(store, CURRENT_KEY)
    return row.map(lambda found: _parse(found) if found is not None else None)


async def read_history(store: StoreClient) -> Result[list[FloorVersion], StoreError]:
    """Reads all versions, the oldest first."""
    scan = await scan_rows(store, HISTORY_PREFIX)
    return scan.map(lambda found: [_parse(row) for row in found.rows])


async def write_version(
    store: StoreClient, previous: int, change: FloorVersion
) -> Result[FloorVersion, StoreError]:
    """Accepts a document as the version after the previous one.

    The write holds only if the previous version is still in force. A change id that is in the
    history already is not written again: its version is returned, so that a caller whose answer
    was lost may repeat the call.

    Args:
        store: The platform's store.
        previous: Version that the change was made on, 0 for none.
        change: The change; its version number is ignored.
    """
    row = await read_row(store, CURRENT_KEY)
    if isinstance(row, Err):
        return row
    history = await read_history(store)
    if isinstance(history, Err):
        return history
    for known in history.ok_value:
        if known.change_id == change.change_id:
            return Ok(known)
    current = row.ok_value
    in_force = current.value["version"] if current is not None else 0
    if in_force != previous:
        return Err(_conflict(previous, in_force))
    change.version = previous + 1
    expected = current.revision if current is not None else 0
    written = await commit(store, _build_writes(change, expected))
    return written.map(lambda _: change)


def _build_writes(change: FloorVersion, expected: int) -> tuple[Write, ...]:
    value = {
        "version": change.version,
        "change_id": change.change_id,
        "author": change.author,
        "changed_at": change.changed_at,
        "document": change.document,
    }
    return (
        Write(key=CURRENT_KEY, value=value, expected=expected),
        Write(key=f"{HISTORY_PREFIX}{change.version:010d}", value=value, expected=0),
    )


def _conflict(previous: int, in_force: int) -> StoreError:
    return StoreError(
        fault=StoreFault.CONFLICT,
        verdict=Verdict.NOT_RUN,
        detail=f"the change was made on version {previous}, but version {in_force} is in force",
    )


def _parse(row: Row) -> FloorVersion:
    return FloorVersion(
        version=row.value["version"],
        change_id=row.value["change_id"],
        author=row.value["author"],
        changed_at=row.value["changed_at"],
        document=row.value["document"],
    )
