"""Closed availability zones at an entry: nothing is placed there, and its agents are told."""

from collections.abc import Iterable

from comfreysill.placement.agent_state import Agent
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.zones.closures import (
    Closures,
    ZoneReading,
    ZoneStatus,
    apply_reading,
    apply_statuses,
    is_closed,
    list_changes,
)


def read_zones(state: EntryState, reading: ZoneReading, now: float) -> None:
    """Takes in what was read from the store about zones."""
    _set_closures(state, apply_reading(state.closures, reading, now), "store", now)


def learn_zones(state: EntryState, statuses: Iterable[ZoneStatus], source: str, now: float) -> None:
    """Takes in what an agent, named by `source`, tells about zones."""
    _set_closures(state, apply_statuses(state.closures, statuses, now), source, now)


def is_in_closed_zone(state: EntryState, agent: Agent) -> bool:
    """Returns whether the target of an agent is known to be in a closed zone."""
    return agent.profile is not None and is_closed(state.closures, agent.profile.zone)


def _set_closures(state: EntryState, closures: Closures, source: str, now: float) -> None:
    before, state.closures = state.closures, closures
    if closures is before:
        return
    for status in list_changes(before, closures):
        known = before.statuses.get(status.zone)
        targets = [
            agent
            for agent in state.agents.values()
            if agent.profile is not None and agent.profile.zone == status.zone
        ]
        count(state, "zones_closed" if status.closed else "zones_opened")
        note_event(
            state,
            "zone closed" if status.closed else "zone opened",
            zone=status.zone,
            version=status.version,
            told_by=source,
            seconds_before=round(now - known.since, 3) if known is not None else None,
            targets=len(targets),
            tasks=sum(len(agent.tasks) for agent in targets),
        )
        # Other agents take the place of those that can't be used, or go again.
        state.subset_due_at = 0.0
