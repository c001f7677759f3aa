"""Registrations of the entries and agents of the job API, in the project's table.

An incarnation is one run of a process, by id.
"""

from typing import Any

from result import Err, Ok, Result

from comfreysill.job.types import Verdict
from comfreysill.platform.store import StoreClient, StoreError, StoreFault
from comfreysill.platform.table import Row, Write, commit, read_row, scan_rows
from comfreysill.target.view import Registration

AGENT_PREFIX = "member/agent/"
ENTRY_PREFIX = "member/entry/"
MEMBER_PREFIX = "member/"


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
    """

    __slots__ = ("revision", "entries", "agents", "lost_at")

    def __init__(
        self,
        *,
        revision: int,
        entries: tuple[EntryRegistration, ...],
        agents: tuple[Registration, ...],
        lost_at: float,
    ) -> None:
        self.revision = revision
        self.entries = entries
        self.agents = agents
        self.lost_at = lost_at


async def read_roster(store: StoreClient) -> Result[Roster, StoreError]:
    """Reads all registrations in one scan."""
    scan = await scan_rows(store, MEMBER_PREFIX)
    if isinstance(scan, Err):
        return scan
    rows = scan.ok_value.rows
    entries = tuple(_decode_entry(row) for row in rows if row.key.startswith(ENTRY_PREFIX))
    agent_rows = [row for row in rows if row.key.startswith(AGENT_PREFIX)]
    agents = tuple(_decode_agent(row) for row in agent_rows if not row.value["left"])
    lost_at = max((row.value["lost_at"] for row in agent_rows), default=0.0)
    roster = Roster(
        revision=scan.ok_value.revision, entries=entries, agents=agents, lost_at=lost_at
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
    # The ledger of an earlier incarnation is lost with its process.
    lost_at = now if current is not None else 0.0
    if current is not None and current.value["incarnation"] == registration.incarnation:
        lost_at = float(current.value["lost_at"])
    value = _encode_agent(registration, lost_at)
    if current is not None and current.value == value:
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
    if current is None or current.value["incarnation"] != incarnation or current.value["left"]:
        detail = "the registration is another incarnation's, or marked already"
        return Err(StoreError(fault=StoreFault.MISSING, verdict=Verdict.NOT_RUN, detail=detail))
    value = {**current.value, "left": True, "lost_at": lost_at}
    return await commit(store, (Write(key=key, value=value, expected_revision=current.revision),))


async def is_registered(
    store: StoreClient, agent: str, incarnation: str
) -> Result[bool, StoreError]:
    """Returns whether an agent's incarnation is registered and not marked as `left`."""
    row = await read_row(store, AGENT_PREFIX + agent)
    return row.map(
        lambda current: (
            current is not None
            and current.value["incarnation"] == incarnation
            and not current.value["left"]
        )
    )


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


def _decode_agent(row: Row) -> Registration:
    return Registration(
        agent=row.value["agent"],
        incarnation=row.value["incarnation"],
        host=row.value["host"],
        port=row.value["port"],
        zone=row.value["zone"],
        services=frozenset(row.value["services"]),
        revision=row.revision,
    )


def _decode_entry(row: Row) -> EntryRegistration:
    return EntryRegistration(
        name=row.value["name"],
        host=row.value["host"],
        port=row.value["port"],
        zone=row.value["zone"],
    )
