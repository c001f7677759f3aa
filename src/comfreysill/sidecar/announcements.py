"""Announcements of an agent to entries that have no link to it.

Entries learn of agents from the store. An agent announces itself where that may not work: to the
entries that it knows while the store doesn't have its row, and to those whose session was closed.
"""

import asyncio
from collections.abc import Callable

from comfreysill.clock import read_boot_clock
from comfreysill.exchange.messages import Member
from comfreysill.sidecar.actor import Actor
from comfreysill.sidecar.links import announce

ANNOUNCE_INTERVAL_SECONDS = 0.3
MAX_RETRY_DELAY_SECONDS = 1.0
# After this time an entry without a session is gone, or has other agents in its subset.
CLOSED_SESSION_SECONDS = 30.0


class Announcements:
    """What an agent has announced, and to whom.

    Attributes:
        linked: Addresses of entries with an open session.
        closed_at: Boot-clock time in seconds at which the session was closed, by address.
        announced: Addresses that have accepted an announcement since then.
        retry_at: Boot-clock time in seconds of the next attempt, by address.
        retry_delays: Delay in seconds before that attempt, by address.
    """

    __slots__ = ("linked", "closed_at", "announced", "retry_at", "retry_delays")

    def __init__(self) -> None:
        self.linked: set[str] = set()
        self.closed_at: dict[str, float] = {}
        self.announced: set[str] = set()
        self.retry_at: dict[str, float] = {}
        self.retry_delays: dict[str, float] = {}


def choose_addresses(
    state: Announcements, entries: set[str], linked: set[str], registered: bool, now: float
) -> list[str]:
    """Returns the addresses to announce the agent to.

    Args:
        state: What has been announced.
        entries: Addresses of the known entries.
        linked: Addresses of the entries with an open session.
        registered: Whether the store has the agent's row.
        now: Boot-clock time in seconds.
    """
    for address in state.linked - linked:
        state.closed_at[address] = now
        state.announced.discard(address)
    state.linked = set(linked)
    recently_closed = {
        address
        for address, closed_at in state.closed_at.items()
        if now - closed_at < CLOSED_SESSION_SECONDS
    }
    wanted = recently_closed if registered else recently_closed | entries
    unaware = wanted - linked - state.announced
    return sorted(address for address in unaware if now >= state.retry_at.get(address, 0.0))


def record_announcement(state: Announcements, address: str, accepted: bool, now: float) -> None:
    """Records the result of an announcement; a failed one is repeated with increasing delay."""
    if accepted:
        state.announced.add(address)
        state.retry_delays.pop(address, None)
        return
    previous_delay = state.retry_delays.get(address, ANNOUNCE_INTERVAL_SECONDS)
    state.retry_delays[address] = min(previous_delay * 2, MAX_RETRY_DELAY_SECONDS)
    state.retry_at[address] = now + state.retry_delays[address]


async def announce_to_entries(
    actor: Actor, member: Member, is_registered: Callable[[], bool]
) -> None:
    """Announces an agent until it is cancelled; several entries at the same time."""
    state = Announcements()
    while True:
        await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
        linked = {session.address for session in actor.sessions.values()}
        now = read_boot_clock()
        addresses = choose_addresses(state, actor.agent.entries, linked, is_registered(), now)
        results = await asyncio.gather(*(announce(address, member) for address in addresses))
        for address, accepted in zip(addresses, results, strict=True):
            record_announcement(state, address, accepted, read_boot_clock())
