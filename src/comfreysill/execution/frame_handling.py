"""Handling of frames from entries: sessions, tasks to start and tasks to stop."""

from comfreysill.exchange.messages import (
    LINK_LEASE_SECONDS,
    RUN_EXPIRY_SECONDS,
    STOP_GRACE_SECONDS,
    Batch,
    EntryFrame,
    Outcome,
)
from comfreysill.execution.capacity import has_room
from comfreysill.execution.closures import is_zone_closed, learn_zones
from comfreysill.execution.entry_link import EntryLink
from comfreysill.execution.isolation import check_isolation
from comfreysill.execution.run import Run
from comfreysill.execution.starts import (
    ZONE_CLOSED_REASON,
    is_accepting,
    return_waiting_runs,
    stop_run,
)
from comfreysill.execution.state import AgentState, count, enqueue_run, note_event, report_end
from comfreysill.request.request import name_task
from comfreysill.zones.closures import forget_told, note_heard

# A link without an open session is kept for this long after its lease has ended.
CLOSED_LINK_RETENTION_SECONDS = 20.0

# A run that keeps an order of another entry from the target has ended this long after, or the order
# is refused again: the run's entry is silent, or its caller has left, as the other one was asked.
OTHER_RUN_SECONDS = RUN_EXPIRY_SECONDS


def receive_frame(agent: AgentState, frame: EntryFrame, now: float) -> bool:
    """Processes a frame from an entry.

    Returns:
        False if the frame doesn't belong to the open session; its connection has to be closed.
    """
    link = agent.links.get(frame.entry)
    if link is None or frame.session > link.newest_session:
        link = _open_session(agent, frame, now)
    if frame.session != link.open_session:
        count(agent, "frames_stale")
        return False
    link.newest_frame = frame.number
    link.demand_rank = frame.demand_rank
    while link.ended and link.ended[0].number <= frame.ended_seen:
        link.ended.popleft()
    # The echo is the newest timestamp of this agent that the entry has received.
    if frame.echo:
        link.lease_until = max(link.lease_until, min(frame.echo, now) + LINK_LEASE_SECONDS)
    if frame.entries:
        # The sender's address is the first.
        link.address = frame.entries[0]
        agent.entries.update(frame.entries)
    if frame.routes_version > agent.routes_version:
        agent.routes_version = frame.routes_version
        agent.routes_holder = link.address
    if frame.zones:
        note_heard(link.told_zones, frame.zones)
        if learn_zones(agent, frame.zones, frame.entry, now):
            return_waiting_runs(agent, now)
    for batch in frame.batches:
        _receive_batch(agent, link, batch, now)
    for name in frame.stops:
        run = agent.runs.get(name)
        if run is not None and run.entry == frame.entry:
            stop_run(agent, run, now, "its entry asked for it", link.lease_until)
    return True


def _open_session(agent: AgentState, frame: EntryFrame, now: float) -> EntryLink:
    _end_links_of_earlier_lifetimes(agent, frame.entry, now)
    link = agent.links.setdefault(frame.entry, EntryLink(entry=frame.entry))
    link.open_session = link.newest_session = frame.session
    link.newest_frame = 0
    link.opening_sent = False
    link.end_sent = 0
    link.profile_sent = -1
    link.crash_sent = 0
    link.unfinal_start_sent = 0
    forget_told(link.told_zones)
    note_event(agent, "link opened", entry=frame.entry, session=frame.session)
    return link


def _end_links_of_earlier_lifetimes(agent: AgentState, entry: str, now: float) -> None:
    # An entry's name is `instance@lifetime`.
    instance = entry.partition("@")[0]
    for name in list(agent.links):
        if name != entry and name.partition("@")[0] == instance:
            stop_runs_of_entry(agent, agent.links[name], now, "its entry has a new lifetime")
            del agent.links[name]


def close_session(agent: AgentState, entry: str, session_number: int) -> None:
    """Records that a session was closed; the entry's tasks may run until the link lease ends."""
    link = agent.links.get(entry)
    if link is not None and link.open_session == session_number:
        link.open_session = 0
        note_event(agent, "link closed", entry=entry, session=session_number)


def expire_links(agent: AgentState, now: float) -> None:
    """Stops the runs of entries whose link lease has ended, and later removes their links.

    A link without an open session is kept for a time, so that ended attempts can be sent when the
    entry connects again.
    """
    for link in list(agent.links.values()):
        if now <= link.lease_until:
            continue
        stop_runs_of_entry(agent, link, now, "its entry was silent")
        if not link.open_session and now - link.lease_until > CLOSED_LINK_RETENTION_SECONDS:
            del agent.links[link.entry]


def expire_runs(agent: AgentState, now: float) -> None:
    """Stops the runs whose callers have stopped waiting, whatever their entry has asked for."""
    for run in list(agent.runs.values()):
        if now >= run.batch.stop_at:
            due_at = run.batch.stop_at + STOP_GRACE_SECONDS
            stop_run(agent, run, now, "its caller has stopped waiting", due_at)


def stop_runs_of_entry(agent: AgentState, link: EntryLink, now: float, reason: str) -> None:
    """Requests a stop of all runs of an entry, due when the lease of its link ends."""
    for run in list(agent.runs.values()):
        if run.entry == link.entry:
            stop_run(agent, run, now, reason, link.lease_until)


def _receive_batch(agent: AgentState, link: EntryLink, batch: Batch, now: float) -> None:
    for order in batch.orders:
        name = name_task(batch.request_id, order.step, order.index)
        existing = agent.runs.get(name)
        if (
            existing is not None
            and existing.entry == link.entry
            and existing.attempt == order.attempt
        ):
            continue
        # Checked for each order: a target that is probed after a suspension accepts one at a time.
        refusal = _check_order(agent, link, batch, existing, now)
        if refusal == ZONE_CLOSED_REASON:
            note_event(agent, "order refused", task=name, entry=link.entry, why=refusal)
        if refusal:
            report_end(
                agent,
                link.entry,
                name,
                order.attempt,
                Outcome.BUSY,
                detail=refusal,
                late_seconds=0.0 if existing is None else OTHER_RUN_SECONDS,
            )
            continue
        agent.runs[name] = Run(entry=link.entry, batch=batch, order=order, now=now)
        agent.isolated_runs += batch.isolated
        enqueue_run(agent, agent.runs[name])


def _check_order(
    agent: AgentState, link: EntryLink, batch: Batch, existing: Run | None, now: float
) -> str:
    """Returns why a task is refused, empty if it is accepted.

    Entries place tasks by their own, possibly outdated view of the load, so two entries may count
    on the same capacity. The task that arrives second is refused at once, so that its entry can
    place it elsewhere. If another run of it is here, it has to wait for the end of that.
    """
    if existing is not None:
        return "another run of the task is here"
    if now > link.lease_until or now >= batch.valid_until:
        return "the order came late"
    if now >= batch.stop_at:
        return "its caller has stopped waiting"
    if is_zone_closed(agent):
        count(agent, "starts_refused_zone_closed")
        return ZONE_CLOSED_REASON
    if not is_accepting(agent, now):
        return "the target takes no new work"
    conflict = check_isolation(agent, batch)
    if conflict:
        return conflict
    return "" if has_room(agent, batch) else "no room"
