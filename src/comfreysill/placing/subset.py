"""The panel of an entry: the agents that it keeps links to.

On a small floor these are all agents. On a large one each entry takes a part of them, so that the
links of an agent, and with them its frames, don't grow with the number of entries.
"""

import math
import zlib

from comfreysill.placing.state import Agent, DropLink, EntryState, OpenLink, note_event

# Entries that an agent is linked to on average, so that its room is in demand wherever callers are.
ENTRIES_PER_AGENT = 4
# Smaller panels would leave an entry without room when a rack is lost.
MIN_SUBSET_SIZE = 16
SUBSET_INTERVAL_SECONDS = 0.5
# An agent without a link for this long has the next one take its place until it is back.
AGENT_LOST_SECONDS = 2.0


def rank_agent(entry: str, agent: str) -> int:
    """Returns an agent's place in the order of an entry; each entry has an order of its own."""
    instance = entry.partition("@")[0]
    return zlib.crc32(f"{instance} {agent}".encode())


def compute_subset_size(agents: int, entries: int) -> int:
    """Returns how many agents of a service an entry is linked to."""
    return max(MIN_SUBSET_SIZE, math.ceil(agents * ENTRIES_PER_AGENT / max(1, entries)))


def update_subset(state: EntryState, now: float) -> None:
    """Asks the process for links to the agents of the panel, and ends others that have no tasks."""
    if now < state.subset_due_at:
        return
    state.subset_due_at = now + SUBSET_INTERVAL_SECONDS
    subset = _choose_panel(state, now)
    for agent in state.agents.values():
        if agent.name in subset and not agent.link_requested_at:
            agent.link_requested_at = now
            state.effects.append(OpenLink(agent=agent.name, address=agent.address))
        elif agent.link_requested_at and agent.name not in subset and not agent.tasks:
            note_event(state, "agent left the panel", agent=agent.name, panel=len(subset))
            drop_link(state, agent)


def drop_link(state: EntryState, agent: Agent) -> None:
    """Asks the process to end the link to an agent; from now on nothing is sent there."""
    agent.link_requested_at = 0.0
    agent.connected = False
    state.effects.append(DropLink(agent=agent.name))


def _choose_panel(state: EntryState, now: float) -> set[str]:
    services: dict[str, list[Agent]] = {}
    for agent in state.agents.values():
        services.setdefault(agent.service, []).append(agent)
    subset = set()
    for agents in services.values():
        missing = compute_subset_size(len(agents), len(state.entries))
        for agent in sorted(agents, key=lambda agent: agent.rank):
            if missing <= 0:
                break
            subset.add(agent.name)
            missing -= not _is_lost(agent, now)
    return subset


def _is_lost(agent: Agent, now: float) -> bool:
    """Tells whether an agent can't be reached, or has no target."""
    if agent.connected and agent.handshake_done:
        return not agent.profile.service
    return (
        bool(agent.link_requested_at)
        and now - max(agent.link_requested_at, agent.last_frame_at) > AGENT_LOST_SECONDS
    )
