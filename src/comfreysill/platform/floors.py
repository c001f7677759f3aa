"""Versions of the floor document in the platform's store."""

from typing import Annotated, Any, Required, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from comfreysill.job.types import Verdict
from comfreysill.platform.documents import MAX_INTEGER, Name, OptionalName
from comfreysill.platform.store import StoreClient, StoreError, StoreFault
from comfreysill.platform.table import Row, Write, commit, decode_row, read_row, scan_rows

CURRENT_KEY = "floor/current"
HISTORY_PREFIX = "floor/history/"

VersionDocument = TypedDict(
    "VersionDocument",
    {
        "version": Required[Annotated[int, Meta(ge=1, le=MAX_INTEGER)]],
        "change_id": Required[Name],
        "author": Required[OptionalName],
        "changed_at": Required[Annotated[float, Meta(ge=0)]],
        "document": Required[dict[str, Any]],
    },
    total=False,
)
_DECODER = msgspec.json.Decoder(VersionDocument)


class FloorVersion:
    """An accepted version of the floor document.

    Attributes:
        version: Version number, starting at 1.
        change_id: Idempotency key of the change, set by the operator's tool.
        author: Author of the change.
        changed_at: Unix time in seconds.
        document: The floor document.
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
    """Reads the current version; None before the first one, or if it can't be decoded."""
    row = await read_row(store, CURRENT_KEY)
    return row.map(lambda found: _decode_version(store, found) if found is not None else None)


async def read_history(store: StoreClient) -> Result[list[FloorVersion], StoreError]:
    """Reads all versions that can be decoded, oldest first."""
    scan = await scan_rows(store, HISTORY_PREFIX)
    return scan.map(lambda found: _decode_versions(store, found.rows))


async def write_version(
    store: StoreClient, previous: int, change: FloorVersion
) -> Result[FloorVersion, StoreError]:
    """Writes a document as the version after the previous one.

    The write succeeds only if the previous version is still in force. If the history already
    contains the change id, nothing is written and its version is returned, so that a client
    whose response was lost can safely repeat the call.

    Args:
        store: The platform's store.
        previous: Version that the change is based on, 0 if there is none.
        change: The change; its version number is overwritten.

    Returns:
        The written version; `StoreFault.CONFLICT` if another version is in force.
    """
    row = await read_row(store, CURRENT_KEY)
    if isinstance(row, Err):
        return row
    history = await read_history(store)
    if isinstance(history, Err):
        return history
    for accepted in history.ok_value:
        if accepted.change_id == change.change_id:
            return Ok(accepted)
    current = row.ok_value
    in_force = _find_version_in_force(store, current, history.ok_value)
    if in_force != previous:
        return Err(_build_conflict(previous, in_force))
    change.version = previous + 1
    expected_revision = current.revision if current is not None else 0
    written = await commit(store, _build_writes(change, expected_revision))
    return written.map(lambda _: change)


def _build_writes(change: FloorVersion, expected_revision: int) -> tuple[Write, ...]:
    value = {
        "version": change.version,
        "change_id": change.change_id,
        "author": change.author,
        "changed_at": change.changed_at,
        "document": change.document,
    }
    return (
        Write(key=CURRENT_KEY, value=value, expected_revision=expected_revision),
        Write(key=f"{HISTORY_PREFIX}{change.version:010d}", value=value, expected_revision=0),
    )


def _build_conflict(previous: int, in_force: int) -> StoreError:
    return StoreError(
        fault=StoreFault.CONFLICT,
        verdict=Verdict.NOT_RUN,
        detail=f"the change was made on version {previous}, but version {in_force} is in force",
    )


def _find_version_in_force(
    store: StoreClient, current: Row | None, history: list[FloorVersion]
) -> int:
    """Returns the current version, that of the history if its row can't be decoded, 0 for none."""
    if current is None:
        return 0
    version = _decode_version(store, current)
    if version is not None:
        return version.version
    return max((accepted.version for accepted in history), default=0)


def _decode_versions(store: StoreClient, rows: tuple[Row, ...]) -> list[FloorVersion]:
    decoded = [_decode_version(store, row) for row in rows]
    return [version for version in decoded if version is not None]


def _decode_version(store: StoreClient, row: Row) -> FloorVersion | None:
    document = decode_row(store, row, _DECODER)
    if document is None:
        return None
    return FloorVersion(
        version=document["version"],
        change_id=document["change_id"],
        author=document["author"],
        changed_at=document["changed_at"],
        document=document["document"],
    )
