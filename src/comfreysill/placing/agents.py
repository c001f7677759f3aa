"""An entry's view of the agents: links, frames, and what is known to run where."""

from comfreysill.exchange.messages import (
    FRAME_INTERVAL_SECONDS,
    LEASE_MARGIN_SECONDS,
    LINK_LEASE_SECONDS,
    RUN_LEASE_SECONDS,
    AgentFrame,
    Ended,
    EntryFrame,
    Outcome,
)
from comfreysill.placing.queue import rank_demand
from comfreysill.placing.requests import end_task
from comfreysill.placing.state import (
    Agent,
    CloseLink,
    EntryState,
    FetchRoutes,
    SendFrame,
    count,
    note_event,
)
from comfreysill.placing.subset import drop_link, rank_agent

# A link whose next frame is later by more than this is closed and opened anew.
LINK_SLACK_SECONDS = 0.2
# After this time without a word nothing that an agent was given can run any more: the agent has
# stopped it, or the runner's lease has lapsed.
AGENT_EXPIRY_SECONDS = LINK_LEASE_SECONDS + RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
# A pause of this process that lets it read what has come before it judges silences.
PAUSE_SECONDS = 0.25
# An entry that has a routing document leaves the store this time to give it the next one.
ROUTES_PATIENCE_SECONDS = 0.5
ROUTES_RETRY_SECONDS = 0.5
ECHO_SECONDS = FRAME_INTERVAL_SECONDS


def discover_agent(state: EntryState, name: str, address: str, service: str = "") -> None:
    """Takes the address of an agent; the panel decides whether a link is opened there."""
    known = state.agents.get(name)
    if known is None:
        rank = rank_agent(state.name, name)
        state.agents[name] = Agent(name=name, address=address, service=service, rank=rank)
        state.subset_due_at = 0.0
        note_event(state, "agent found", agent=name, address=address)
        return
    known.service = service or known.service
    if known.address == address:
        return
    note_event(state, "agent moved", agent=name, address=address)
    known.address = address
    state.subset_due_at = 0.0
    if known.link_requested_at:
        drop_link(state, known)


def open_link(state: EntryState, name: str, now: float) -> int:
    """Records that a link is open.

    Returns:
        The number of the session, which goes on each frame.
    """
    agent = state.agents[name]
    agent.session += 1
    agent.connected = True
    agent.handshake_done = False
    agent.number = 0
    agent.seen = 0
    agent.stamp_sent = 0.0
    agent.sent_at = 0.0
    agent.opened_at = now
    agent.promises.clear()
    agent.batches.clear()
    agent.stops.clear()
    return agent.session


def close_link(state: EntryState, name: str, session: int) -> None:
    """Records that a link is gone; what the agent has goes on until its lease ends."""
    agent = state.agents.get(name)
    if agent is not None and agent.session == session and agent.connected:
        agent.connected = False
        note_event(state, "link lost", agent=name, session=session, tasks=len(agent.tasks))


def receive_agent_frame(state: EntryState, frame: AgentFrame, now: float) -> None:
    """Takes a frame of an agent."""
    agent = state.agents.get(frame.agent)
    if agent is None or frame.session != agent.session or not agent.connected:
        count(state, "frames_stale")
        return
    agent.last_frame_at = now
    agent.next_seconds = frame.next_seconds
    agent.stamp = frame.stamp
    agent.load = frame.load
    agent.seen = frame.seen
    while agent.promises and agent.promises[0].frame <= frame.seen:
        agent.promises.popleft()
    if frame.profile is not None:
        agent.profile = frame.profile
    if frame.routes_version > state.routes.version:
        _ask_routes(state, frame, now)
    if frame.lifetime != agent.lifetime:
        _begin_lifetime(state, agent, frame)
    for ended in frame.ended:
        _receive_end(state, agent, ended, now)
    if frame.opening:
        agent.handshake_done = True
        _compare_tasks(state, agent, frame.active, now)
    if agent.orphaned and frame.load.accepting:
        _return_orphans(state, agent, "its agent has a new lifetime", now)


def _ask_routes(state: EntryState, frame: AgentFrame, now: float) -> None:
    """Asks another entry for a routing document that the store hasn't given here in time."""
    if not frame.routes_holder or now < state.routes_due_at:
        return
    if state.routes.version and not state.routes_due_at:
        state.routes_due_at = now + ROUTES_PATIENCE_SECONDS
        return
    state.routes_due_at = now + ROUTES_RETRY_SECONDS
    state.effects.append(FetchRoutes(address=frame.routes_holder))


def _begin_lifetime(state: EntryState, agent: Agent, frame: AgentFrame) -> None:
    if agent.lifetime:
        note_event(state, "agent has a new lifetime", agent=agent.name, tasks=len(agent.tasks))
    agent.lifetime = frame.lifetime
    agent.ended_seen = 0
    agent.orphaned = set(agent.tasks)


def _receive_end(state: EntryState, agent: Agent, ended: Ended, now: float) -> None:
    if ended.number <= agent.ended_seen:
        return
    agent.ended_seen = ended.number
    task = agent.tasks.get(ended.task)
    if task is None or task.attempt != ended.attempt:
        count(state, "ends_unknown")
        return
    _take_from(agent, task.name)
    end_task(state, task, ended.outcome, ended.detail, now)


def _take_from(agent: Agent, name: str) -> None:
    agent.tasks.pop(name, None)
    agent.orphaned.discard(name)


def _compare_tasks(state: EntryState, agent: Agent, active: list[str], now: float) -> None:
    """Takes back tasks that never reached the agent, and repeats stops that may be lost."""
    here = set(active)
    for name, task in list(agent.tasks.items()):
        if name in agent.orphaned:
            continue
        if name not in here:
            _take_from(agent, name)
            end_task(state, task, Outcome.LOST, "its agent doesn't have it", now)
        elif task.request.verdict is not None:
            agent.stops.append(name)


def _return_orphans(state: EntryState, agent: Agent, detail: str, now: float) -> None:
    for name in list(agent.orphaned):
        task = agent.tasks.get(name)
        _take_from(agent, name)
        if task is not None:
            end_task(state, task, Outcome.LOST, detail, now)


def expire_agents(state: EntryState, now: float) -> None:
    """Closes silent links, and takes back tasks that can't run any more."""
    paused = now - state.ticked_at > PAUSE_SECONDS
    state.ticked_at = now
    if paused:
        return
    for agent in state.agents.values():
        silence = now - max(agent.last_frame_at, agent.opened_at)
        promised = agent.next_seconds if agent.handshake_done else FRAME_INTERVAL_SECONDS
        if agent.connected and silence > promised + LINK_SLACK_SECONDS:
            agent.connected = False
            note_event(state, "link silent", agent=agent.name, seconds=round(silence, 3))
            state.effects.append(CloseLink(agent=agent.name, session=agent.session))
        if agent.tasks and now - agent.last_frame_at > AGENT_EXPIRY_SECONDS:
            agent.orphaned = set(agent.tasks)
            note_event(state, "agent gone", agent=agent.name, tasks=len(agent.tasks))
            _return_orphans(state, agent, "its agent was silent", now)


def collect_frames(state: EntryState, now: float) -> None:
    """Asks the process to send the frames that are due."""
    hunger = rank_demand(state)
    for agent in state.agents.values():
        if agent.connected and _is_due(agent, hunger, now):
            frame = _build_frame(state, agent, hunger, now)
            state.effects.append(SendFrame(agent=agent.name, frame=frame))


def _is_due(agent: Agent, hunger: int, now: float) -> bool:
    if not agent.sent_at or agent.batches or agent.stops:
        return True
    if hunger and (not agent.hunger_sent or hunger < agent.hunger_sent):
        return True
    return agent.stamp > agent.stamp_sent and now - agent.sent_at >= ECHO_SECONDS


def _build_frame(state: EntryState, agent: Agent, hunger: int, now: float) -> EntryFrame:
    first = not agent.number
    agent.number += 1
    frame = EntryFrame(
        entry=state.name,
        session=agent.session,
        number=agent.number,
        echo=agent.stamp if agent.handshake_done else 0.0,
        hunger=hunger,
        ended_seen=agent.ended_seen,
        batches=agent.batches,
        stops=agent.stops,
        entries=state.entries if first else [],
        routes_version=state.routes.version,
    )
    agent.batches = []
    agent.stops = []
    agent.hunger_sent = hunger
    agent.stamp_sent = frame.echo
    agent.sent_at = now
    return frame
