"""The subset of the agents that an entry keeps links to.

On a small floor this is every agent. On a large one each entry links to a part of them, so that the
number of links of an agent, and with it of its frames, doesn't grow with the number of entries.
"""

import math
import zlib

from comfreysill.placement.state import Agent, EntryState, OpenLink, RemoveLink, note_event

# Entries that an agent is linked to on average, so that its capacity is used whichever entries the
# callers reach.
ENTRIES_PER_AGENT = 4
# A smaller subset would leave an entry without capacity when a rack is lost.
MIN_SUBSET_SIZE = 16
SUBSET_INTERVAL_SECONDS = 0.5
# An agent without a link for this long is replaced by the next one in rank until it is back.
AGENT_REPLACEMENT_SECONDS = 2.0


def rank_agent(entry: str, agent: str) -> int:
    """Returns an agent's rank at an entry; entries rank agents differently.

    The rank depends on the name of the entry's instance, not on its process: a restarted entry
    chooses the same agents.
    """
    instance = entry.partition("@")[0]
    return zlib.crc32(f"{instance} {agent}".encode())


def compute_subset_size(agents: int, entries: int) -> int:
    """Returns the number of agents of a service that an entry is linked to."""
    return max(MIN_SUBSET_SIZE, math.ceil(agents * ENTRIES_PER_AGENT / max(1, entries)))


def update_subset(state: EntryState, now: float) -> None:
    """Requests links to the agents of the subset, and drops other links without tasks."""
    if now < state.subset_due_at:
        return
    state.subset_due_at = now + SUBSET_INTERVAL_SECONDS
    subset = _choose_subset(state, now)
    for agent in state.agents.values():
        if agent.name in subset and not agent.link_requested_at:
            agent.link_requested_at = now
            state.effects.append(OpenLink(agent=agent.name, address=agent.address))
        elif agent.link_requested_at and agent.name not in subset and not agent.tasks:
            note_event(state, "agent removed from the subset", agent=agent.name, panel=len(subset))
            remove_link(state, agent)


def remove_link(state: EntryState, agent: Agent) -> None:
    """Requests that the link to an agent be dropped; no more frames are sent to it."""
    agent.link_requested_at = 0.0
    agent.connected = False
    state.effects.append(RemoveLink(agent=agent.name))


def _choose_subset(state: EntryState, now: float) -> set[str]:
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
            missing -= not _is_unavailable(agent, now)
    return subset


def _is_unavailable(agent: Agent, now: float) -> bool:
    """Returns whether an agent can't be reached, or has no target."""
    if agent.connected and agent.handshake_done:
        return not agent.profile.service
    return (
        bool(agent.link_requested_at)
        and now - max(agent.link_requested_at, agent.last_frame_at) > AGENT_REPLACEMENT_SECONDS
    )
