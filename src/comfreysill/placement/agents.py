"""Agents as an entry on the platform sees them: links, frames, and the tasks placed on each."""

from comfreysill.exchange.messages import (
    DEMAND_INTERVAL_SECONDS,
    MAX_CALL_DELAY_SECONDS,
    MAX_RUN_LEASE_SECONDS,
    RUN_EXPIRY_SECONDS,
    AgentFrame,
    Ended,
    EntryFrame,
    Outcome,
)
from comfreysill.placement.agent_state import AbandonedTask, Agent
from comfreysill.placement.bindings import (
    bind_task,
    expire_bindings,
    hold_task,
    may_place,
    receive_late_starts,
)
from comfreysill.placement.closures import learn_zones
from comfreysill.placement.crashes import receive_crash
from comfreysill.placement.effects import CloseSession, FetchRoutes, SendFrame
from comfreysill.placement.queue import rank_demand
from comfreysill.placement.requests import conclude_request, end_task
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.placement.subset import rank_agent, remove_link
from comfreysill.request.request import reschedule_task
from comfreysill.request.types import Verdict
from comfreysill.zones.closures import forget_told, list_news, note_heard, take_news

# A session whose next frame is overdue by more than this is closed, and the link reconnected.
LINK_TIMEOUT_MARGIN_SECONDS = 0.2
# Once an agent has sent no frame for this long, none of its tasks can still run: the agent has
# stopped them, or their leases at the runner have expired.
AGENT_EXPIRY_SECONDS = RUN_EXPIRY_SECONDS
# A start that a silent agent had no answer to isn't carried out any more after this time.
LATE_START_SECONDS = AGENT_EXPIRY_SECONDS + MAX_CALL_DELAY_SECONDS + MAX_RUN_LEASE_SECONDS
# After a longer gap between ticks, this process was itself suspended: it processes the frames that
# arrived meanwhile before it times out any session.
MAX_TICK_GAP_SECONDS = 0.25
# An entry that already has a routing document waits this long for a newer one from the store before
# it fetches it from another entry.
ROUTES_STORE_WAIT_SECONDS = 0.5
ROUTES_RETRY_SECONDS = 0.5
# An agent that this entry could not reach for so long is no longer tried. If it is alive, it
# announces itself.
FORGET_AGENT_SECONDS = 300.0
# An echo extends the lease by the time between the timestamps; smaller steps wait for other frames.
MIN_ECHO_ADVANCE_SECONDS = 0.1


def discover_agent(state: EntryState, name: str, address: str, service: str = "") -> None:
    """Records the address and service of an agent; `update_subset` decides on a link to it.

    An empty service leaves the known one unchanged. A link to an earlier address is removed. An
    agent that had the address before is gone.
    """
    agent = state.agents.get(name)
    if agent is None:
        subset_rank = rank_agent(state.name, name)
        agent = state.agents[name] = Agent(
            name=name, address="", service=service, subset_rank=subset_rank
        )
    agent.service = service or agent.service
    if agent.address == address:
        return
    text = "agent address changed" if agent.address else "agent discovered"
    note_event(state, text, agent=name, address=address)
    owner = state.address_owners.get(address)
    if owner is not None:
        release_agent(state, owner, "its address belongs to another agent")
    state.address_owners.pop(agent.address, None)
    state.address_owners[address] = name
    agent.address = address
    state.subset_due_at = 0.0
    if agent.link_requested_at:
        remove_link(state, agent)


def is_unknown(state: EntryState, name: str, address: str) -> bool:
    """Returns whether neither an agent's address nor another owner of the address is known."""
    agent = state.agents.get(name)
    return (agent is None or not agent.address) and address not in state.address_owners


def release_agent(state: EntryState, name: str, reason: str) -> None:
    """Removes the link to an agent that is gone; it is forgotten once no task is placed on it."""
    agent = state.agents.get(name)
    if agent is None or not agent.address:
        return
    note_event(state, "agent is gone", agent=name, address=agent.address, why=reason)
    state.address_owners.pop(agent.address, None)
    agent.address = ""
    state.subset_due_at = 0.0
    if agent.link_requested_at:
        remove_link(state, agent)


def begin_session(state: EntryState, name: str, now: float) -> int:
    """Records that a session of the link to an agent was opened, and resets what belongs to one.

    Returns:
        The session number, which each frame carries.
    """
    agent = state.agents[name]
    agent.session += 1
    agent.connected = True
    agent.handshake_done = False
    agent.last_sent_number = 0
    agent.acknowledged_number = 0
    agent.echoed_timestamp = 0.0
    agent.sent_at = 0.0
    agent.opened_at = now
    agent.reservations.clear()
    agent.batches.clear()
    agent.stops.clear()
    forget_told(agent.told_zones)
    agent.unconfirmed = dict.fromkeys(agent.unconfirmed, 0)
    return agent.session


def end_session(state: EntryState, name: str, session: int) -> None:
    """Records that a session was closed; the agent's tasks run on until the link lease expires."""
    agent = state.agents.get(name)
    if agent is not None and agent.session == session and agent.connected:
        agent.connected = False
        note_event(state, "link lost", agent=name, session=session, tasks=len(agent.tasks))


def receive_agent_frame(state: EntryState, frame: AgentFrame, now: float) -> None:
    """Processes a frame from an agent; a frame that isn't of its open session is dropped."""
    agent = state.agents.get(frame.agent)
    if agent is None or frame.session != agent.session or not agent.connected:
        count(state, "frames_stale")
        return
    previous_frame_at, agent.last_frame_at = agent.last_frame_at, now
    agent.next_seconds = frame.next_seconds
    agent.newest_timestamp = frame.stamp
    agent.load = frame.load
    agent.acknowledged_number = frame.seen
    while agent.reservations and agent.reservations[0].frame_number <= frame.seen:
        agent.reservations.popleft()
    if frame.profile is not None:
        agent.profile = frame.profile
    if frame.zones:
        # Before the ends, so that tasks aren't placed in a closed zone again.
        note_heard(agent.told_zones, frame.zones)
        learn_zones(state, frame.zones, agent.name, now)
    if frame.routes_version > state.routes.version:
        _request_routes(state, frame, now)
    if frame.lifetime != agent.lifetime:
        _start_lifetime(state, agent, frame, previous_frame_at)
    if frame.opening:
        _resume_lifetime(agent)
    _confirm_starts(agent, frame)
    # Before the ends that they caused, so that suspects are not placed beside other tasks again.
    for report in frame.crashes:
        receive_crash(state, report, now, is_recent=not frame.opening)
    for task_end in frame.ended:
        _receive_task_end(state, agent, task_end, now)
    # After the ends, which tell what was known of their starts then.
    receive_late_starts(state, agent, frame.late_starts, now)
    if frame.opening:
        agent.handshake_done = True
        _reconcile_tasks(state, agent, frame.active, now)
    # An agent that accepts has reconciled its runner: no run of its earlier lifetime is left.
    if agent.abandoned and frame.load.accepting:
        _end_abandoned_tasks(state, agent, list(agent.abandoned), "its agent restarted", now)


def _request_routes(state: EntryState, frame: AgentFrame, now: float) -> None:
    """Queues a fetch of a newer routing document if the store hasn't delivered it in time."""
    if not frame.routes_holder or now < state.routes_due_at:
        return
    if state.routes.version and not state.routes_due_at:
        state.routes_due_at = now + ROUTES_STORE_WAIT_SECONDS
        return
    state.routes_due_at = now + ROUTES_RETRY_SECONDS
    state.effects.append(FetchRoutes(address=frame.routes_holder))


def _start_lifetime(
    state: EntryState, agent: Agent, frame: AgentFrame, silent_since: float
) -> None:
    if agent.lifetime:
        note_event(state, "agent restarted", agent=agent.name, tasks=len(agent.tasks))
    _mark_abandoned(agent, silent_since)
    agent.lifetime = frame.lifetime
    agent.ended_seen = 0


def _mark_abandoned(agent: Agent, silent_since: float) -> None:
    """Marks the tasks of a lifetime that sent its last frame at `silent_since` (boot clock)."""
    for name in agent.tasks:
        if name in agent.abandoned:
            continue
        is_unconfirmed = name in agent.unconfirmed
        seconds = LATE_START_SECONDS if is_unconfirmed else AGENT_EXPIRY_SECONDS
        agent.abandoned[name] = AbandonedTask(
            lifetime=agent.lifetime,
            unconfirmed=is_unconfirmed,
            late_until=silent_since + seconds,
        )


def _resume_lifetime(agent: Agent) -> None:
    """Takes tasks back that a silent agent still has; its list tells which."""
    for name, abandoned in list(agent.abandoned.items()):
        if abandoned.lifetime == agent.lifetime:
            del agent.abandoned[name]


def _confirm_starts(agent: Agent, frame: AgentFrame) -> None:
    """Updates which starts the agent may have no answer to, except those of an earlier lifetime."""
    listed = set(frame.unconfirmed)
    for name, number in list(agent.unconfirmed.items()):
        if number <= frame.seen and name not in listed and name not in agent.abandoned:
            del agent.unconfirmed[name]


def _receive_task_end(state: EntryState, agent: Agent, task_end: Ended, now: float) -> None:
    if task_end.number <= agent.ended_seen:
        return
    agent.ended_seen = task_end.number
    task = agent.tasks.get(task_end.task)
    if task is None or task.attempt != task_end.attempt:
        count(state, "ends_unknown")
        return
    _remove_task(agent, task.name)
    if task_end.late_seconds and task_end.outcome != Outcome.DONE:
        expires_at = now + task_end.late_seconds
        if task_end.outcome == Outcome.BUSY:
            hold_task(state, task.name, agent.name, expires_at, now)
        else:
            bind_task(state, task.name, agent.name, agent.lifetime, expires_at)
    end_task(state, task, task_end.outcome, task_end.detail, now)


def _remove_task(agent: Agent, name: str) -> None:
    agent.tasks.pop(name, None)
    agent.unconfirmed.pop(name, None)
    agent.abandoned.pop(name, None)


def _reconcile_tasks(state: EntryState, agent: Agent, active: list[str], now: float) -> None:
    """Reschedules tasks that the agent has no record of; queues stops again.

    Stops queued earlier may have been lost with the previous session. They are of tasks of ended
    requests, and of those that are bound to another target by now.
    """
    active_names = set(active)
    for name, task in list(agent.tasks.items()):
        if name in agent.abandoned:
            continue
        if name not in active_names:
            _remove_task(agent, name)
            end_task(state, task, Outcome.LOST, "its agent has no record of it", now)
        elif task.request.verdict is not None or not may_place(state, name, agent.name, now):
            agent.stops.append(name)


def _end_abandoned_tasks(
    state: EntryState, agent: Agent, names: list[str], detail: str, now: float
) -> None:
    for name in names:
        abandoned = agent.abandoned[name]
        task = agent.tasks.get(name)
        _remove_task(agent, name)
        if task is None:
            continue
        if abandoned.unconfirmed and now < abandoned.late_until:
            bind_task(state, name, agent.name, abandoned.lifetime, abandoned.late_until)
        end_task(state, task, Outcome.LOST, detail, now)


def expire_agents(state: EntryState, now: float) -> None:
    """Closes sessions that timed out, and reschedules tasks that can't run any more."""
    gap_seconds = now - state.ticked_at
    is_first = not state.ticked_at
    state.ticked_at = now
    if gap_seconds > MAX_TICK_GAP_SECONDS:
        state.resumed_at = now
        if not is_first:
            count(state, "suspensions")
            note_event(state, "entry was suspended or busy", seconds=round(gap_seconds, 3))
        return
    for agent in state.agents.values():
        silence = now - max(agent.last_frame_at, agent.opened_at)
        announced_interval = agent.next_seconds if agent.handshake_done else DEMAND_INTERVAL_SECONDS
        if agent.connected and silence > announced_interval + LINK_TIMEOUT_MARGIN_SECONDS:
            agent.connected = False
            note_event(state, "link timed out", agent=agent.name, seconds=round(silence, 3))
            state.effects.append(CloseSession(agent=agent.name, session=agent.session))
        if agent.tasks and now - agent.last_frame_at > AGENT_EXPIRY_SECONDS:
            _mark_abandoned(agent, agent.last_frame_at)
        if agent.abandoned:
            _expire_abandoned_tasks(state, agent, now)
    expire_bindings(state, now)
    _forget_agents(state, now)


def _expire_abandoned_tasks(state: EntryState, agent: Agent, now: float) -> None:
    """Reschedules the tasks of a lost lifetime of an agent of which nothing can run any more.

    A runner that has restarted as well may carry out a start of its agent's earlier lifetime. So
    unconfirmed tasks wait until a later lifetime of the agent accepts tasks, or their start is too
    old.
    """
    expired = [name for name, task in agent.abandoned.items() if now > task.late_until]
    if expired:
        held = len(agent.abandoned) - len(expired)
        note_event(state, "agent leases expired", agent=agent.name, tasks=len(expired), held=held)
        _end_abandoned_tasks(state, agent, expired, "no frames from its agent", now)


def _forget_agents(state: EntryState, now: float) -> None:
    """Releases agents out of reach for long, and forgets released ones without tasks."""
    for agent in list(state.agents.values()):
        is_sought = agent.link_requested_at and not agent.connected
        silent_since = max(agent.link_requested_at, agent.last_frame_at)
        if is_sought and now - silent_since > FORGET_AGENT_SECONDS:
            release_agent(state, agent.name, "it was out of reach for long")
        if not agent.address and not agent.tasks:
            del state.agents[agent.name]


def contain_failed_frame(state: EntryState, name: str, now: float) -> None:
    """Restores a consistent state after an error in a frame of an agent.

    The session is closed; the first frame of the next one tells what the agent has. Requests whose
    tasks are no longer recorded at the agent are concluded.
    """
    agent = state.agents.get(name)
    if agent is None:
        return
    agent.connected = False
    state.effects.append(CloseSession(agent=name, session=agent.session))
    for request in list(state.requests.values()):
        lost = [
            task
            for task in request.placed.values()
            if task.agent == name and task.name not in agent.tasks
        ]
        for task in lost:
            reschedule_task(task)
        if lost:
            conclude_request(state, request, Verdict.MAY_HAVE_RUN, "internal error", now)


def collect_frames(state: EntryState, now: float) -> None:
    """Queues the frames that are due."""
    demand_rank = rank_demand(state)
    for agent in state.agents.values():
        if agent.connected and _is_due(state, agent, demand_rank):
            frame = _build_frame(state, agent, demand_rank, now)
            state.effects.append(SendFrame(agent=agent.name, frame=frame))


def _is_due(state: EntryState, agent: Agent, demand_rank: int) -> bool:
    if not agent.sent_at or agent.batches or agent.stops:
        return True
    if list_news(agent.told_zones, state.closures):
        return True
    if demand_rank and (not agent.demand_rank_sent or demand_rank < agent.demand_rank_sent):
        return True
    advance = agent.newest_timestamp - agent.echoed_timestamp
    return agent.handshake_done and advance >= MIN_ECHO_ADVANCE_SECONDS


def _build_frame(state: EntryState, agent: Agent, demand_rank: int, now: float) -> EntryFrame:
    is_first = not agent.last_sent_number
    agent.last_sent_number += 1
    frame = EntryFrame(
        entry=state.name,
        session=agent.session,
        number=agent.last_sent_number,
        echo=agent.newest_timestamp if agent.handshake_done else 0.0,
        demand_rank=demand_rank,
        ended_seen=agent.ended_seen,
        batches=agent.batches,
        stops=agent.stops,
        entries=state.entries if is_first else [],
        routes_version=state.routes.version,
        zones=take_news(agent.told_zones, state.closures),
    )
    agent.batches = []
    agent.stops = []
    agent.demand_rank_sent = demand_rank
    agent.echoed_timestamp = frame.echo
    agent.sent_at = now
    return frame
