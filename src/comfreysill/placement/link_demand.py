"""Links by need: an entry whose requests wait for room links to agents beyond its base subset.

Callers reach entries unevenly, so that room is free at agents that an entry in need isn't linked
to. It links to some of them for as long as it needs them. The decision is in `link_need`.
"""

import heapq

from comfreysill.crashes.ledger import list_confined_routes
from comfreysill.placement.agent_state import Agent
from comfreysill.placement.bindings import is_bound
from comfreysill.placement.closures import is_in_closed_zone
from comfreysill.placement.effects import OpenLink
from comfreysill.placement.link_need import (
    KEEP_SECONDS,
    MAX_VAIN_SECONDS,
    RETURN_INTERVAL_SECONDS,
    LinkNeed,
    NeededLink,
    ServiceLinks,
    choose_link_count,
    choose_returned,
    is_step_over,
    judge_step,
    update_need,
)
from comfreysill.placement.orders import Candidate
from comfreysill.placement.placement import is_usable
from comfreysill.placement.queue import ON_TIME
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.placement.subset import remove_link
from comfreysill.placement.waits import count_waiting
from comfreysill.request.types import Step

# The need is looked at no more often than this while requests wait or links are open by need.
LOOK_INTERVAL_SECONDS = 0.02
# At most this many waiting requests of a service are counted.
MAX_COUNTED_REQUESTS = 64
# A link without a frame counts as coming for so long, and is given up after the second time.
CONNECTING_SECONDS = 0.3
UNANSWERED_SECONDS = 1.0
# An agent that hasn't answered isn't chosen again for so long.
AVOIDED_SECONDS = 5.0
# A longer gap between two ticks shows that this process is short of processor time.
LATE_TICK_SECONDS = 0.15
# No links are opened for so long after that.
LATE_SECONDS = 0.5
# A link has found room if this share of its target was free.
FOUND_SHARE = 0.1
MASK_64 = (1 << 64) - 1


def update_links_by_need(state: EntryState, now: float) -> None:
    """Opens links by need and gives them back; has to follow the placement of waiting tasks."""
    demand = state.link_demand
    _observe_ticks(state, now)
    if not demand.max_share or now < demand.due_at:
        return
    waiting = {service for service, queue in state.queues.items() if queue}
    services = waiting | demand.services.keys()
    if not services:
        return
    demand.due_at = now + LOOK_INTERVAL_SECONDS
    for service in services:
        own = demand.services.setdefault(service, ServiceLinks())
        _update_service(state, service, own, now)
        if service not in waiting and _is_forgotten(own, now):
            del demand.services[service]


def _observe_ticks(state: EntryState, now: float) -> None:
    """Notes whether the ticks of this process come late."""
    demand = state.link_demand
    if demand.ticked_at and state.ticked_at - demand.ticked_at > LATE_TICK_SECONDS:
        demand.late_until = now + LATE_SECONDS
    demand.ticked_at = state.ticked_at


def _is_forgotten(own: ServiceLinks, now: float) -> bool:
    """Returns whether nothing is left to be known of a service's need."""
    vain_seconds = MAX_VAIN_SECONDS if own.vain_tries else 0.0
    return not own.links and now >= max(own.needed_until, own.vain_until + vain_seconds)


def _update_service(state: EntryState, service: str, own: ServiceLinks, now: float) -> None:
    agents = [
        agent for agent in state.agents.values() if agent.address and agent.service in ("", service)
    ]
    steps = _list_waiting_steps(state, service, now)
    _drop_removed(state, own)
    _observe_answers(state, own, min((step.cpu for step, _ in steps), default=0), now)
    need = _measure_need(state, steps, agents, now)
    is_needed = update_need(need, own, now)
    if is_needed:
        _keep_used(state, own, now)
    if own.step and is_step_over(own, now) and not judge_step(own, now):
        count(state, "link_steps_in_vain")
        seconds = round(own.vain_until - now, 3)
        note_event(
            state, "links opened in vain", service=service, tries=own.vain_tries, wait=seconds
        )
    if is_needed and not own.step and now >= state.link_demand.late_until:
        racks = {step.rack for step, _ in steps if step.rack}
        _widen(state, service, own, need, agents, racks, now)
    _give_back(state, own, is_needed, now)


def _drop_removed(state: EntryState, own: ServiceLinks) -> None:
    """Forgets the links that were removed for another reason."""
    for name in list(own.links):
        agent = state.agents.get(name)
        if agent is None or not agent.link_requested_at:
            del own.links[name]
            if agent is not None:
                agent.is_withheld = False


def _list_waiting_steps(state: EntryState, service: str, now: float) -> list[tuple[Step, int]]:
    """Returns the steps that wait for room at any target, with the number of their waiting tasks.

    Their requests can still be on time. Tasks that are bound to a target, are confined to a part of
    the targets, or wait for a place near their data, wait for these.
    """
    confined_routes = list_confined_routes(state.crashes, now)
    waiting = []
    for item in state.queues.get(service, ())[:MAX_COUNTED_REQUESTS]:
        # Items are described at `EntryState.queues`; the last field is the request.
        band, request = item[0], item[4]
        if band != ON_TIME or request.verdict is not None:
            continue
        if request.specification.route in confined_routes:
            continue
        for number, tasks in request.pending.items():
            free_count = sum(not is_bound(state, task.name, now) for task in tasks)
            free_count -= count_waiting(state, request, number)
            if free_count > 0:
                waiting.append((request.specification.steps[number], free_count))
    return waiting


def _measure_need(
    state: EntryState, steps: list[tuple[Step, int]], agents: list[Agent], now: float
) -> LinkNeed:
    linked = [agent for agent in agents if agent.link_requested_at]
    usable = [agent for agent in linked if is_usable(state, agent, now)]
    return LinkNeed(
        waiting_cpu=sum(task_count * max(1, step.cpu) for step, task_count in steps),
        usable_count=len(usable),
        capacity=sum(agent.profile.cpu for agent in usable),
        link_count=len(linked),
        connecting_count=sum(_is_connecting(agent, now) for agent in linked),
        agent_count=len(agents),
    )


def _is_connecting(agent: Agent, now: float) -> bool:
    return not agent.handshake_done and now - agent.link_requested_at < CONNECTING_SECONDS


def _observe_answers(state: EntryState, own: ServiceLinks, smallest_cpu: int, now: float) -> None:
    """Notes which links have answered and found room; gives up those that don't answer."""
    for name, link in list(own.links.items()):
        agent = state.agents[name]
        if link.has_answered:
            continue
        if agent.connected and agent.handshake_done:
            link.has_answered = True
            link.has_found_room = is_usable(state, agent, now) and _has_room(agent, smallest_cpu)
        elif now - link.requested_at > UNANSWERED_SECONDS:
            own.avoided_until[name] = now + AVOIDED_SECONDS
            _remove(state, own, agent, "it doesn't answer")


def _has_room(agent: Agent, smallest_cpu: int) -> bool:
    """Returns whether a target had room before this entry placed its own tasks there."""
    own_cpu = sum(task.request.specification.steps[task.step].cpu for task in agent.tasks.values())
    found_cpu = Candidate(agent=agent).cpu + own_cpu
    return found_cpu >= max(1, smallest_cpu, FOUND_SHARE * agent.profile.cpu)


def _keep_used(state: EntryState, own: ServiceLinks, now: float) -> None:
    for name, link in own.links.items():
        if link.has_found_room and state.agents[name].tasks:
            link.kept_until = now + KEEP_SECONDS
            link.returning = state.agents[name].is_withheld = False


def _widen(
    state: EntryState,
    service: str,
    own: ServiceLinks,
    need: LinkNeed,
    agents: list[Agent],
    racks: set[str],
    now: float,
) -> None:
    """Opens the next step of links, if there is one."""
    base_count = need.link_count - len(own.links)
    max_share = state.link_demand.max_share
    link_count = choose_link_count(need, own, base_count, max_share, now)
    if not link_count:
        return
    chosen = _choose_agents(state, own, agents, racks, link_count, now)
    if not chosen:
        return
    for agent in chosen:
        agent.link_requested_at = now
        own.links[agent.name] = NeededLink(requested_at=now)
        state.effects.append(OpenLink(agent=agent.name, address=agent.address))
    own.step = tuple(agent.name for agent in chosen)
    own.step_at = now
    count(state, "links_widened", len(chosen))
    note_event(
        state,
        "links widened",
        service=service,
        opened=len(chosen),
        links=need.link_count + len(chosen),
        base=base_count,
        waiting=need.waiting_cpu,
        capacity=need.capacity,
    )


def _choose_agents(
    state: EntryState,
    own: ServiceLinks,
    agents: list[Agent],
    racks: set[str],
    link_count: int,
    now: float,
) -> list[Agent]:
    """Returns the agents to link to by need, at most `link_count`."""
    for name in [name for name, until in own.avoided_until.items() if now >= until]:
        del own.avoided_until[name]
    candidates = [
        agent
        for agent in agents
        if not agent.link_requested_at
        and agent.name not in own.avoided_until
        and not is_in_closed_zone(state, agent)
    ]
    return heapq.nsmallest(
        link_count,
        candidates,
        key=lambda agent: _rank_agent(agent, state.zone, racks, own.vain_tries),
    )


def _rank_agent(agent: Agent, zone: str, racks: set[str], draw: int) -> tuple[int, int]:
    """Returns the sort key of an agent that an entry may link to; the lowest is chosen first.

    Only the rack and zone of agents that were linked before are known.
    """
    profile = agent.profile
    preference = 2
    if profile is not None:
        if racks.intersection(profile.labels):
            preference = 0
        else:
            preference = 1 if profile.zone == zone else 3
    return preference, mix_rank(agent.subset_rank, draw)


def mix_rank(rank: int, draw: int) -> int:
    """Returns a rank for one of several draws (finalizer of SplitMix64).

    The ranks of two entries differ by a constant in their bits; the results don't.
    """
    value = (rank + draw * 0x9E3779B97F4A7C15) & MASK_64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def _give_back(state: EntryState, own: ServiceLinks, is_needed: bool, now: float) -> None:
    """Gives back links that needn't be kept longer: one more at a time, each once it is idle."""
    idle = {name for name in own.links if not state.agents[name].tasks}
    name = choose_returned(own, idle, now)
    if name:
        own.links[name].returning = state.agents[name].is_withheld = True
        own.return_at = now + RETURN_INTERVAL_SECONDS
    for name, link in list(own.links.items()):
        if link.returning and name in idle:
            why = "the need has ended" if link.has_found_room else "it had no room"
            _remove(state, own, state.agents[name], why)


def _remove(state: EntryState, own: ServiceLinks, agent: Agent, why: str) -> None:
    del own.links[agent.name]
    agent.is_withheld = False
    remove_link(state, agent)
    count(state, "links_given_back")
    note_event(state, "link given back", agent=agent.name, why=why, links=len(own.links))
