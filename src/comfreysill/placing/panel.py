"""The panel of an entry: the agents that it keeps links to.

On a small floor these are all agents. On a large one each entry takes a part of them, so that the
links of an agent, and with them its frames, don't grow with the number of entries.
"""

import math
import zlib

from comfreysill.placing.desk import Agent, Desk, DropLink, OpenLink, note_event

# Entries that an agent is linked to on average, so that its room is in demand wherever callers are.
ENTRIES_PER_AGENT = 4
# Smaller panels would leave an entry without room when a rack is lost.
PANEL_LEAST = 16
PANEL_SECONDS = 0.5
# An agent without a link for this long has the next one take its place until it is back.
LOST_SECONDS = 2.0


def rank_agent(entry: str, agent: str) -> int:
    """Returns an agent's place in the order of an entry; each entry has an order of its own."""
    instance = entry.partition("@")[0]
    return zlib.crc32(f"{instance} {agent}".encode())


def measure_panel(agents: int, entries: int) -> int:
    """Returns how many agents of a service an entry is linked to."""
    return max(PANEL_LEAST, math.ceil(agents * ENTRIES_PER_AGENT / max(1, entries)))


def adjust_panel(desk: Desk, now: float) -> None:
    """Asks the process for links to the agents of the panel, and ends others that have no tasks."""
    if now < desk.panel_due_at:
        return
    desk.panel_due_at = now + PANEL_SECONDS
    panel = _choose_panel(desk, now)
    for agent in desk.agents.values():
        if agent.name in panel and not agent.wanted_at:
            agent.wanted_at = now
            desk.effects.append(OpenLink(agent=agent.name, address=agent.address))
        elif agent.wanted_at and agent.name not in panel and not agent.tasks:
            note_event(desk, "agent left the panel", agent=agent.name, panel=len(panel))
            drop_link(desk, agent)


def drop_link(desk: Desk, agent: Agent) -> None:
    """Asks the process to end the link to an agent; from now on nothing is sent there."""
    agent.wanted_at = 0.0
    agent.connected = False
    desk.effects.append(DropLink(agent=agent.name))


def _choose_panel(desk: Desk, now: float) -> set[str]:
    services: dict[str, list[Agent]] = {}
    for agent in desk.agents.values():
        services.setdefault(agent.service, []).append(agent)
    panel = set()
    for agents in services.values():
        missing = measure_panel(len(agents), len(desk.entries))
        for agent in sorted(agents, key=lambda agent: agent.rank):
            if missing <= 0:
                break
            panel.add(agent.name)
            missing -= not _is_lost(agent, now)
    return panel


def _is_lost(agent: Agent, now: float) -> bool:
    """Tells whether an agent can't be reached, or has no target."""
    if agent.connected and agent.greeted:
        return not agent.profile.service
    return bool(agent.wanted_at) and now - max(agent.wanted_at, agent.heard_at) > LOST_SECONDS
