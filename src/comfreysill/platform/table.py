"""The table of the daemon `comfreysilld` in the platform's store, with values in JSON."""

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
    """A row of the table; `revision` is the one at which it was last written."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, *, key: str, revision: int, value: Any) -> None:
        self.key = key
        self.revision = revision
        self.value = value


class Scan:
    """Rows with a key prefix at one revision of the store."""

    __slots__ = ("revision", "rows")

    def __init__(self, *, revision: int, rows: tuple[Row, ...]) -> None:
        self.revision = revision
        self.rows = rows


class Write:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: New value, None to delete the row.
        expected: Revision that the row must have, 0 if it must not exist, None for any.
    """

    __slots__ = ("key", "value", "expected")

    def __init__(self, *, key: str, value: Any, expected: int | None = None) -> None:
        self.key = key
        self.value = value
        self.expected = expected


def open_store_from_url(base: str) -> StoreClient:
    """Opens a client for a base URL such as `http://10.0.0.1:80`; its user has to close it."""
    return open_store(parse_address(base.removeprefix("http://")))


async def scan_rows(store: StoreClient, prefix: str) -> Result[Scan, StoreError]:
    """Reads all rows whose keys begin with a prefix, at one revision."""
    answer = await read_rows(store, TABLE, prefix)
    return answer.map(_parse_scan)


async def read_row(store: StoreClient, key: str) -> Result[Row | None, StoreError]:
    """Reads one row; the result is None if it doesn't exist."""
    answer = await scan_rows(store, key)
    return answer.map(lambda scan: next((row for row in scan.rows if row.key == key), None))


async def commit(store: StoreClient, writes: tuple[Write, ...]) -> Result[int, StoreError]:
    """Applies writes in one transaction and returns the store's new revision."""
    return await commit_rows(store, TABLE, tuple(_encode_write(write) for write in writes))


def _encode_write(write: Write) -> RowWrite:
    value = None if write.value is None else orjson.dumps(write.value)
    return RowWrite(key=write.key, value=value, expected=write.expected)


def _parse_scan(found: RowSet) -> Scan:
    rows = tuple(
        Row(key=row.key, revision=row.version, value=orjson.loads(row.value))
        for row in found.rows
        if row.value is not None
    )
    return Scan(revision=found.version, rows=rows)
