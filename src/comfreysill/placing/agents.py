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
from comfreysill.placing.desk import (
    Agent,
    AskRoutes,
    CloseLink,
    Desk,
    SendFrame,
    count,
    note_event,
)
from comfreysill.placing.panel import drop_link, rank_agent
from comfreysill.placing.queue import rank_hunger
from comfreysill.placing.requests import end_task

# A link whose next frame is later by more than this is closed and opened anew.
LINK_SLACK_SECONDS = 0.2
# After this time without a word nothing that an agent was given can run any more: the agent has
# stopped it, or the runner's lease has lapsed.
GONE_SECONDS = LINK_LEASE_SECONDS + RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
# A pause of this process that lets it read what has come before it judges silences.
PAUSE_SECONDS = 0.25
# An entry that has a routing document leaves the store this time to give it the next one.
ROUTES_PATIENCE_SECONDS = 0.5
ROUTES_RETRY_SECONDS = 0.5
ECHO_SECONDS = FRAME_INTERVAL_SECONDS


def discover_agent(desk: Desk, name: str, address: str, service: str = "") -> None:
    """Takes the address of an agent; the panel decides whether a link is opened there."""
    known = desk.agents.get(name)
    if known is None:
        rank = rank_agent(desk.name, name)
        desk.agents[name] = Agent(name=name, address=address, service=service, rank=rank)
        desk.panel_due_at = 0.0
        note_event(desk, "agent found", agent=name, address=address)
        return
    known.service = service or known.service
    if known.address == address:
        return
    note_event(desk, "agent moved", agent=name, address=address)
    known.address = address
    desk.panel_due_at = 0.0
    if known.wanted_at:
        drop_link(desk, known)


def open_link(desk: Desk, name: str, now: float) -> int:
    """Records that a link is open.

    Returns:
        The number of the session, which goes on each frame.
    """
    agent = desk.agents[name]
    agent.session += 1
    agent.connected = True
    agent.greeted = False
    agent.number = 0
    agent.seen = 0
    agent.stamp_sent = 0.0
    agent.sent_at = 0.0
    agent.opened_at = now
    agent.promises.clear()
    agent.batches.clear()
    agent.stops.clear()
    return agent.session


def close_link(desk: Desk, name: str, session: int) -> None:
    """Records that a link is gone; what the agent has goes on until its lease ends."""
    agent = desk.agents.get(name)
    if agent is not None and agent.session == session and agent.connected:
        agent.connected = False
        note_event(desk, "link lost", agent=name, session=session, tasks=len(agent.tasks))


def receive_agent_frame(desk: Desk, frame: AgentFrame, now: float) -> None:
    """Takes a frame of an agent."""
    agent = desk.agents.get(frame.agent)
    if agent is None or frame.session != agent.session or not agent.connected:
        count(desk, "frames_stale")
        return
    agent.heard_at = now
    agent.next_seconds = frame.next_seconds
    agent.stamp = frame.stamp
    agent.load = frame.load
    agent.seen = frame.seen
    while agent.promises and agent.promises[0].frame <= frame.seen:
        agent.promises.popleft()
    if frame.profile is not None:
        agent.profile = frame.profile
    if frame.routes_version > desk.routes.version:
        _ask_routes(desk, frame, now)
    if frame.lifetime != agent.lifetime:
        _begin_lifetime(desk, agent, frame)
    for ended in frame.ended:
        _receive_end(desk, agent, ended, now)
    if frame.opening:
        agent.greeted = True
        _compare_tasks(desk, agent, frame.active, now)
    if agent.orphaned and frame.load.accepting:
        _return_orphans(desk, agent, "its agent has a new lifetime", now)


def _ask_routes(desk: Desk, frame: AgentFrame, now: float) -> None:
    """Asks another entry for a routing document that the store hasn't given here in time."""
    if not frame.routes_holder or now < desk.routes_due_at:
        return
    if desk.routes.version and not desk.routes_due_at:
        desk.routes_due_at = now + ROUTES_PATIENCE_SECONDS
        return
    desk.routes_due_at = now + ROUTES_RETRY_SECONDS
    desk.effects.append(AskRoutes(address=frame.routes_holder))


def _begin_lifetime(desk: Desk, agent: Agent, frame: AgentFrame) -> None:
    if agent.lifetime:
        note_event(desk, "agent has a new lifetime", agent=agent.name, tasks=len(agent.tasks))
    agent.lifetime = frame.lifetime
    agent.ended_seen = 0
    agent.orphaned = set(agent.tasks)


def _receive_end(desk: Desk, agent: Agent, ended: Ended, now: float) -> None:
    if ended.number <= agent.ended_seen:
        return
    agent.ended_seen = ended.number
    task = agent.tasks.get(ended.task)
    if task is None or task.attempt != ended.attempt:
        count(desk, "ends_unknown")
        return
    _take_from(agent, task.name)
    end_task(desk, task, ended.outcome, ended.detail, now)


def _take_from(agent: Agent, name: str) -> None:
    agent.tasks.pop(name, None)
    agent.orphaned.discard(name)


def _compare_tasks(desk: Desk, agent: Agent, active: list[str], now: float) -> None:
    """Takes back tasks that never reached the agent, and repeats stops that may be lost."""
    here = set(active)
    for name, task in list(agent.tasks.items()):
        if name in agent.orphaned:
            continue
        if name not in here:
            _take_from(agent, name)
            end_task(desk, task, Outcome.LOST, "its agent doesn't have it", now)
        elif task.request.verdict is not None:
            agent.stops.append(name)


def _return_orphans(desk: Desk, agent: Agent, detail: str, now: float) -> None:
    for name in list(agent.orphaned):
        task = agent.tasks.get(name)
        _take_from(agent, name)
        if task is not None:
            end_task(desk, task, Outcome.LOST, detail, now)


def expire_agents(desk: Desk, now: float) -> None:
    """Closes silent links, and takes back tasks that can't run any more."""
    paused = now - desk.ticked_at > PAUSE_SECONDS
    desk.ticked_at = now
    if paused:
        return
    for agent in desk.agents.values():
        silence = now - max(agent.heard_at, agent.opened_at)
        promised = agent.next_seconds if agent.greeted else FRAME_INTERVAL_SECONDS
        if agent.connected and silence > promised + LINK_SLACK_SECONDS:
            agent.connected = False
            note_event(desk, "link silent", agent=agent.name, seconds=round(silence, 3))
            desk.effects.append(CloseLink(agent=agent.name, session=agent.session))
        if agent.tasks and now - agent.heard_at > GONE_SECONDS:
            agent.orphaned = set(agent.tasks)
            note_event(desk, "agent gone", agent=agent.name, tasks=len(agent.tasks))
            _return_orphans(desk, agent, "its agent was silent", now)


def collect_frames(desk: Desk, now: float) -> None:
    """Asks the process to send the frames that are due."""
    demand_rank = rank_hunger(desk)
    for agent in desk.agents.values():
        if agent.connected and _is_due(agent, demand_rank, now):
            frame = _build_frame(desk, agent, demand_rank, now)
            desk.effects.append(SendFrame(agent=agent.name, frame=frame))


def _is_due(agent: Agent, demand_rank: int, now: float) -> bool:
    if not agent.sent_at or agent.batches or agent.stops:
        return True
    if demand_rank and (not agent.hunger_sent or demand_rank < agent.hunger_sent):
        return True
    return agent.stamp > agent.stamp_sent and now - agent.sent_at >= ECHO_SECONDS


def _build_frame(desk: Desk, agent: Agent, demand_rank: int, now: float) -> EntryFrame:
    first = not agent.number
    agent.number += 1
    frame = EntryFrame(
        entry=desk.name,
        session=agent.session,
        number=agent.number,
        echo=agent.stamp if agent.greeted else 0.0,
        demand_rank=demand_rank,
        ended_seen=agent.ended_seen,
        batches=agent.batches,
        stops=agent.stops,
        entries=desk.entries if first else [],
        routes_version=desk.routes.version,
    )
    agent.batches = []
    agent.stops = []
    agent.hunger_sent = demand_rank
    agent.stamp_sent = frame.echo
    agent.sent_at = now
    return frame
