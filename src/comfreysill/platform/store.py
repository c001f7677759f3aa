"""Client of the platform's store: rows, transactions and changes."""

import base64
import enum
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from comfreysill.address import Address

CALL_SECONDS = 0.7
CONNECT_SECONDS = 0.4


class StoreFault(enum.IntEnum):
    """Why a call of the store failed."""

    UNREACHABLE = 0
    CONFLICT = 1
    HISTORY_GONE = 2
    REFUSED = 3


class StoreError:
    """A failed call.

    Attributes:
        fault: Why it failed.
        may_have_run: Whether a write may have taken or may yet take effect.
        detail: One sentence for people.
    """

    __slots__ = ("fault", "may_have_run", "detail")

    def __init__(self, *, fault: StoreFault, may_have_run: bool, detail: str) -> None:
        self.fault = fault
        self.may_have_run = may_have_run
        self.detail = detail


class StoredRow:
    """A row; `value` is None for one that was removed."""

    __slots__ = ("key", "value", "version")

    def __init__(self, *, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class RowSet:
    """Rows of a table and the store's version as of which they were read."""

    __slots__ = ("rows", "version")

    def __init__(self, *, rows: list[StoredRow], version: int) -> None:
        self.rows = rows
        self.version = version


class StoreClient:
    """Connection to the store; `calls` counts the calls that were made."""

    __slots__ = ("base", "session", "calls")

    def __init__(self, *, base: str, session: aiohttp.ClientSession) -> None:
        self.base = base
        self.session = session
        self.calls = 0


def open_store(address: Address) -> StoreClient:
    """Opens a client; the caller closes `session`."""
    connector = aiohttp.TCPConnector(limit=4, keepalive_timeout=60.0)
    session = aiohttp.ClientSession(connector=connector)
    return StoreClient(base=f"http://{address}", session=session)


def move_store(store: StoreClient, address: Address) -> None:
    """Sends the next calls to another address."""
    store.base = f"http://{address}"


async def read_rows(store: StoreClient, table: str) -> Result[RowSet, StoreError]:
    """Reads all rows of a table that have no part."""
    rows: list[StoredRow] = []
    version = 0
    query = {"table": table, "part": ""}
    while True:
        answer = await _call(store, "GET", "/api/rows-get", query, None, CALL_SECONDS)
        if isinstance(answer, Err):
            return answer
        page = _decode_rows(answer.ok_value)
        rows += page.rows
        version = version or page.version
        if not answer.ok_value.get("has-more") or not page.rows:
            return Ok(RowSet(rows=rows, version=version))
        query["from"] = page.rows[-1].key + "\0"


async def await_changes(
    store: StoreClient, table: str, after: int, wait_seconds: float
) -> Result[RowSet, StoreError]:
    """Waits for changes of a table after a version; none is an empty set."""
    query = {"table": table, "after": str(after), "wait-ms": str(int(wait_seconds * 1000))}
    limit = wait_seconds + CALL_SECONDS
    answer = await _call(store, "GET", "/api/rows-feed", query, None, limit)
    return answer.map(_decode_rows)


async def write_row(
    store: StoreClient, table: str, key: str, value: bytes
) -> Result[None, StoreError]:
    """Writes a row without a condition."""
    row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode()}
    body = {"expected-rev": [], "put": [row], "remove": []}
    answer = await _call(store, "POST", "/api/rows-tx", {}, body, CALL_SECONDS)
    return answer.map(_drop)


async def remove_row(store: StoreClient, table: str, key: str) -> Result[None, StoreError]:
    """Removes a row without a condition."""
    row = {"table": table, "part": "", "key": key}
    body = {"expected-rev": [], "put": [], "remove": [row]}
    answer = await _call(store, "POST", "/api/rows-tx", {}, body, CALL_SECONDS)
    return answer.map(_drop)


def _drop(document: Any) -> None:
    return None


async def _call(
    store: StoreClient,
    method: str,
    path: str,
    query: dict[str, str],
    body: Any,
    seconds: float,
) -> Result[dict[str, Any], StoreError]:
    store.calls += 1
    timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
    data = orjson.dumps(body) if body is not None else None
    headers = {"Content-Type": "application/json"} if data else {}
    try:
        async with store.session.request(
            method, store.base + path, params=query, data=data, headers=headers, timeout=timeout
        ) as response:
            text = await response.read()
            status = response.status
        document = orjson.loads(text) if status == 200 else {}
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        return Err(_describe_failure(method, error))
    if status == 200:
        return Ok(document)
    return Err(_describe_status(status))


def _describe_failure(method: str, error: Exception) -> StoreError:
    unsent = isinstance(error, aiohttp.ClientConnectorError)
    return StoreError(
        fault=StoreFault.UNREACHABLE,
        may_have_run=method != "GET" and not unsent,
        detail=f"no answer from the store: {type(error).__name__} {error}".strip(),
    )


def _describe_status(status: int) -> StoreError:
    faults = {412: StoreFault.CONFLICT, 410: StoreFault.HISTORY_GONE}
    fault = faults.get(status, StoreFault.REFUSED)
    detail = f"the store answered with status {status}"
    return StoreError(fault=fault, may_have_run=False, detail=detail)


def _decode_rows(document: dict[str, Any]) -> RowSet:
    rows = []
    for row in document.get("rows", ()):
        # The platform marks removed rows with a field of that name.
        gone = row.get("tombstone") or row.get("value") is None
        value = None if gone else base64.b64decode(row["value"])
        rows.append(StoredRow(key=row["key"], value=value, version=int(row.get("ver", 0))))
    return RowSet(rows=rows, version=int(document.get("ver", 0)))
