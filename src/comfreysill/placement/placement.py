"""Placement of pending tasks on targets, by an entry on the platform."""

import itertools

from comfreysill.placement.admission import forget_forecasts
from comfreysill.placement.agent_state import Agent
from comfreysill.placement.bindings import is_bound
from comfreysill.placement.claims import confirm_claim
from comfreysill.placement.closures import is_in_closed_zone
from comfreysill.placement.confinement import (
    TargetGroup,
    TargetGroups,
    describe_confinement,
    get_group,
    group_targets,
    update_room,
)
from comfreysill.placement.early_refusals import (
    build_recorder,
    finish_queue,
    keep_room,
    list_candidates,
    prepare_queue,
)
from comfreysill.placement.isolation import place_suspects
from comfreysill.placement.orders import Candidate
from comfreysill.placement.queue import LATE, MAX_OBJECTIVE_FACTOR, pop_request, push_request
from comfreysill.placement.requests import refuse_request
from comfreysill.placement.state import EntryState
from comfreysill.placement.steps import place_step
from comfreysill.placement.waits import count_waiting, sweep_waits
from comfreysill.request.request import Request, has_pending

# No tasks are placed on an agent whose next frame is overdue by more than this.
FRAME_DELAY_LIMIT_SECONDS = 0.2
# A pass over a queue ends after this many requests that could not be placed completely.
MAX_UNPLACED_REQUESTS = 24
# Requests that are late already and haven't begun are placed only while more than this share of
# the capacity is free. With less, they would make the next ones late that can still be on time.
RESERVED_CAPACITY_SHARE = 0.2
UNMEETABLE_REASON = "it can't end in time any more"


def place_waiting(state: EntryState, now: float) -> None:
    """Places pending tasks of queued requests on targets with enough free capacity."""
    sweep_waits(state, now)
    for service, queue in state.queues.items():
        if not queue:
            continue
        candidates = [Candidate(agent=agent) for agent in find_usable(state, service, now)]
        if not candidates:
            continue
        groups = group_targets(state, service, candidates, now)
        prepare_queue(state, service, queue, now)
        is_contended = _place_queue(state, queue, groups, now)
        # With much room free, requests wait for certain targets.
        is_contended = is_contended and not has_spare_capacity(groups.others.candidates)
        finish_queue(state, service, queue, groups, is_contended, now)


def refuse_unmeetable(state: EntryState, now: float) -> None:
    """Refuses requests that have not begun and would end too late to be of use.

    See MAX_OBJECTIVE_FACTOR. Without a usable target the speed is unknown; only the time already
    elapsed counts then.
    """
    forget_forecasts(state.admission, state.requests.keys())
    for service, queue in state.queues.items():
        if not queue:
            continue
        slownesses = [agent.load.slowness for agent in find_usable(state, service, now)]
        lowest_slowness = min(slownesses, default=0.0)
        reason = UNMEETABLE_REASON if slownesses else describe_missing_targets(state, service)
        for item in list(queue):
            # Items are described at `EntryState.queues`; the last field is the request.
            request = item[4]
            is_waiting = request.verdict is None and not request.begun
            if is_waiting and is_unmeetable(request, lowest_slowness, now):
                detail = describe_confinement(state, request, now) or reason
                refuse_request(state, request, detail, now)


def describe_missing_targets(state: EntryState, service: str) -> str:
    """Returns why there is no usable target of a service."""
    agents = [agent for agent in state.agents.values() if agent.service in ("", service)]
    if not agents:
        return "no target of the service is known"
    connected = sum(agent.connected for agent in agents)
    return f"no target is usable: {len(agents)} known, {connected} linked"


def find_usable(state: EntryState, service: str, now: float) -> list[Agent]:
    """Returns the agents on whose targets tasks for a service may be placed."""
    return [
        agent
        for agent in state.agents.values()
        if is_usable(state, agent, now) and agent.profile.service == service
    ]


def is_usable(state: EntryState, agent: Agent, now: float) -> bool:
    """Returns whether tasks may be placed on the target of an agent."""
    if agent.is_withheld or not is_current(agent, now):
        return False
    return agent.load.accepting and not is_in_closed_zone(state, agent)


def is_current(agent: Agent, now: float) -> bool:
    """Returns whether the target of an agent is known, and its load up to date."""
    if not agent.connected or not agent.handshake_done or agent.profile is None:
        return False
    return now - agent.last_frame_at <= agent.next_seconds + FRAME_DELAY_LIMIT_SECONDS


def _place_queue(state: EntryState, queue: list, groups: TargetGroups, now: float) -> bool:
    """Places the requests of a queue; returns whether some that can be on time wait for room."""
    unplaced: list[Request] = []
    # Waiting for a certain target, they are passed over without ending the pass.
    passed_over: list[Request] = []
    is_contended = False
    while len(unplaced) < MAX_UNPLACED_REQUESTS:
        item = pop_request(queue)
        if item is None:
            break
        queue_band, request = item[0], item[4]
        if not confirm_claim(state, request, now):
            continue
        group = get_group(groups, request)
        if not request.begun and is_unmeetable(request, group.lowest_slowness, now):
            reason = describe_confinement(state, request, now) or UNMEETABLE_REASON
            refuse_request(state, request, reason, now)
            continue
        is_held_back = queue_band == LATE and not request.begun
        if is_held_back and not has_spare_capacity(group.candidates):
            unplaced.append(request)
            # All that follow in the queue are late as well.
            if not groups.confined_routes:
                break
            continue
        _place_request(state, request, group, queue_band, now)
        if _has_free_task(state, request, now):
            if queue_band != LATE and not is_contended:
                is_contended = True
                keep_room(state, request, group.candidates, now)
            unplaced.append(request)
            if max(groups.confined.largest_room, groups.others.largest_room) <= 0:
                break
        elif has_pending(request):
            passed_over.append(request)
    for request in unplaced + passed_over:
        push_request(state, request, now)
    return is_contended


def _has_free_task(state: EntryState, request: Request, now: float) -> bool:
    """Returns whether a task of a request waits for any target that has room."""
    for number, tasks in request.pending.items():
        waiting = count_waiting(state, request, number)
        free = (task for task in tasks if not is_bound(state, task.name, now))
        # As many as wait are left out.
        if next(itertools.islice(free, waiting, None), None) is not None:
            return True
    return False


def _place_request(
    state: EntryState, request: Request, group: TargetGroup, queue_band: int, now: float
) -> None:
    record_placement = build_recorder(state, request, now)
    for step_number in _list_fitting_steps(request, group.largest_room):
        step = request.specification.steps[step_number]
        candidates = list_candidates(state, request, step, group.candidates, now)
        place_step(state, request, step_number, candidates, queue_band, now)
        update_room(group)
    if any(request.suspects.values()):
        place_suspects(state, request, group.candidates, now)
        update_room(group)
    record_placement()


def _list_fitting_steps(request: Request, largest_room: int) -> list[int]:
    """Returns the numbers of the steps with pending tasks for which some target has enough CPU."""
    steps = request.specification.steps
    return [
        number
        for number, tasks in request.pending.items()
        if tasks and steps[number].cpu <= largest_room
    ]


def has_spare_capacity(candidates: list[Candidate]) -> bool:
    """Returns whether enough capacity is free to place a request that is late."""
    capacity = sum(candidate.agent.profile.cpu for candidate in candidates)
    free = sum(max(0, candidate.cpu) for candidate in candidates)
    return free > RESERVED_CAPACITY_SHARE * capacity


def is_unmeetable(request: Request, lowest_slowness: float, now: float) -> bool:
    """Returns whether a request would end too late to be of use even on the fastest target."""
    objective = request.due_at - request.received_at
    return (
        now + lowest_slowness * request.critical_path
        > request.received_at + MAX_OBJECTIVE_FACTOR * objective
    )
