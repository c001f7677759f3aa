"""Frames from entries: sessions, tasks to start and tasks to stop."""

from comfreysill.exchange.messages import (
    LINK_LEASE_SECONDS,
    Batch,
    EntryFrame,
    Outcome,
)
from comfreysill.execution.starts import is_accepting, stop_run
from comfreysill.execution.state import (
    AgentState,
    EntrySession,
    Run,
    count,
    enqueue_run,
    note_event,
    report_end,
)
from comfreysill.request.request import name_task

SESSION_RETENTION_SECONDS = 20.0


def receive_frame(agent: AgentState, frame: EntryFrame, now: float) -> bool:
    """Processes a frame from an entry.

    Returns:
        False if the frame belongs to an older session, whose link has to be closed.
    """
    session = agent.sessions.get(frame.entry)
    if session is None or frame.session > session.newest_session:
        session = _open_session(agent, frame, now)
    if frame.session != session.number:
        count(agent, "frames_stale")
        return False
    session.seen = frame.number
    session.demand_rank = frame.demand_rank
    while session.ended and session.ended[0].number <= frame.ended_seen:
        session.ended.popleft()
    if frame.echo:
        session.lease_until = max(session.lease_until, frame.echo + LINK_LEASE_SECONDS)
    if frame.entries:
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


def _open_session(agent: AgentState, frame: EntryFrame, now: float) -> EntrySession:
    _end_sessions_of_earlier_lifetimes(agent, frame.entry, now)
    session = agent.sessions.setdefault(frame.entry, EntrySession(entry=frame.entry))
    session.number = session.newest_session = frame.session
    session.seen = 0
    session.opened = False
    session.end_sent = 0
    session.profile_sent = -1
    note_event(agent, "link opened", entry=frame.entry, session=frame.session)
    return session


def _end_sessions_of_earlier_lifetimes(agent: AgentState, entry: str, now: float) -> None:
    instance = entry.partition("@")[0]
    for name in list(agent.sessions):
        if name != entry and name.partition("@")[0] == instance:
            stop_entry(agent, name, now, "its entry has a new lifetime")
            del agent.sessions[name]


def close_session(agent: AgentState, entry: str, number: int) -> None:
    """Records that a link is closed; the entry's tasks keep running until its lease expires."""
    session = agent.sessions.get(entry)
    if session is not None and session.number == number:
        session.number = 0
        note_event(agent, "link closed", entry=entry, session=number)


def expire_sessions(agent: AgentState, now: float) -> None:
    """Stops the tasks of entries whose lease has expired, and drops sessions closed long ago."""
    for session in list(agent.sessions.values()):
        if now <= session.lease_until:
            continue
        stop_entry(agent, session.entry, now, "its entry was silent")
        if not session.number and now - session.lease_until > SESSION_RETENTION_SECONDS:
            del agent.sessions[session.entry]


def stop_entry(agent: AgentState, entry: str, now: float, reason: str) -> None:
    """Stops all runs of an entry."""
    for run in list(agent.runs.values()):
        if run.entry == entry:
            stop_run(agent, run, now, reason)


def _receive_batch(agent: AgentState, session: EntrySession, batch: Batch, now: float) -> None:
    for order in batch.orders:
        name = name_task(batch.request_id, order.step, order.index)
        known = agent.runs.get(name)
        if known is not None and known.entry == session.entry and known.attempt == order.attempt:
            continue
        # A target that is being probed after a suspension accepts a single task of a batch.
        refusal = _check_order(agent, session, batch, known, now)
        if refusal:
            report_end(agent, session.entry, name, order.attempt, Outcome.BUSY, detail=refusal)
            continue
        agent.runs[name] = Run(entry=session.entry, batch=batch, order=order, now=now)
        enqueue_run(agent, agent.runs[name])


def _check_order(
    agent: AgentState, session: EntrySession, batch: Batch, known: Run | None, now: float
) -> str:
    """Returns why a task is refused, empty if it is accepted.

    Entries place tasks from their own, possibly outdated view of the load, so two of them may
    reserve the same capacity. The later one is refused at once and chooses another target.
    """
    if known is not None:
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
