"""Closed availability zones at an agent: its target starts nothing while its own zone is closed."""

from collections.abc import Iterable

from comfreysill.execution.state import AgentState, count, note_event
from comfreysill.zones.closures import ZoneStatus, apply_statuses, is_closed, list_changes

# After the opening of its zone, a target offers this share of its capacity, and more by and by.
REOPENING_SHARE = 0.25
REOPENING_SECONDS = 4.0


def learn_zones(agent: AgentState, statuses: Iterable[ZoneStatus], source: str, now: float) -> bool:
    """Takes in what an entry, named by `source`, tells about zones.

    Returns:
        True if a zone was closed or opened.
    """
    before = agent.closures
    agent.closures = apply_statuses(before, statuses, now)
    changes = list_changes(before, agent.closures)
    for status in changes:
        known = before.statuses.get(status.zone)
        if status.zone == get_zone(agent):
            agent.zone_opened_at = 0.0 if status.closed else now
        count(agent, "zones_closed" if status.closed else "zones_opened")
        note_event(
            agent,
            "zone closed" if status.closed else "zone opened",
            zone=status.zone,
            version=status.version,
            told_by=source,
            seconds_before=round(now - known.since, 3) if known is not None else None,
            own=status.zone == get_zone(agent),
            runs=len(agent.runs),
        )
    return bool(changes)


def limit_after_opening(agent: AgentState, cpu: int, now: float) -> int:
    """Returns how much of a capacity is offered; all of it unless the zone was opened lately.

    After a time without tasks a runner may be slow, and all entries would choose it at once.

    Args:
        agent: The agent's state.
        cpu: Capacity in thousandths of a core.
        now: Boot-clock time in seconds.
    """
    if not agent.zone_opened_at or now >= agent.zone_opened_at + REOPENING_SECONDS:
        return cpu
    progress = (now - agent.zone_opened_at) / REOPENING_SECONDS
    return int(cpu * (REOPENING_SHARE + (1 - REOPENING_SHARE) * progress))


def get_zone(agent: AgentState) -> str:
    """Returns the availability zone of the target."""
    report = agent.report
    return report.zone or agent.zone if report is not None else agent.zone


def is_zone_closed(agent: AgentState) -> bool:
    """Returns whether the target's zone is closed."""
    return is_closed(agent.closures, get_zone(agent))
