"""Registrations of the entries and agents of the job API, in the project's table.

An incarnation is one run of a process, by id. A row that can't be decoded registers nothing.
"""

import time
from typing import Annotated, Any, Required, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from comfreysill.address import MAX_PORT, parse_address
from comfreysill.job.types import Verdict
from comfreysill.platform.documents import Name, OptionalName
from comfreysill.platform.store import StoreClient, StoreError, StoreFault
from comfreysill.platform.table import (
    Row,
    Write,
    commit,
    decode_row,
    read_row,
    reject_row,
    scan_rows,
)
from comfreysill.target.view import Registration

AGENT_PREFIX = "member/agent/"
ENTRY_PREFIX = "member/entry/"
MEMBER_PREFIX = "member/"
# A ledger can't have been lost later than this many seconds from now: bound of clock differences.
MAX_LOST_AHEAD_SECONDS = 3_600.0
MAX_SERVICES = 1_000

Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
EntryDocument = TypedDict(
    "EntryDocument",
    {
        "name": Required[Name],
        "host": Required[Name],
        "port": Required[Port],
        "zone": Required[OptionalName],
    },
    total=False,
)
AgentDocument = TypedDict(
    "AgentDocument",
    {
        "agent": Required[Name],
        "incarnation": Required[Name],
        "host": Required[Name],
        "port": Required[Port],
        "zone": Required[OptionalName],
        "services": Required[Annotated[list[Name], Meta(max_length=MAX_SERVICES)]],
        "lost_at": Required[Annotated[float, Meta(ge=0)]],
        "left": Required[bool],
    },
    total=False,
)
_ENTRY_DECODER = msgspec.json.Decoder(EntryDocument)
_AGENT_DECODER = msgspec.json.Decoder(AgentDocument)


class EntryRegistration:
    """Registration of an entry's incarnation.

    Attributes:
        name: Name of the incarnation, `instance@id`.
        host: IP address that other entries connect to.
        port: TCP port that other entries connect to.
        zone: Availability zone.
    """

    __slots__ = ("name", "host", "port", "zone")

    def __init__(self, *, name: str, host: str, port: int, zone: str) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.zone = zone


class Roster:
    """The registered entries and agents at one revision of the table.

    Attributes:
        revision: Revision of the table.
        entries: The entries.
        agents: The agents that are not marked as `left`.
        lost_at: Latest Unix time in seconds at which any agent's ledger was lost, 0 for never.
        unreadable: Keys of registrations that can't be decoded. Whom they name stays registered
            at those that know it; it writes its registration again.
    """

    __slots__ = ("revision", "entries", "agents", "lost_at", "unreadable")

    def __init__(
        self,
        *,
        revision: int,
        entries: tuple[EntryRegistration, ...],
        agents: tuple[Registration, ...],
        lost_at: float,
        unreadable: frozenset[str] = frozenset(),
    ) -> None:
        self.unreadable = unreadable
        self.revision = revision
        self.entries = entries
        self.agents = agents
        self.lost_at = lost_at


async def read_roster(store: StoreClient) -> Result[Roster, StoreError]:
    """Reads all registrations in one scan."""
    scan = await scan_rows(store, MEMBER_PREFIX)
    if isinstance(scan, Err):
        return scan
    entries, agents, lost_at, unreadable = [], [], 0.0, set()
    for row in scan.ok_value.rows:
        if row.key.startswith(ENTRY_PREFIX):
            entry = _decode_entry(store, row)
            entries += [entry] if entry is not None else []
            readable = entry is not None
        elif row.key.startswith(AGENT_PREFIX):
            document = _decode_agent(store, row)
            readable = document is not None
            if document is not None:
                lost_at = max(lost_at, document["lost_at"])
                agents += [] if document["left"] else [_build_registration(document, row)]
        else:
            continue
        unreadable |= set() if readable else {row.key}
    roster = Roster(
        revision=scan.ok_value.revision,
        entries=tuple(entries),
        agents=tuple(agents),
        lost_at=lost_at,
        unreadable=frozenset(unreadable),
    )
    return Ok(roster)


async def register_entry(store: StoreClient, entry: EntryRegistration) -> Result[int, StoreError]:
    """Writes the registration of an entry's incarnation."""
    value = {"name": entry.name, "host": entry.host, "port": entry.port, "zone": entry.zone}
    return await commit(store, (Write(key=ENTRY_PREFIX + entry.name, value=value),))


async def remove_entry(store: StoreClient, name: str) -> Result[int, StoreError]:
    """Deletes the registration of an entry's incarnation."""
    return await commit(store, (Write(key=ENTRY_PREFIX + name, value=None),))


async def register_agent(
    store: StoreClient, registration: Registration, now: float
) -> Result[float, StoreError]:
    """Writes the registration of an agent's incarnation.

    The call is idempotent and can be repeated after a lost response.

    Args:
        store: The platform's store.
        registration: The agent's registration.
        now: Unix time in seconds.

    Returns:
        Latest Unix time in seconds at which a ledger of the agent was lost, 0 for never.
    """
    key = AGENT_PREFIX + registration.agent
    row = await read_row(store, key)
    if isinstance(row, Err):
        return row
    current = row.ok_value
    document = _decode_agent(store, current) if current is not None else None
    # The ledger of an earlier incarnation is lost with its process. A row that can't be decoded may
    # have been one's.
    lost_at = now if current is not None else 0.0
    if document is not None and document["incarnation"] == registration.incarnation:
        lost_at = document["lost_at"]
    value = _encode_agent(registration, lost_at)
    if document == value:
        return Ok(lost_at)
    expected_revision = current.revision if current is not None else 0
    written = await commit(
        store, (Write(key=key, value=value, expected_revision=expected_revision),)
    )
    return written.map(lambda _: lost_at)


async def mark_ledger_lost(
    store: StoreClient, agent: str, incarnation: str, lost_at: float
) -> Result[int, StoreError]:
    """Marks an agent's incarnation as no longer a member (`left`), and its ledger as lost.

    Args:
        store: The platform's store.
        agent: Name of the agent.
        incarnation: Incarnation of the agent's process.
        lost_at: Unix time in seconds from which the ledger counts as lost.

    Returns:
        The table's new revision; `StoreFault.MISSING` if the incarnation is marked already or isn't
        the registered one.
    """
    key = AGENT_PREFIX + agent
    row = await read_row(store, key)
    if isinstance(row, Err):
        return row
    current = row.ok_value
    document = _decode_agent(store, current) if current is not None else None
    if current is not None and document is None:
        # Nobody can register from such a row; without the mark the agent would stay in the rosters.
        document = _build_unreadable_agent(agent, incarnation)
    if document is None or document["incarnation"] != incarnation or document["left"]:
        detail = "the registration is another incarnation's, or marked already"
        return Err(StoreError(fault=StoreFault.MISSING, verdict=Verdict.NOT_RUN, detail=detail))
    value = {**document, "left": True, "lost_at": lost_at}
    return await commit(store, (Write(key=key, value=value, expected_revision=current.revision),))


async def is_registered(
    store: StoreClient, agent: str, incarnation: str
) -> Result[bool, StoreError]:
    """Returns whether an agent's incarnation is registered and not marked as `left`.

    Returns:
        The answer; `StoreFault.UNREADABLE` if the agent's row can't be decoded.
    """
    answer = await read_row(store, AGENT_PREFIX + agent)
    if isinstance(answer, Err):
        return answer
    if answer.ok_value is None:
        return Ok(False)
    document = _decode_agent(store, answer.ok_value)
    if document is None:
        detail = "the registration can't be decoded"
        return Err(StoreError(fault=StoreFault.UNREADABLE, verdict=Verdict.NOT_RUN, detail=detail))
    return Ok(document["incarnation"] == incarnation and not document["left"])


def _encode_agent(registration: Registration, lost_at: float) -> dict[str, Any]:
    return {
        "agent": registration.agent,
        "incarnation": registration.incarnation,
        "host": registration.host,
        "port": registration.port,
        "zone": registration.zone,
        "services": sorted(registration.services),
        "lost_at": lost_at,
        "left": False,
    }


def _build_unreadable_agent(agent: str, incarnation: str) -> AgentDocument:
    return {
        "agent": agent,
        "incarnation": incarnation,
        "host": "0.0.0.0",
        "port": MAX_PORT,
        "zone": "",
        "services": [],
        "lost_at": 0.0,
        "left": False,
    }


def _decode_agent(store: StoreClient, row: Row) -> AgentDocument | None:
    document = decode_row(store, row, _AGENT_DECODER)
    if document is None:
        return None
    why = _find_address_problem(document["host"], document["port"])
    if row.key != AGENT_PREFIX + document["agent"]:
        why = "the key is another agent's"
    elif document["lost_at"] > time.time() + MAX_LOST_AHEAD_SECONDS:
        why = "lost_at is in the future"
    if why:
        reject_row(store, row, why)
        return None
    return document


def _decode_entry(store: StoreClient, row: Row) -> EntryRegistration | None:
    document = decode_row(store, row, _ENTRY_DECODER)
    if document is None:
        return None
    why = _find_address_problem(document["host"], document["port"])
    if row.key != ENTRY_PREFIX + document["name"]:
        why = "the key is another entry's"
    if why:
        reject_row(store, row, why)
        return None
    return EntryRegistration(
        name=document["name"],
        host=document["host"],
        port=document["port"],
        zone=document["zone"],
    )


def _find_address_problem(host: str, port: int) -> str:
    try:
        parse_address(f"{host}:{port}")
    except ValueError as error:
        return str(error)
    return ""


def _build_registration(document: AgentDocument, row: Row) -> Registration:
    return Registration(
        agent=document["agent"],
        incarnation=document["incarnation"],
        host=document["host"],
        port=document["port"],
        zone=document["zone"],
        services=frozenset(document["services"]),
        revision=row.revision,
    )
