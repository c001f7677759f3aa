"""Client of the platform's transactional table service."""

import enum
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from comfreysill.job.types import Verdict

TIMEOUT_SECONDS = 2.0


class StoreFault(enum.IntEnum):
    """Why an operation of the table service failed."""

    UNREACHABLE = 0
    CONFLICT = 1
    MISSING = 2


class StoreError:
    """A failed operation.

    Attributes:
        fault: Why it failed.
        verdict: Whether a write may have taken effect.
        detail: One sentence for people.
    """

    __slots__ = ("fault", "verdict", "detail")

    def __init__(self, *, fault: StoreFault, verdict: Verdict, detail: str) -> None:
        self.fault = fault
        self.verdict = verdict
        self.detail = detail


class Row:
    """A row of the table; `revision` is that of the write that made it."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, *, key: str, revision: int, value: Any) -> None:
        self.key = key
        self.revision = revision
        self.value = value


class Scan:
    """Rows under a prefix, and the table's revision at which they were read."""

    __slots__ = ("revision", "rows")

    def __init__(self, *, revision: int, rows: tuple[Row, ...]) -> None:
        self.revision = revision
        self.rows = rows


class Write:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: New value, None to delete the row.
        expected: Revision that the row must have, 0 for "no row", None for any.
    """

    __slots__ = ("key", "value", "expected")

    def __init__(self, *, key: str, value: Any, expected: int | None = None) -> None:
        self.key = key
        self.value = value
        self.expected = expected


class Table:
    """Connection to the table service; owned by one task."""

    __slots__ = ("base", "session")

    def __init__(self, *, base: str, session: aiohttp.ClientSession) -> None:
        self.base = base
        self.session = session


def open_table(base: str) -> Table:
    """Opens a client; the caller closes `session`."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    return Table(base=base, session=aiohttp.ClientSession(timeout=timeout))


async def scan_rows(table: Table, prefix: str) -> Result[Scan, StoreError]:
    """Reads all rows whose keys begin with a prefix, at one revision."""
    answer = await _request(table, "GET", "/v1/rows", params={"prefix": prefix})
    return answer.map(_parse_scan)


async def read_row(table: Table, key: str) -> Result[Row | None, StoreError]:
    """Reads one row; the result is None where there is none."""
    answer = await scan_rows(table, key)
    return answer.map(lambda scan: next((row for row in scan.rows if row.key == key), None))


async def commit(table: Table, writes: tuple[Write, ...]) -> Result[int, StoreError]:
    """Applies writes in one transaction.

    Returns:
        The table's new revision, or `StoreFault.CONFLICT` when a row has another revision than
        expected. After `StoreFault.UNREACHABLE` the writes may have taken effect.
    """
    body = [
        {"key": write.key, "value": write.value, "expected": write.expected} for write in writes
    ]
    answer = await _request(table, "POST", "/v1/transactions", json={"writes": body})
    return answer.map(lambda document: int(document["revision"]))


async def _request(table: Table, method: str, path: str, **options: Any) -> Result[Any, StoreError]:
    try:
        async with table.session.request(method, table.base + path, **options) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Err(_describe_error(error, method))
    if response.status == 409:
        return Err(
            StoreError(
                fault=StoreFault.CONFLICT,
                verdict=Verdict.NOT_RUN,
                detail="a row has another revision than expected",
            )
        )
    if response.status != 200:
        detail = f"the table service answered {response.status}"
        verdict = Verdict.NOT_RUN if response.status == 503 else Verdict.MAY_HAVE_RUN
        return Err(StoreError(fault=StoreFault.UNREACHABLE, verdict=verdict, detail=detail))
    return Ok(orjson.loads(body))


def _describe_error(error: Exception, method: str) -> StoreError:
    refused = isinstance(error, aiohttp.ClientConnectorError)
    harmless = refused or method == "GET"
    return StoreError(
        fault=StoreFault.UNREACHABLE,
        verdict=Verdict.NOT_RUN if harmless else Verdict.MAY_HAVE_RUN,
        detail=f"the table service gave no answer: {type(error).__name__} {error}",
    )


def _parse_scan(document: Any) -> Scan:
    rows = tuple(
        Row(key=row["key"], revision=row["revision"], value=row["value"])
        for row in document["rows"]
    )
    return Scan(revision=document["revision"], rows=rows)
