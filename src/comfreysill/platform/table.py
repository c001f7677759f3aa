"""Rows of the table `comfreysill` in the platform's store, with documents in JSON.

The daemon `comfreysilld` (entries and agents of the job API) keeps its state there.
A version of the store is called revision here, as some rows hold documents with versions.
"""

from typing import Any

import msgspec
from result import Err, Ok, Result

from comfreysill.address import parse_address
from comfreysill.job.types import Verdict
from comfreysill.platform.documents import DocumentType, decode_document, encode_document
from comfreysill.platform.rejections import RejectedEntry, record_rejections
from comfreysill.platform.store import (
    RowSet,
    RowWrite,
    StoreClient,
    StoreError,
    StoreFault,
    commit_rows,
    open_store,
    read_rows,
)

TABLE = "comfreysill"


class Row:
    """A row of the table.

    Attributes:
        key: Key of the row.
        revision: Revision of the store when the row was last written.
        text: Its document, not decoded.
    """

    __slots__ = ("key", "revision", "text")

    def __init__(self, *, key: str, revision: int, text: bytes) -> None:
        self.key = key
        self.revision = revision
        self.text = text


class Scan:
    """The rows with a key prefix at one revision of the store."""

    __slots__ = ("revision", "rows")

    def __init__(self, *, revision: int, rows: tuple[Row, ...]) -> None:
        self.revision = revision
        self.rows = rows


class Write:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: New value, None to delete the row.
        expected_revision: Revision that the row must have, 0 if it must not exist, None for any.
    """

    __slots__ = ("key", "value", "expected_revision")

    def __init__(self, *, key: str, value: Any, expected_revision: int | None = None) -> None:
        self.key = key
        self.value = value
        self.expected_revision = expected_revision


def open_store_from_url(base_url: str) -> StoreClient:
    """Opens a client for a URL such as `http://10.0.0.1:80`; its `session` has to be closed."""
    return open_store(parse_address(base_url.removeprefix("http://")))


async def scan_rows(store: StoreClient, prefix: str) -> Result[Scan, StoreError]:
    """Reads all rows whose keys begin with a prefix, at one revision."""
    answer = await read_rows(store, TABLE, prefix)
    return answer.and_then(_build_scan)


async def read_row(store: StoreClient, key: str) -> Result[Row | None, StoreError]:
    """Reads one row; the result is None if it doesn't exist."""
    # The scan may include other rows whose keys begin with this key.
    answer = await scan_rows(store, key)
    return answer.map(lambda scan: next((row for row in scan.rows if row.key == key), None))


async def commit(store: StoreClient, writes: tuple[Write, ...]) -> Result[int, StoreError]:
    """Applies writes in one transaction and returns the store's new revision."""
    return await commit_rows(store, TABLE, tuple(_encode_write(write) for write in writes))


def decode_row(
    store: StoreClient, row: Row, decoder: msgspec.json.Decoder[DocumentType]
) -> DocumentType | None:
    """Decodes a row's document; None, counted and logged once, if it can't be decoded."""
    decoded = decode_document(decoder, row.text)
    if isinstance(decoded, Err):
        reject_row(store, row, decoded.err_value)
        return None
    return decoded.ok_value


def reject_row(store: StoreClient, row: Row, why: str) -> None:
    """Counts and logs a row that can't be used, once."""
    rejected = RejectedEntry(name=row.key, identity=row.revision, why=why)
    record_rejections(store.rejections, TABLE, [rejected])


def _encode_write(write: Write) -> RowWrite:
    value = None if write.value is None else encode_document(write.value)
    return RowWrite(key=write.key, value=value, expected_version=write.expected_revision)


def _build_scan(row_set: RowSet) -> Result[Scan, StoreError]:
    if not row_set.complete:
        # Whoever reads these rows takes what isn't among them as removed.
        detail = "the store says that there are more rows, but not which"
        return Err(StoreError(fault=StoreFault.UNREACHABLE, verdict=Verdict.NOT_RUN, detail=detail))
    rows = tuple(
        Row(key=row.key, revision=row.version, text=row.value)
        for row in row_set.rows
        if row.value is not None
    )
    return Ok(Scan(revision=row_set.version, rows=rows))
