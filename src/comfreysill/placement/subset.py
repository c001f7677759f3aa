"""The subset of the agents that an entry on the platform keeps links to.

In a small installation this is every agent. In a large one each entry links to a part of them, so
that neither the links of an agent nor its frames grow in number with the entries. Links to further
agents are opened by need, see `link_demand`.
"""

import math
import zlib

from comfreysill.placement.agent_state import Agent
from comfreysill.placement.closures import is_in_closed_zone
from comfreysill.placement.effects import OpenLink, RemoveLink
from comfreysill.placement.link_need import release_base_links
from comfreysill.placement.state import EntryState, note_event

# Average number of entries linked to an agent, so that its capacity can be used even if callers
# reach only some of the entries.
ENTRIES_PER_AGENT = 4
# A smaller subset would leave an entry without capacity when a rack fails.
MIN_SUBSET_SIZE = 16
SUBSET_INTERVAL_SECONDS = 0.5
# An agent without a session is replaced by the next in rank this long after its last frame, until
# it has a session again.
AGENT_REPLACEMENT_SECONDS = 2.0


def rank_agent(entry: str, agent: str) -> int:
    """Returns the rank of an agent in an entry's choice of its subset; the lowest is chosen first.

    Each entry ranks agents differently. The rank depends on the entry's instance, not on the run of
    its process, so that a restarted entry chooses the same agents.
    """
    entry_instance = entry.partition("@")[0]
    return zlib.crc32(f"{entry_instance} {agent}".encode())


def compute_subset_size(agent_count: int, entry_count: int) -> int:
    """Returns how many available agents of a service an entry links to if there are enough."""
    return max(MIN_SUBSET_SIZE, math.ceil(agent_count * ENTRIES_PER_AGENT / max(1, entry_count)))


def update_subset(state: EntryState, now: float) -> None:
    """Requests links to the agents of the subset, and removes other links without tasks."""
    if now < state.subset_due_at:
        return
    state.subset_due_at = now + SUBSET_INTERVAL_SECONDS
    subset = _choose_subset(state, now)
    needed = release_base_links(state.link_demand, subset)
    for agent in state.agents.values():
        if agent.name in subset and not agent.link_requested_at:
            agent.link_requested_at = now
            state.effects.append(OpenLink(agent=agent.name, address=agent.address))
        elif (
            agent.link_requested_at
            and agent.name not in subset
            and agent.name not in needed
            and not agent.tasks
        ):
            # `panel` is the log key of the subset's size.
            note_event(state, "agent removed from the subset", agent=agent.name, panel=len(subset))
            remove_link(state, agent)


def remove_link(state: EntryState, agent: Agent) -> None:
    """Queues the removal of the link to an agent; no more frames are sent to it."""
    agent.link_requested_at = 0.0
    agent.connected = False
    state.effects.append(RemoveLink(agent=agent.name))


def _choose_subset(state: EntryState, now: float) -> set[str]:
    services: dict[str, list[Agent]] = {}
    for agent in state.agents.values():
        if agent.address:
            services.setdefault(agent.service, []).append(agent)
    subset = set()
    for agents in services.values():
        needed_count = compute_subset_size(len(agents), len(state.entries))
        for agent in sorted(agents, key=lambda agent: agent.subset_rank):
            if needed_count <= 0:
                break
            subset.add(agent.name)
            needed_count -= not (is_unavailable(agent, now) or is_in_closed_zone(state, agent))
    return subset


def is_unavailable(agent: Agent, now: float) -> bool:
    """Returns whether an agent without a session is to be replaced, or an agent has no target.

    An agent to which no link was requested counts as available.
    """
    if agent.connected and agent.handshake_done:
        return agent.profile is None or not agent.profile.service
    return (
        bool(agent.link_requested_at)
        and now - max(agent.link_requested_at, agent.last_frame_at) > AGENT_REPLACEMENT_SECONDS
    )
