"""Tasks of an entry that follow the store: its members and the routing document."""

import asyncio
import logging

from result import Err, Ok

from comfreysill.exchange.messages import Announcement
from comfreysill.gateway.messages import AgentFound, DeskMessage, EntriesFound, RoutesRead
from comfreysill.mailbox import Mailbox
from comfreysill.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    decode_configuration,
)
from comfreysill.platform.members import (
    MEMBERS_TABLE,
    Member,
    MemberSet,
    decode_members,
    read_members,
    write_member,
)
from comfreysill.platform.store import (
    RowSet,
    StoreClient,
    StoreError,
    await_changes,
    read_rows,
)

logger = logging.getLogger(__name__)

ROUTES_WAIT_SECONDS = 1.0
MEMBERS_WAIT_SECONDS = 10.0
RETRY_SECONDS = 0.25
RETRY_MOST_SECONDS = 1.0


async def follow_routes(store: StoreClient, inbox: Mailbox[DeskMessage]) -> None:
    """Reads the routing document, and again after each change."""
    version = 0
    pause = RETRY_SECONDS
    while True:
        if version:
            wait = ROUTES_WAIT_SECONDS
            answer = await await_changes(store, CONFIGURATION_TABLE, version, wait)
        else:
            answer = await read_rows(store, CONFIGURATION_TABLE)
        if isinstance(answer, Err):
            _log_loss("routes", answer.err_value)
            # The next call reads everything, whatever was missed.
            version = 0
            await asyncio.sleep(pause)
            pause = min(pause * 2, RETRY_MOST_SECONDS)
            continue
        pause = RETRY_SECONDS
        version = answer.ok_value.version
        _take_routes(answer.ok_value, inbox)


def _take_routes(rows: RowSet, inbox: Mailbox[DeskMessage]) -> None:
    for row in rows.rows:
        if row.key != CONFIGURATION_KEY or row.value is None:
            continue
        take_routes_text(row.value, inbox)


def take_routes_text(text: bytes, inbox: Mailbox[DeskMessage]) -> None:
    """Decodes a routing document and hands it to the desk."""
    decoded = decode_configuration(text)
    if isinstance(decoded, Ok):
        inbox.post(RoutesRead(table=decoded.ok_value, text=text))
    else:
        fields = {"why": decoded.err_value}
        logger.error("unreadable configuration", extra={"fields": fields})


async def follow_members(store: StoreClient, inbox: Mailbox[DeskMessage], member: Member) -> None:
    """Makes this entry known, then finds agents, and again after each change."""
    written = False
    version = 0
    pause = RETRY_SECONDS
    while True:
        if not written:
            written = isinstance(await write_member(store, member), Ok)
        if version:
            wait = MEMBERS_WAIT_SECONDS
            answer = (await await_changes(store, MEMBERS_TABLE, version, wait)).map(decode_members)
        else:
            answer = await read_members(store)
        if isinstance(answer, Err):
            _log_loss("members", answer.err_value)
            version = 0
            await asyncio.sleep(pause)
            pause = min(pause * 2, RETRY_MOST_SECONDS)
            continue
        pause = RETRY_SECONDS
        version = answer.ok_value.version
        _take_members(answer.ok_value, inbox)


def _take_members(found: MemberSet, inbox: Mailbox[DeskMessage]) -> None:
    if found.unreadable:
        logger.warning("unreadable members", extra={"fields": {"count": found.unreadable}})
    for member in found.members:
        if member.role == "agent":
            announcement = Announcement(agent=member.name, address=member.address)
            inbox.post(AgentFound(announcement=announcement))
    entries = [member.address for member in found.members if member.role == "entry"]
    inbox.post(EntriesFound(addresses=entries))


def _log_loss(what: str, error: StoreError) -> None:
    fields = {"what": what, "why": error.detail, "fault": error.fault.name}
    logger.warning("store gave nothing", extra={"fields": fields})
