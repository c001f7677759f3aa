"""Client of the platform's store: rows, transactions and changes."""

import base64
import enum
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from comfreysill.address import Address
from comfreysill.job.types import Verdict

CALL_SECONDS = 0.7
CONNECT_SECONDS = 0.4
# Above every character that keys have.
LAST_CHARACTER = "\x7f"
# Statuses after which a write has certainly done nothing.
HARMLESS = (400, 403, 410, 412, 429, 503)


class StoreFault(enum.IntEnum):
    """Why a call of the store failed."""

    UNREACHABLE = 0
    CONFLICT = 1
    MISSING = 2
    HISTORY_GONE = 3


FAULTS = {412: StoreFault.CONFLICT, 410: StoreFault.HISTORY_GONE}


class StoreError:
    """A failed call.

    Attributes:
        fault: Why it failed.
        verdict: Whether a write may have taken or may yet take effect.
        detail: One sentence for people.
    """

    __slots__ = ("fault", "verdict", "detail")

    def __init__(self, *, fault: StoreFault, verdict: Verdict, detail: str) -> None:
        self.fault = fault
        self.verdict = verdict
        self.detail = detail


class StoredRow:
    """A row; `value` is None for one that was removed."""

    __slots__ = ("key", "value", "version")

    def __init__(self, *, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class RowWrite:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: New value, None to remove the row.
        expected: Version that the row must have, 0 for "no row", None for any.
    """

    __slots__ = ("key", "value", "expected")

    def __init__(self, *, key: str, value: bytes | None, expected: int | None = None) -> None:
        self.key = key
        self.value = value
        self.expected = expected


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


def set_store_address(store: StoreClient, address: Address) -> None:
    """Sends the next calls to another address."""
    store.base = f"http://{address}"


async def read_rows(store: StoreClient, table: str, prefix: str = "") -> Result[RowSet, StoreError]:
    """Reads all rows of a table that have no part and whose keys begin with a prefix."""
    rows: list[StoredRow] = []
    version = 0
    query = {"table": table, "part": ""}
    if prefix:
        query |= {"from": prefix, "to": prefix + LAST_CHARACTER}
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


async def commit_rows(
    store: StoreClient, table: str, writes: tuple[RowWrite, ...]
) -> Result[int, StoreError]:
    """Applies writes to rows without a part in one transaction.

    Returns:
        The store's new version, or `StoreFault.CONFLICT` when a row has another version than
        expected.
    """
    body: dict[str, list[dict[str, Any]]] = {"expected-rev": [], "put": [], "remove": []}
    for write in writes:
        row = {"table": table, "part": "", "key": write.key}
        if write.expected is not None:
            body["expected-rev"].append({**row, "ver": write.expected})
        if write.value is None:
            body["remove"].append(row)
        else:
            body["put"].append({**row, "value": base64.b64encode(write.value).decode()})
    answer = await _call(store, "POST", "/api/rows-tx", {}, body, CALL_SECONDS)
    return answer.map(_read_version)


def _read_version(document: dict[str, Any]) -> int:
    return int(document.get("ver", 0))


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
    return Err(_describe_status(method, status))


def _describe_failure(method: str, error: Exception) -> StoreError:
    unsent = isinstance(error, aiohttp.ClientConnectorError)
    harmless = method == "GET" or unsent
    return StoreError(
        fault=StoreFault.UNREACHABLE,
        verdict=Verdict.NOT_RUN if harmless else Verdict.MAY_HAVE_RUN,
        detail=f"no answer from the store: {type(error).__name__} {error}".strip(),
    )


def _describe_status(method: str, status: int) -> StoreError:
    fault = FAULTS.get(status, StoreFault.UNREACHABLE)
    harmless = method == "GET" or status in HARMLESS
    return StoreError(
        fault=fault,
        verdict=Verdict.NOT_RUN if harmless else Verdict.MAY_HAVE_RUN,
        detail=f"the store answered with status {status}",
    )


def _decode_rows(document: dict[str, Any]) -> RowSet:
    rows = []
    for row in document.get("rows", ()):
        # The platform marks removed rows with a field of that name.
        gone = row.get("tombstone") or row.get("value") is None
        value = None if gone else base64.b64decode(row["value"])
        rows.append(StoredRow(key=row["key"], value=value, version=int(row.get("ver", 0))))
    return RowSet(rows=rows, version=int(document.get("ver", 0)))
