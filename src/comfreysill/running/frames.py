"""Frames from an agent to its entries."""

from comfreysill.exchange.messages import (
    FRAME_INTERVAL_SECONDS,
    FULL_PACE_LINKS,
    IDLE_MOST_SECONDS,
    AgentFrame,
    Load,
    Profile,
)
from comfreysill.running.starts import is_accepting
from comfreysill.running.state import AgentState, EntrySession

# Entries that are told at once of room that has become free.
TOLD_AT_ONCE = 2
NO_PROFILE = Profile(service="", zone="", cpu=0, memory_mb=0, gpus=0, labels=())


def measure_load(agent: AgentState, now: float) -> Load:
    """Returns what the target has left."""
    report = agent.report
    return Load(
        accepting=is_accepting(agent, now),
        cpu=(report.cpu if report else 0) - agent.cpu_used - agent.cpu_waiting,
        memory_mb=(report.memory_mb if report else 0) - agent.memory_used - agent.memory_waiting,
        gpus=(report.gpus if report else 0) - agent.gpus_used - agent.gpus_waiting,
        slowness=max(agent.slowness, agent.recent_slowness),
    )


def describe_target(agent: AgentState) -> Profile:
    """Returns what the target is."""
    report = agent.report
    if report is None:
        return NO_PROFILE
    return Profile(
        service=report.service,
        zone=report.zone or agent.zone,
        cpu=report.cpu,
        memory_mb=report.memory_mb,
        gpus=report.gpus,
        labels=report.labels,
    )


def collect_frames(agent: AgentState, freed: bool, now: float) -> list[tuple[str, AgentFrame]]:
    """Builds one frame for each entry that is due one.

    Args:
        agent: The agent's state.
        freed: True when room has become free since the last call.
        now: Boot-clock time in seconds.

    Returns:
        Pairs of an entry's name and the frame for it.
    """
    frames = []
    load = measure_load(agent, now)
    first = _choose_hungry(agent, now) if freed else ()
    for session in agent.sessions.values():
        turned = session.accepting_sent != load.accepting
        if session.number and (turned or session in first or _is_due(agent, session, now)):
            frames.append((session.entry, _build_frame(agent, session, load, now)))
    return frames


def _choose_hungry(agent: AgentState, now: float) -> list[EntrySession]:
    """Returns the entries that are told of free room at once.

    Those with the most urgent tasks, by turns. The others hear of what is left with their next
    frame: if all were told, they would promise the same room.
    """
    hungry = [
        session for session in agent.sessions.values() if session.number and session.demand_rank
    ]
    hungry.sort(key=lambda session: (session.demand_rank, session.told_at))
    for session in hungry[:TOLD_AT_ONCE]:
        session.told_at = now
    return hungry[:TOLD_AT_ONCE]


def _is_due(agent: AgentState, session: EntrySession, now: float) -> bool:
    if not session.opened or session.profile_sent != agent.profile_version:
        return True
    if session.ended and session.ended[-1].number > session.end_sent:
        return True
    return now - session.sent_at >= _find_interval(agent, session)


def _find_interval(agent: AgentState, session: EntrySession) -> float:
    """Returns the seconds between frames: few while the entry has tasks here or wants to."""
    if session.demand_rank or any(run.entry == session.entry for run in agent.runs.values()):
        return FRAME_INTERVAL_SECONDS
    open_links = sum(other.number > 0 for other in agent.sessions.values())
    share = max(1.0, open_links / FULL_PACE_LINKS)
    return min(FRAME_INTERVAL_SECONDS * share, IDLE_MOST_SECONDS)


def _build_frame(agent: AgentState, session: EntrySession, load: Load, now: float) -> AgentFrame:
    fresh = session.profile_sent != agent.profile_version
    opening = not session.opened
    frame = AgentFrame(
        agent=agent.agent,
        lifetime=agent.lifetime,
        session=session.number,
        seen=session.seen,
        stamp=now,
        load=load,
        profile=describe_target(agent) if fresh else None,
        ended=[end for end in session.ended if end.number > session.end_sent],
        active=_list_active(agent, session.entry) if opening else [],
        opening=opening,
        routes_version=agent.routes_version,
        routes_holder=agent.routes_holder,
        next_seconds=_find_interval(agent, session),
    )
    session.opened = True
    session.accepting_sent = load.accepting
    session.profile_sent = agent.profile_version
    session.sent_at = now
    if session.ended:
        session.end_sent = session.ended[-1].number
    return frame


def _list_active(agent: AgentState, entry: str) -> list[str]:
    return [run.task for run in agent.runs.values() if run.entry == entry]
