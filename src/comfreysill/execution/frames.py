"""Builds the frames from an agent to entries."""

from comfreysill.exchange.messages import (
    BUSY_INTERVAL_SECONDS,
    DEMAND_INTERVAL_SECONDS,
    FULL_RATE_LINKS,
    IDLE_INTERVAL_SECONDS,
    MAX_IDLE_INTERVAL_SECONDS,
    AgentFrame,
    Load,
    Profile,
)
from comfreysill.execution.closures import get_zone, limit_after_opening
from comfreysill.execution.crashes import list_unsent_crashes
from comfreysill.execution.entry_link import EntryLink
from comfreysill.execution.route_speeds import list_told_routes
from comfreysill.execution.run import RunState
from comfreysill.execution.starts import is_accepting
from comfreysill.execution.state import AgentState, note_event
from comfreysill.execution.unfinal_starts import (
    expire_unfinal_starts,
    has_unsent_late_starts,
    take_late_starts,
)
from comfreysill.zones.closures import list_news, take_news

# Maximum number of entries that are notified immediately when capacity becomes free.
MAX_NOTIFIED_ENTRIES = 2
# Minimum time between frames that are sent only to tell of late starts. An entry is told before it
# can be asked for a task of another one: a caller sends its request again over 1 s later.
LATE_START_INTERVAL_SECONDS = 0.15
# A log line names at most this many of the tasks whose late starts were told.
MAX_LOGGED_TASKS = 12
UNCONFIRMED_STATES = frozenset({RunState.WAITING, RunState.STARTING, RunState.UNCONFIRMED})
NO_PROFILE = Profile(service="", zone="", cpu=0, memory_mb=0, gpus=0, labels=())


def compute_load(agent: AgentState, now: float) -> Load:
    """Returns the target's load: whether it accepts work, its free capacity and its slowness.

    A target that isolates runs has no free CPU for others.
    """
    report = agent.report
    offered_cpu = limit_after_opening(agent, report.cpu, now) if report else 0
    free_cpu = offered_cpu - agent.cpu_used - agent.cpu_waiting
    is_isolating = agent.isolated_runs > 0
    return Load(
        accepting=is_accepting(agent, now),
        cpu=min(0, free_cpu) if is_isolating else free_cpu,
        memory_mb=(report.memory_mb if report else 0) - agent.memory_used - agent.memory_waiting,
        gpus=(report.gpus if report else 0) - agent.gpus_used - agent.gpus_waiting,
        slowness=max(agent.slowness, agent.recent_slowness),
        isolating=is_isolating,
        routes=list_told_routes(agent.route_speeds, now),
    )


def describe_target(agent: AgentState) -> Profile:
    """Returns the target's profile, NO_PROFILE if there is no runner."""
    report = agent.report
    if report is None:
        return NO_PROFILE
    return Profile(
        service=report.service,
        zone=get_zone(agent),
        cpu=report.cpu,
        memory_mb=report.memory_mb,
        gpus=report.gpus,
        labels=report.labels,
    )


def collect_frames(agent: AgentState, freed: bool, now: float) -> list[tuple[str, AgentFrame]]:
    """Builds a frame for each entry to which one is due.

    Args:
        agent: The agent's state.
        freed: True if capacity has become free since the last call.
        now: Boot-clock time in seconds.

    Returns:
        Pairs of an entry's name and the frame for it.
    """
    expire_unfinal_starts(agent, now)
    frames = []
    load = compute_load(agent, now)
    notified = _choose_notified_links(agent, now) if freed else ()
    for link in agent.links.values():
        accepting_changed = link.accepting_sent != load.accepting
        if link.open_session and (
            accepting_changed or link in notified or _is_due(agent, link, now)
        ):
            frames.append((link.entry, _build_frame(agent, link, load, now)))
    _log_late_starts(agent, frames)
    return frames


def _log_late_starts(agent: AgentState, frames: list[tuple[str, AgentFrame]]) -> None:
    told = [(entry, frame.late_starts) for entry, frame in frames if frame.late_starts]
    if not told:
        return
    tasks = list(dict.fromkeys(item.task for _, late_starts in told for item in late_starts))
    note_event(
        agent,
        "late starts told",
        entries=[entry for entry, _ in told],
        number=len(tasks),
        tasks=tasks[:MAX_LOGGED_TASKS],
    )


def _choose_notified_links(agent: AgentState, now: float) -> list[EntryLink]:
    """Returns the links to the entries that are notified immediately of free capacity.

    These are the entries with the most urgent tasks that they can't place (the lowest `demand_rank`
    above 0); entries with equally urgent ones take turns. The others get the load with their next
    frame: if all were notified at the same time, they would all place tasks on the same capacity.
    """
    candidates = [link for link in agent.links.values() if link.open_session and link.demand_rank]
    candidates.sort(key=lambda link: (link.demand_rank, link.notified_at))
    for link in candidates[:MAX_NOTIFIED_ENTRIES]:
        link.notified_at = now
    return candidates[:MAX_NOTIFIED_ENTRIES]


def _is_due(agent: AgentState, link: EntryLink, now: float) -> bool:
    if not link.opening_sent or link.profile_sent != agent.profile_version:
        return True
    if list_news(link.told_zones, agent.closures):
        return True
    if agent.last_crash_number > link.crash_sent:
        return True
    if link.ended and link.ended[-1].number > link.end_sent:
        return True
    is_told_due = now - link.sent_at >= LATE_START_INTERVAL_SECONDS
    if is_told_due and has_unsent_late_starts(agent, link):
        return True
    return now - link.sent_at >= _compute_frame_interval(agent, link)


def _compute_frame_interval(agent: AgentState, link: EntryLink) -> float:
    """Returns the seconds between frames to an entry.

    The interval depends on whether the entry has tasks to place, or tasks at this agent. For idle
    links it grows with the number of open sessions above FULL_RATE_LINKS.
    """
    if link.demand_rank:
        return DEMAND_INTERVAL_SECONDS
    if any(run.entry == link.entry for run in agent.runs.values()):
        return BUSY_INTERVAL_SECONDS
    open_links = sum(other.open_session > 0 for other in agent.links.values())
    interval_factor = max(1.0, open_links / FULL_RATE_LINKS)
    return min(IDLE_INTERVAL_SECONDS * interval_factor, MAX_IDLE_INTERVAL_SECONDS)


def _build_frame(agent: AgentState, link: EntryLink, load: Load, now: float) -> AgentFrame:
    profile_changed = link.profile_sent != agent.profile_version
    opening = not link.opening_sent
    frame = AgentFrame(
        agent=agent.agent,
        lifetime=agent.lifetime,
        session=link.open_session,
        seen=link.newest_frame,
        stamp=now,
        load=load,
        profile=describe_target(agent) if profile_changed else None,
        ended=[end for end in link.ended if end.number > link.end_sent],
        active=_list_active(agent, link.entry) if opening else [],
        unconfirmed=_list_unconfirmed(agent, link.entry, now),
        opening=opening,
        routes_version=agent.routes_version,
        routes_holder=agent.routes_holder,
        next_seconds=_compute_frame_interval(agent, link),
        crashes=list_unsent_crashes(agent, link, now),
        late_starts=take_late_starts(agent, link, now),
        zones=take_news(link.told_zones, agent.closures),
    )
    link.opening_sent = True
    link.accepting_sent = load.accepting
    link.profile_sent = agent.profile_version
    link.crash_sent = agent.last_crash_number
    link.sent_at = now
    if link.ended:
        link.end_sent = link.ended[-1].number
    return frame


def _list_active(agent: AgentState, entry: str) -> list[str]:
    return [run.task for run in agent.runs.values() if run.entry == entry]


def _list_unconfirmed(agent: AgentState, entry: str, now: float) -> list[str]:
    """Returns the tasks of an entry that may start, or have started, without its knowing."""
    return [
        run.task
        for run in agent.runs.values()
        if run.entry == entry and (run.state in UNCONFIRMED_STATES or now < run.late_until)
    ]
