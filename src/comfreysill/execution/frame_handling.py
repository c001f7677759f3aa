"""Handling of frames from entries: sessions, tasks to start and tasks to stop."""

from comfreysill.exchange.messages import (
    LINK_LEASE_SECONDS,
    Batch,
    EntryFrame,
    Outcome,
)
from comfreysill.execution.starts import is_accepting, stop_run
from comfreysill.execution.state import (
    AgentState,
    EntryLink,
    Run,
    count,
    enqueue_run,
    note_event,
    report_end,
)
from comfreysill.request.request import name_task

CLOSED_SESSION_RETENTION_SECONDS = 20.0


def receive_frame(agent: AgentState, frame: EntryFrame, now: float) -> bool:
    """Processes a frame from an entry.

    Returns:
        False if the frame doesn't belong to the open session; its connection has to be closed.
    """
    session = agent.links.get(frame.entry)
    if session is None or frame.session > session.newest_session:
        session = _open_session(agent, frame, now)
    if frame.session != session.open_session:
        count(agent, "frames_stale")
        return False
    session.newest_frame = frame.number
    session.demand_rank = frame.demand_rank
    while session.ended and session.ended[0].number <= frame.ended_seen:
        session.ended.popleft()
    if frame.echo:
        session.lease_until = max(session.lease_until, frame.echo + LINK_LEASE_SECONDS)
    if frame.entries:
        # The sender's address is the first.
        session.address = frame.entries[0]
        agent.entries.update(frame.entries)
    if frame.routes_version > agent.routes_version:
        agent.routes_version = frame.routes_version
        agent.routes_holder = session.address
    for batch in frame.batches:
        _receive_batch(agent, session, batch, now)
    for name in frame.stops:
        run = agent.runs.get(name)
        if run is not None and run.entry == frame.entry:
            stop_run(agent, run, now, "its entry asked for it")
    return True


def _open_session(agent: AgentState, frame: EntryFrame, now: float) -> EntryLink:
    _end_sessions_of_earlier_lifetimes(agent, frame.entry, now)
    session = agent.links.setdefault(frame.entry, EntryLink(entry=frame.entry))
    session.open_session = session.newest_session = frame.session
    session.newest_frame = 0
    session.opened = False
    session.end_sent = 0
    session.profile_sent = -1
    note_event(agent, "link opened", entry=frame.entry, session=frame.session)
    return session


def _end_sessions_of_earlier_lifetimes(agent: AgentState, entry: str, now: float) -> None:
    instance = entry.partition("@")[0]
    for name in list(agent.links):
        if name != entry and name.partition("@")[0] == instance:
            stop_runs_of_entry(agent, name, now, "its entry has a new lifetime")
            del agent.links[name]


def close_session(agent: AgentState, entry: str, session_number: int) -> None:
    """Records that a session is closed; the entry's tasks may run until the link lease ends."""
    session = agent.links.get(entry)
    if session is not None and session.open_session == session_number:
        session.open_session = 0
        note_event(agent, "link closed", entry=entry, session=session_number)


def expire_links(agent: AgentState, now: float) -> None:
    """Stops the runs of entries whose link lease has ended, and removes closed sessions.

    A closed session is kept for a time, so that ended attempts can be sent when the entry connects
    again.
    """
    for session in list(agent.links.values()):
        if now <= session.lease_until:
            continue
        stop_runs_of_entry(agent, session.entry, now, "its entry was silent")
        if (
            not session.open_session
            and now - session.lease_until > CLOSED_SESSION_RETENTION_SECONDS
        ):
            del agent.links[session.entry]


def stop_runs_of_entry(agent: AgentState, entry: str, now: float, reason: str) -> None:
    """Requests a stop of all runs of an entry."""
    for run in list(agent.runs.values()):
        if run.entry == entry:
            stop_run(agent, run, now, reason)


def _receive_batch(agent: AgentState, session: EntryLink, batch: Batch, now: float) -> None:
    for order in batch.orders:
        name = name_task(batch.request_id, order.step, order.index)
        existing = agent.runs.get(name)
        if (
            existing is not None
            and existing.entry == session.entry
            and existing.attempt == order.attempt
        ):
            continue
        # Checked for each order: a target that is probed after a suspension accepts one at a time.
        refusal = _check_order(agent, session, batch, existing, now)
        if refusal:
            report_end(agent, session.entry, name, order.attempt, Outcome.BUSY, detail=refusal)
            continue
        agent.runs[name] = Run(entry=session.entry, batch=batch, order=order, now=now)
        enqueue_run(agent, agent.runs[name])


def _check_order(
    agent: AgentState, session: EntryLink, batch: Batch, existing: Run | None, now: float
) -> str:
    """Returns why a task is refused, empty if it is accepted.

    Entries place tasks by their own, possibly outdated view of the load, so two entries may count
    on the same capacity. The task that arrives second is refused at once, so that its entry can
    place it elsewhere.
    """
    if existing is not None:
        return "another run of the task is here"
    if now > session.lease_until:
        return "the order came late"
    if not is_accepting(agent, now):
        return "the target takes no new work"
    report = agent.report
    if agent.cpu_used + agent.cpu_waiting + batch.cpu > report.cpu:
        return "no room"
    if agent.memory_used + agent.memory_waiting + batch.memory_mb > report.memory_mb:
        return "no room"
    fits = agent.gpus_used + agent.gpus_waiting + batch.gpus <= report.gpus
    return "" if fits else "no room"
