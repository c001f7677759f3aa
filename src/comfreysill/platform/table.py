"""Rows of the table `comfreysill` in the platform's store, with values in JSON.

The daemon `comfreysilld` (entries and agents of the job API) keeps its state there.
A version of the store is called revision here, as some rows hold documents with versions.
"""

from typing import Any

import orjson
from result import Result

from comfreysill.address import parse_address
from comfreysill.platform.store import (
    RowSet,
    RowWrite,
    StoreClient,
    StoreError,
    commit_rows,
    open_store,
    read_rows,
)

TABLE = "comfreysill"


class Row:
    """A row of the table; `revision` is that of the store when the row was last written."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, *, key: str, revision: int, value: Any) -> None:
        self.key = key
        self.revision = revision
        self.value = value


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
    return answer.map(_decode_scan)


async def read_row(store: StoreClient, key: str) -> Result[Row | None, StoreError]:
    """Reads one row; the result is None if it doesn't exist."""
    # The scan may include other rows whose keys begin with this key.
    answer = await scan_rows(store, key)
    return answer.map(lambda scan: next((row for row in scan.rows if row.key == key), None))


async def commit(store: StoreClient, writes: tuple[Write, ...]) -> Result[int, StoreError]:
    """Applies writes in one transaction and returns the store's new revision."""
    return await commit_rows(store, TABLE, tuple(_encode_write(write) for write in writes))


def _encode_write(write: Write) -> RowWrite:
    value = None if write.value is None else orjson.dumps(write.value)
    return RowWrite(key=write.key, value=value, expected_version=write.expected_revision)


def _decode_scan(row_set: RowSet) -> Scan:
    rows = tuple(
        Row(key=row.key, revision=row.version, value=orjson.loads(row.value))
        for row in row_set.rows
        if row.value is not None
    )
    return Scan(revision=row_set.version, rows=rows)
