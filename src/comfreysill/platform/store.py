"""Client of the platform's store: rows, transactions and the change feed."""

import base64
import enum
from typing import Any, TypedDict

import aiohttp
import msgspec
from result import Err, Ok, Result

from comfreysill.address import Address
from comfreysill.job.types import Verdict
from comfreysill.platform.bodies import read_answer
from comfreysill.platform.documents import Integer, decode_document, encode_document
from comfreysill.platform.pages import RowPage, StoredRow, decode_page
from comfreysill.platform.rejections import RejectedEntry, Rejections, record_rejections

CALL_TIMEOUT_SECONDS = 0.7
CONNECT_TIMEOUT_SECONDS = 0.4
# Sorts after every character that occurs in keys.
KEY_UPPER_BOUND = "\x7f"
# HTTP statuses that guarantee that a write had no effect.
NO_EFFECT_STATUSES = (400, 403, 410, 412, 429, 503)


class StoreFault(enum.IntEnum):
    """Cause of a failed store call.

    UNREACHABLE also stands for failures without a more specific cause. MISSING and UNREADABLE are
    set by `registry` only. HISTORY_GONE means that the store has discarded some of the requested
    changes.
    """

    UNREACHABLE = 0
    CONFLICT = 1
    MISSING = 2
    HISTORY_GONE = 3
    UNREADABLE = 4


FAULT_BY_STATUS = {412: StoreFault.CONFLICT, 410: StoreFault.HISTORY_GONE}

CommitDocument = TypedDict("CommitDocument", {"ver": Integer}, total=False)
_COMMIT_DECODER = msgspec.json.Decoder(CommitDocument)


class StoreError:
    """A failed store call.

    Attributes:
        fault: Cause of the failure.
        verdict: `NOT_RUN` if a write certainly has no effect, `MAY_HAVE_RUN` if it may have had
            one or may still have one.
        detail: Human-readable description.
    """

    __slots__ = ("fault", "verdict", "detail")

    def __init__(self, *, fault: StoreFault, verdict: Verdict, detail: str) -> None:
        self.fault = fault
        self.verdict = verdict
        self.detail = detail


class RowWrite:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: New value, None to remove the row.
        expected_version: Version that the row must have, 0 if it must not exist, None for any.
    """

    __slots__ = ("key", "value", "expected_version")

    def __init__(
        self, *, key: str, value: bytes | None, expected_version: int | None = None
    ) -> None:
        self.key = key
        self.value = value
        self.expected_version = expected_version


class RowSet:
    """Rows of a table at one version of the store.

    Attributes:
        rows: The rows.
        version: The version.
        complete: False if the store kept some back.
        whole: True if these are all rows of the table, not those that have changed.
        unreadable: Keys of further rows, which can't be decoded.
    """

    __slots__ = ("rows", "version", "complete", "whole", "unreadable")

    def __init__(
        self,
        *,
        rows: list[StoredRow],
        version: int,
        complete: bool = True,
        whole: bool = False,
        unreadable: tuple[str, ...] = (),
    ) -> None:
        self.rows = rows
        self.version = version
        self.complete = complete
        self.whole = whole
        self.unreadable = unreadable


class StoreClient:
    """Client of the store.

    Attributes:
        base_url: Base URL of the store.
        session: HTTP session.
        calls: Number of calls made so far.
        rejections: Rows that can't be decoded.
    """

    __slots__ = ("base_url", "session", "calls", "rejections")

    def __init__(self, *, base_url: str, session: aiohttp.ClientSession) -> None:
        self.base_url = base_url
        self.session = session
        self.calls = 0
        self.rejections = Rejections()


def reject_row(row: StoredRow, why: str) -> RejectedEntry:
    """Returns a row whose value can't be decoded as a rejected entry."""
    return RejectedEntry(name=row.key, identity=row.version, why=why)


def open_store(address: Address) -> StoreClient:
    """Opens a client; its `session` has to be closed."""
    connector = aiohttp.TCPConnector(limit=4, keepalive_timeout=60.0)
    session = aiohttp.ClientSession(connector=connector)
    return StoreClient(base_url=f"http://{address}", session=session)


def set_store_address(store: StoreClient, address: Address) -> None:
    """Sets the address that subsequent calls are sent to."""
    store.base_url = f"http://{address}"


async def read_rows(store: StoreClient, table: str, prefix: str = "") -> Result[RowSet, StoreError]:
    """Reads the rows of a table whose part is empty and whose keys begin with a prefix."""
    rows: list[StoredRow] = []
    unreadable: tuple[str, ...] = ()
    has_nameless = False
    version = 0
    query = {"table": table, "part": ""}
    if prefix:
        query |= {"from": prefix, "to": prefix + KEY_UPPER_BOUND}
    while True:
        answer = await _call(store, "GET", "/api/rows-get", query, None, CALL_TIMEOUT_SECONDS)
        decoded = answer.and_then(lambda text: _decode_rows(store, table, text))
        if isinstance(decoded, Err):
            return decoded
        page = decoded.ok_value
        rows += page.rows
        unreadable += _list_unreadable(page)
        has_nameless = has_nameless or any(not row.name for row in page.rejected)
        # The version of the first page: changes made while paging are in the change feed after it.
        version = version or page.version
        # Keys ascend: an answer that doesn't go on from the one before would be read for ever.
        goes_on = bool(page.last_key) and page.last_key >= query.get("from", "")
        if not page.has_more or not goes_on:
            return Ok(
                RowSet(
                    rows=rows,
                    version=version,
                    complete=not page.has_more,
                    # A row whose key can't be read may be any row.
                    whole=not page.has_more and not prefix and not has_nameless,
                    unreadable=unreadable,
                )
            )
        query["from"] = page.last_key + "\0"


async def await_changes(
    store: StoreClient, table: str, after: int, wait_seconds: float
) -> Result[RowSet, StoreError]:
    """Waits for changes of a table after a version; the result is empty if the wait times out."""
    query = {"table": table, "after": str(after), "wait-ms": str(int(wait_seconds * 1000))}
    timeout_seconds = wait_seconds + CALL_TIMEOUT_SECONDS
    answer = await _call(store, "GET", "/api/rows-feed", query, None, timeout_seconds)
    decoded = answer.and_then(lambda text: _decode_rows(store, table, text))
    return decoded.map(
        lambda page: RowSet(
            rows=page.rows,
            version=max(page.version, after),
            unreadable=_list_unreadable(page),
        )
    )


async def commit_rows(
    store: StoreClient, table: str, writes: tuple[RowWrite, ...]
) -> Result[int, StoreError]:
    """Applies writes in one transaction to rows whose part is empty.

    Returns:
        The store's new version; `StoreFault.CONFLICT` if a row doesn't have its expected version.
    """
    body: dict[str, list[dict[str, Any]]] = {"expected-rev": [], "put": [], "remove": []}
    for write in writes:
        row = {"table": table, "part": "", "key": write.key}
        if write.expected_version is not None:
            body["expected-rev"].append({**row, "ver": write.expected_version})
        if write.value is None:
            body["remove"].append(row)
        else:
            body["put"].append({**row, "value": base64.b64encode(write.value).decode()})
    answer = await _call(store, "POST", "/api/rows-tx", {}, body, CALL_TIMEOUT_SECONDS)
    return answer.and_then(_decode_commit)


def _list_unreadable(page: RowPage) -> tuple[str, ...]:
    return tuple(row.name for row in page.rejected if row.name)


def _decode_rows(store: StoreClient, table: str, text: bytes) -> Result[RowPage, StoreError]:
    """Decodes an answer about rows; rows that can't be decoded are counted and logged."""
    decoded = decode_page(text)
    if isinstance(decoded, Ok):
        record_rejections(store.rejections, table, decoded.ok_value.rejected)
    return decoded.map_err(lambda detail: _describe_unreadable("GET", detail))


def _decode_commit(text: bytes) -> Result[int, StoreError]:
    decoded = decode_document(_COMMIT_DECODER, text).map(lambda document: document.get("ver", 0))
    return decoded.map_err(lambda detail: _describe_unreadable("POST", detail))


async def _call(
    store: StoreClient,
    method: str,
    path: str,
    query: dict[str, str],
    body: Any,
    timeout_seconds: float,
) -> Result[bytes, StoreError]:
    store.calls += 1
    timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
    data = encode_document(body) if body is not None else None
    headers = {"Content-Type": "application/json"} if data else {}
    try:
        async with store.session.request(
            method, store.base_url + path, params=query, data=data, headers=headers, timeout=timeout
        ) as response:
            text = await read_answer(response)
            status = response.status
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        return Err(_describe_failure(method, error))
    if status != 200:
        return Err(_describe_status(method, status))
    return Ok(text)


def _describe_unreadable(method: str, detail: str) -> StoreError:
    return StoreError(
        fault=StoreFault.UNREACHABLE,
        verdict=Verdict.NOT_RUN if method == "GET" else Verdict.MAY_HAVE_RUN,
        detail=f"the store's answer can't be decoded: {detail}",
    )


def _describe_failure(method: str, error: Exception) -> StoreError:
    unsent = isinstance(error, aiohttp.ClientConnectorError)
    had_no_effect = method == "GET" or unsent
    return StoreError(
        fault=StoreFault.UNREACHABLE,
        verdict=Verdict.NOT_RUN if had_no_effect else Verdict.MAY_HAVE_RUN,
        detail=f"no answer from the store: {type(error).__name__} {error}".strip(),
    )


def _describe_status(method: str, status: int) -> StoreError:
    fault = FAULT_BY_STATUS.get(status, StoreFault.UNREACHABLE)
    had_no_effect = method == "GET" or status in NO_EFFECT_STATUSES
    return StoreError(
        fault=fault,
        verdict=Verdict.NOT_RUN if had_no_effect else Verdict.MAY_HAVE_RUN,
        detail=f"the store answered with status {status}",
    )
