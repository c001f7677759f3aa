"""Tasks of an entry that follow the store: its members and the routing document."""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Ok

from comfreysill.exchange.messages import Announcement
from comfreysill.gateway.messages import AgentFound, EntriesFound, EntryStateMessage, RoutesRead
from comfreysill.mailbox import Mailbox
from comfreysill.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    decode_configuration,
)
from comfreysill.platform.members import MEMBERS_TABLE, decode_members
from comfreysill.platform.store import RowSet, StoreClient, await_changes, read_rows

logger = logging.getLogger(__name__)

# Changes are waited for this long before the next call, which also shows a silent connection.
ROUTES_WAIT_SECONDS = 1.0
MEMBERS_WAIT_SECONDS = 10.0
RETRY_SECONDS = 0.25
RETRY_MOST_SECONDS = 1.0


async def follow_routes(store: StoreClient, inbox: Mailbox[EntryStateMessage]) -> None:
    """Reads the routing document, and again after each change."""

    def take(rows: RowSet) -> None:
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                take_routes_text(row.value, inbox)

    await _follow_table(store, CONFIGURATION_TABLE, ROUTES_WAIT_SECONDS, take)


async def follow_members(store: StoreClient, inbox: Mailbox[EntryStateMessage]) -> None:
    """Finds agents and other entries, and again after each change."""
    await _follow_table(
        store, MEMBERS_TABLE, MEMBERS_WAIT_SECONDS, lambda rows: _take_members(rows, inbox)
    )


def take_routes_text(text: bytes, inbox: Mailbox[EntryStateMessage]) -> None:
    """Decodes a routing document and hands it to the desk."""
    decoded = decode_configuration(text)
    if isinstance(decoded, Ok):
        inbox.post(RoutesRead(table=decoded.ok_value, text=text))
    else:
        fields = {"why": decoded.err_value}
        logger.error("unreadable configuration", extra={"fields": fields})


async def _follow_table(
    store: StoreClient, table: str, wait_seconds: float, take: Callable[[RowSet], None]
) -> None:
    version = 0
    pause = RETRY_SECONDS
    while True:
        if version:
            answer = await await_changes(store, table, version, wait_seconds)
        else:
            answer = await read_rows(store, table)
        if isinstance(answer, Err):
            error = answer.err_value
            fields = {"table": table, "why": error.detail, "fault": error.fault.name}
            logger.warning("store gave nothing", extra={"fields": fields})
            # The next call reads everything, whatever was missed.
            version = 0
            await asyncio.sleep(pause)
            pause = min(pause * 2, RETRY_MOST_SECONDS)
            continue
        pause = RETRY_SECONDS
        version = answer.ok_value.version
        take(answer.ok_value)


def _take_members(rows: RowSet, inbox: Mailbox[EntryStateMessage]) -> None:
    found = decode_members(rows)
    if found.unreadable:
        logger.warning("unreadable members", extra={"fields": {"count": found.unreadable}})
    for member in found.members:
        if member.role == "agent":
            announcement = Announcement(
                agent=member.name, address=member.address, service=member.service
            )
            inbox.post(AgentFound(announcement=announcement))
    entries = [member.address for member in found.members if member.role == "entry"]
    inbox.post(EntriesFound(addresses=entries))
