"""Asyncio tasks of an entry on the platform that watch the store for members and routes.

The routing document is the row with CONFIGURATION_KEY in the configuration table.
"""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Ok

from comfreysill.exchange.messages import Announcement
from comfreysill.gateway.messages import (
    AgentDiscovered,
    EntriesDiscovered,
    EntryStateMessage,
    MemberRemoved,
    RoutesRead,
)
from comfreysill.mailbox import Mailbox
from comfreysill.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    decode_configuration,
)
from comfreysill.platform.members import MEMBERS_TABLE, decode_members
from comfreysill.platform.store import RowSet, StoreClient, await_changes, read_rows

logger = logging.getLogger(__name__)

# Timeouts of the long polls; they bound the time until a dead connection is noticed.
ROUTES_LONG_POLL_SECONDS = 1.0
MEMBERS_LONG_POLL_SECONDS = 10.0
# Delays before the next call after a failed one.
INITIAL_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 1.0


async def watch_routes(store: StoreClient, inbox: Mailbox[EntryStateMessage]) -> None:
    """Reads the routing document at the start and after each change."""

    def handle_rows(rows: RowSet) -> None:
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                receive_routes_text(row.value, inbox)

    await _watch_table(store, CONFIGURATION_TABLE, ROUTES_LONG_POLL_SECONDS, handle_rows)


async def watch_members(store: StoreClient, inbox: Mailbox[EntryStateMessage]) -> None:
    """Reads the addresses of agents and entries at the start and after each change."""
    await _watch_table(
        store, MEMBERS_TABLE, MEMBERS_LONG_POLL_SECONDS, lambda rows: _receive_members(rows, inbox)
    )


def receive_routes_text(text: bytes, inbox: Mailbox[EntryStateMessage]) -> None:
    """Decodes a routing document and queues it for the state task."""
    decoded = decode_configuration(text)
    if isinstance(decoded, Ok):
        inbox.post(RoutesRead(table=decoded.ok_value, text=text))
    else:
        fields = {"why": decoded.err_value}
        logger.error("configuration can't be decoded", extra={"fields": fields})


async def _watch_table(
    store: StoreClient, table: str, wait_seconds: float, handle_rows: Callable[[RowSet], None]
) -> None:
    version = 0
    retry_seconds = INITIAL_RETRY_SECONDS
    while True:
        if version:
            answer = await await_changes(store, table, version, wait_seconds)
        else:
            answer = await read_rows(store, table)
        if isinstance(answer, Err):
            error = answer.err_value
            fields = {"table": table, "why": error.detail, "fault": error.fault.name}
            logger.warning("reading from the store failed", extra={"fields": fields})
            # The next call reads the whole table, as changes may have been missed.
            version = 0
            await asyncio.sleep(retry_seconds)
            retry_seconds = min(retry_seconds * 2, MAX_RETRY_SECONDS)
            continue
        retry_seconds = INITIAL_RETRY_SECONDS
        version = answer.ok_value.version
        handle_rows(answer.ok_value)


def _receive_members(rows: RowSet, inbox: Mailbox[EntryStateMessage]) -> None:
    member_set = decode_members(rows)
    if member_set.unreadable:
        logger.warning(
            "member rows can't be decoded", extra={"fields": {"count": member_set.unreadable}}
        )
    for name in member_set.removed:
        inbox.post(MemberRemoved(name=name))
    for member in member_set.members:
        if member.role == "agent":
            announcement = Announcement(
                agent=member.name, address=member.address, service=member.service
            )
            inbox.post(AgentDiscovered(announcement=announcement))
    entries = [member.address for member in member_set.members if member.role == "entry"]
    inbox.post(EntriesDiscovered(addresses=entries))
