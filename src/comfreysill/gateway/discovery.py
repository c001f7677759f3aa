"""Asyncio tasks of an entry on the platform that watch the store: members, routes, zones, crashes.

The routing document is the row with CONFIGURATION_KEY in the configuration table. While the store
can't be read, the members are exchanged with other entries.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from result import Err, Ok

from comfreysill.clock import read_boot_clock
from comfreysill.exchange.messages import Member
from comfreysill.gateway.messages import (
    CrashesRead,
    EntryStateMessage,
    MemberRemoved,
    MembersDiscovered,
    RoutesRead,
    ZonesRead,
)
from comfreysill.gateway.roster import exchange_members
from comfreysill.mailbox import Mailbox
from comfreysill.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    decode_configuration,
)
from comfreysill.platform.crashes import CRASHES_TABLE, decode_crashes
from comfreysill.platform.evacuations import decode_evacuations
from comfreysill.platform.members import MEMBERS_TABLE, decode_members
from comfreysill.platform.rejections import RejectedEntry, Rejections, record_rejections
from comfreysill.platform.store import RowSet, StoreClient, await_changes, read_rows

logger = logging.getLogger(__name__)

# Timeouts of the long polls; they bound the time until a dead connection is noticed.
ROUTES_LONG_POLL_SECONDS = 1.0
MEMBERS_LONG_POLL_SECONDS = 10.0
CRASHES_LONG_POLL_SECONDS = 10.0
# Delays before the next call after a failed one.
INITIAL_RETRY_SECONDS = 0.25
MAX_ROUTES_RETRY_SECONDS = 0.5
# A successful read of the routes ends this delay.
MAX_MEMBERS_RETRY_SECONDS = 2.0
# Number of other entries that are asked for members after each failed read.
ASKED_ENTRIES = 2


class TableWatch:
    """Parameters of the watch of one table.

    Attributes:
        table: Name of the table.
        wait_seconds: Timeout of the long polls.
        max_retry_seconds: Maximum delay after a failed call.
        handle_rows: Called with the rows of the whole table, then with changed ones.
        handle_failure: Awaited after each failed call.
        store_answers: Set when a call of any watch has succeeded; ends the delay of the others.
    """

    __slots__ = (
        "table",
        "wait_seconds",
        "max_retry_seconds",
        "handle_rows",
        "handle_failure",
        "store_answers",
    )

    def __init__(
        self,
        *,
        table: str,
        wait_seconds: float,
        max_retry_seconds: float,
        handle_rows: Callable[[RowSet], None],
        handle_failure: Callable[[], Awaitable[None]],
        store_answers: asyncio.Event,
    ) -> None:
        self.table = table
        self.wait_seconds = wait_seconds
        self.max_retry_seconds = max_retry_seconds
        self.handle_rows = handle_rows
        self.handle_failure = handle_failure
        self.store_answers = store_answers


async def watch_routes(
    store: StoreClient, inbox: Mailbox[EntryStateMessage], store_answers: asyncio.Event
) -> None:
    """Reads the routing document and the closed zones at the start and after each change."""

    def handle_rows(rows: RowSet) -> None:
        _receive_zones(rows, inbox, store.rejections)
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                receive_routes_text(row.value, inbox, store.rejections)

    async def handle_failure() -> None:
        """The state task fetches the routes from an entry that has newer ones."""

    watch = TableWatch(
        table=CONFIGURATION_TABLE,
        wait_seconds=ROUTES_LONG_POLL_SECONDS,
        max_retry_seconds=MAX_ROUTES_RETRY_SECONDS,
        handle_rows=handle_rows,
        handle_failure=handle_failure,
        store_answers=store_answers,
    )
    await _watch_table(store, watch)


async def watch_members(
    store: StoreClient,
    inbox: Mailbox[EntryStateMessage],
    store_answers: asyncio.Event,
    own: Member,
    get_entries: Callable[[], list[str]],
) -> None:
    """Reads the members at the start and after each change.

    Args:
        store: Client of the store.
        inbox: Mailbox of the state task.
        store_answers: See `TableWatch`.
        own: This entry.
        get_entries: Returns the addresses of the known entries.
    """

    async def ask_other_entries() -> None:
        others = [address for address in get_entries() if address != own.address]
        chosen = random.sample(others, min(ASKED_ENTRIES, len(others)))
        calls = (exchange_members(other, own, store.rejections) for other in chosen)
        for members in await asyncio.gather(*calls):
            if members:
                inbox.post(MembersDiscovered(members=members, second_hand=True))

    watch = TableWatch(
        table=MEMBERS_TABLE,
        wait_seconds=MEMBERS_LONG_POLL_SECONDS,
        max_retry_seconds=MAX_MEMBERS_RETRY_SECONDS,
        handle_rows=lambda rows: _receive_members(rows, inbox, store.rejections),
        handle_failure=ask_other_entries,
        store_answers=store_answers,
    )
    await _watch_table(store, watch)


async def watch_crashes(
    store: StoreClient, inbox: Mailbox[EntryStateMessage], store_answers: asyncio.Event
) -> None:
    """Reads the recent crashes of runners at the start and after each change."""

    def handle_rows(rows: RowSet) -> None:
        crash_set = decode_crashes(rows)
        record_rejections(store.rejections, CRASHES_TABLE, crash_set.rejected)
        if crash_set.reports:
            inbox.post(CrashesRead(reports=crash_set.reports))

    async def handle_failure() -> None:
        """Linked agents report the recent crashes of their runners in any case."""

    watch = TableWatch(
        table=CRASHES_TABLE,
        wait_seconds=CRASHES_LONG_POLL_SECONDS,
        max_retry_seconds=MAX_MEMBERS_RETRY_SECONDS,
        handle_rows=handle_rows,
        handle_failure=handle_failure,
        store_answers=store_answers,
    )
    await _watch_table(store, watch)


def receive_routes_text(
    text: bytes, inbox: Mailbox[EntryStateMessage], rejections: Rejections
) -> None:
    """Decodes a routing document and queues it for the state task; otherwise the last one holds."""
    decoded = decode_configuration(text)
    if isinstance(decoded, Ok):
        inbox.post(RoutesRead(table=decoded.ok_value, text=text))
        return
    rejected = RejectedEntry(name=CONFIGURATION_KEY, identity=hash(text), why=decoded.err_value)
    if record_rejections(rejections, CONFIGURATION_TABLE, [rejected]):
        fields = {"why": decoded.err_value}
        logger.error("configuration can't be decoded", extra={"fields": fields})


async def _watch_table(store: StoreClient, watch: TableWatch) -> None:
    version = 0
    retry_seconds = INITIAL_RETRY_SECONDS
    while True:
        called_at = read_boot_clock()
        if version:
            answer = await await_changes(store, watch.table, version, watch.wait_seconds)
        else:
            answer = await read_rows(store, watch.table)
        if isinstance(answer, Err):
            error = answer.err_value
            fields = {"table": watch.table, "why": error.detail, "fault": error.fault.name}
            logger.warning("reading from the store failed", extra={"fields": fields})
            # The next call reads the whole table, as changes may have been missed.
            version = 0
            watch.store_answers.clear()
            await watch.handle_failure()
            await _await_retry(watch, retry_seconds)
            retry_seconds = min(retry_seconds * 2, watch.max_retry_seconds)
            continue
        watch.store_answers.set()
        retry_seconds = INITIAL_RETRY_SECONDS
        _handle_rows(watch, answer.ok_value)
        if answer.ok_value.version <= version or not answer.ok_value.version:
            # The same answer would come again at once.
            await asyncio.sleep(called_at + INITIAL_RETRY_SECONDS - read_boot_clock())
        version = answer.ok_value.version


def _handle_rows(watch: TableWatch, rows: RowSet) -> None:
    """Hands rows on; an unexpected error costs these rows, not the watch."""
    try:
        watch.handle_rows(rows)
    except Exception:
        fields = {"table": watch.table, "rows": len(rows.rows)}
        logger.exception("handling rows failed", extra={"fields": fields})


async def _await_retry(watch: TableWatch, seconds: float) -> None:
    """Waits for the delay or until another watch has read from the store."""
    # Entries that failed at the same moment don't call again at the same moment.
    await asyncio.sleep(INITIAL_RETRY_SECONDS * random.uniform(0.5, 1.0))
    try:
        async with asyncio.timeout(max(0.0, seconds - INITIAL_RETRY_SECONDS)):
            await watch.store_answers.wait()
    except TimeoutError:
        return


def _receive_zones(rows: RowSet, inbox: Mailbox[EntryStateMessage], rejections: Rejections) -> None:
    found = decode_evacuations(rows)
    record_rejections(rejections, CONFIGURATION_TABLE, found.rejected)
    text = "odd row; its zone is closed all the same"
    record_rejections(rejections, CONFIGURATION_TABLE, found.odd, text)
    reading = found.reading
    if reading.statuses or reading.undated or reading.whole:
        inbox.post(ZonesRead(reading=reading))


def _receive_members(
    rows: RowSet, inbox: Mailbox[EntryStateMessage], rejections: Rejections
) -> None:
    member_set = decode_members(rows)
    record_rejections(rejections, MEMBERS_TABLE, member_set.rejected)
    for name in member_set.removed:
        inbox.post(MemberRemoved(name=name))
    inbox.post(MembersDiscovered(members=member_set.members))
