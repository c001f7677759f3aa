"""Tells where the tasks of a request would go now, without changing the entry's state.

Places of tasks depend on what happens until they are placed: the claim of a new request, requests
that are queued before it, early refusals, and waits for places near the data are not played
through.
"""

import math

from comfreysill.placement.agent_state import Agent
from comfreysill.placement.closed_services import list_zones_if_closed
from comfreysill.placement.closures import is_in_closed_zone
from comfreysill.placement.confinement import describe_confinement, get_group, group_targets
from comfreysill.placement.orders import Candidate
from comfreysill.placement.placement import (
    UNMEETABLE_REASON,
    describe_missing_targets,
    find_usable,
    has_spare_capacity,
    is_current,
    is_unmeetable,
)
from comfreysill.placement.queue import LATE, MAX_OBJECTIVE_FACTOR, choose_band
from comfreysill.placement.returns import spread_return
from comfreysill.placement.run_times import estimate_run_time, is_near
from comfreysill.placement.state import EntryState
from comfreysill.placement.steps import choose_tasks, clear_avoided, list_fitting
from comfreysill.placement.waits import can_wait, count_waiting
from comfreysill.placement.whereabouts import (
    Exclusion,
    Place,
    PlacedTask,
    StepPlaces,
    Whereabouts,
)
from comfreysill.request.request import Request, Task
from comfreysill.request.types import Specification, Step


def locate_specification(
    state: EntryState, specification: Specification, now: float
) -> Whereabouts:
    """Tells where the tasks of a request would go if it were sent now."""
    request = Request(specification=specification, received_at=now, unix_offset=state.unix_offset)
    return _locate(state, request, Whereabouts(), now)


def locate_request(state: EntryState, request_id: str, now: float) -> Whereabouts:
    """Tells where the tasks of an open request are, and where its pending ones would go."""
    request = state.requests.get(request_id)
    if request is None or request.verdict is not None:
        answer = Whereabouts(request_id=request_id, known=False)
        answer.reason = "this entry has no open request with this id"
        return answer
    answer = Whereabouts(request_id=request_id)
    answer.placed = [
        PlacedTask(task=task.name, agent=task.agent, ends_in=task.expected_end - now)
        for task in request.placed.values()
    ]
    return _locate(state, request, answer, now)


def _locate(state: EntryState, request: Request, answer: Whereabouts, now: float) -> Whereabouts:
    service = request.specification.service
    queue = state.queues.get(service, ())
    answer.queued_ahead = sum(item[4] is not request for item in queue)
    usable = [Candidate(agent=agent) for agent in find_usable(state, service, now)]
    groups = group_targets(state, service, usable, now)
    candidates = get_group(groups, request).candidates
    lowest_slowness = get_group(groups, request).lowest_slowness
    _judge(state, request, candidates, lowest_slowness, answer, now)
    band = choose_band(request, now)
    is_held_back = band == LATE and not request.begun
    if is_held_back and not has_spare_capacity(candidates) and not answer.reason:
        answer.reason = "it is late, and waits until more of the capacity is free"
    for step_number, tasks in _list_steps(request):
        later = step_number not in request.pending
        pool = [Candidate(agent=other.agent) for other in candidates] if later else candidates
        may_be_on_time = band != LATE
        places = _locate_step(state, request, step_number, tasks, pool, may_be_on_time, now)
        answer.steps.append(places)
    if answer.refused or answer.reason:
        _place_none(answer)
    return answer


def _judge(
    state: EntryState,
    request: Request,
    candidates: list[Candidate],
    lowest_slowness: float,
    answer: Whereabouts,
    now: float,
) -> None:
    """Notes whether a request would be refused, or has no target to wait for."""
    if request.begun:
        return
    service = request.specification.service
    zones = list_zones_if_closed(state, service, now) if state.closures.statuses else []
    if zones:
        answer.refused = True
        answer.reason = "all zones with targets of the service are closed: " + ", ".join(zones)
    elif is_unmeetable(request, lowest_slowness, now):
        answer.refused = True
        answer.reason = describe_confinement(state, request, now) or UNMEETABLE_REASON
    elif not candidates:
        answer.reason = describe_confinement(state, request, now)
        answer.reason = answer.reason or describe_missing_targets(state, service)
    if answer.refused:
        retry_at = spread_return(request.specification.request_id, now)
        answer.retry_seconds = math.ceil(retry_at - now)
    else:
        objective_seconds = request.due_at - request.received_at
        run_seconds = lowest_slowness * request.critical_path
        useful_until = request.received_at + MAX_OBJECTIVE_FACTOR * objective_seconds
        answer.refused_at = useful_until - run_seconds


def _place_none(answer: Whereabouts) -> None:
    for step in answer.steps:
        for place in step.places:
            place.task_count = 0
            place.reason = place.reason or answer.reason


def _list_steps(request: Request) -> list[tuple[int, list[Task]]]:
    """Returns the steps with tasks that are not placed, and copies of these tasks.

    Steps that wait for others have all of their tasks.
    """
    steps = []
    for number, step in enumerate(request.specification.steps):
        if number in request.pending:
            tasks = [_copy_task(task) for task in request.pending[number]]
        else:
            tasks = [Task(request=request, step=number, index=i) for i in range(step.count)]
        if tasks or request.suspects.get(number):
            steps.append((number, tasks))
    return steps


def _copy_task(task: Task) -> Task:
    copy = Task(request=task.request, step=task.step, index=task.index)
    copy.avoided_agents = task.avoided_agents
    return copy


def _locate_step(
    state: EntryState,
    request: Request,
    step_number: int,
    tasks: list[Task],
    candidates: list[Candidate],
    may_be_on_time: bool,
    now: float,
) -> StepPlaces:
    """Goes through the candidates as placement does; their free capacity is reduced."""
    step = request.specification.steps[step_number]
    route = request.specification.route
    run_times = {
        candidate.agent.name: estimate_run_time(state, step, candidate.agent, route)
        for candidate in candidates
        if not step.label or step.label in candidate.agent.profile.labels
    }
    clear_avoided(tasks, run_times.keys())
    remaining_seconds = request.due_at - now
    is_fast = min(run_times.values(), default=math.inf) <= remaining_seconds and may_be_on_time
    fast_seconds = remaining_seconds if is_fast else math.inf
    fitting = list_fitting(state, step, candidates, run_times, remaining_seconds)
    is_active = step_number in request.pending
    result = StepPlaces(
        step=step_number,
        after=() if is_active else step.after,
        task_count=len(tasks),
        suspect_count=len(request.suspects.get(step_number, ())),
        waiting_count=count_waiting(state, request, step_number) if is_active else 0,
        places=[],
        excluded=_list_excluded(state, request, step, candidates, fitting, now),
    )
    for candidate in fitting:
        seconds = run_times[candidate.agent.name]
        place = _try_place(state, step, candidate, tasks, result, seconds, fast_seconds, now)
        result.places.append(place)
        if place.task_count and not place.near and not result.waiting_count:
            result.may_wait |= _has_busy_near(state, step, candidates, run_times, seconds)
    return result


def _try_place(
    state: EntryState,
    step: Step,
    candidate: Candidate,
    tasks: list[Task],
    result: StepPlaces,
    seconds: float,
    fast_seconds: float,
    now: float,
) -> Place:
    agent = candidate.agent
    near = is_near(step, agent)
    place = Place(
        agent=agent.name,
        zone=agent.profile.zone,
        near=near,
        run_seconds=seconds,
        cpu=candidate.cpu,
        load_age=now - agent.last_frame_at,
    )
    far_by_rack = can_wait(state, step) and not near
    if not tasks:
        place.reason = "no task is left"
        return place
    if seconds > fast_seconds and not far_by_rack:
        place.reason = "too slow to be on time"
        return place
    chosen = choose_tasks(state, tasks, step, candidate, now)
    if not chosen:
        place.reason = _explain_no_choice(step, candidate)
    elif far_by_rack:
        chosen = chosen[: max(0, len(tasks) - result.waiting_count)]
        place.reason = "" if chosen else "the tasks wait for a near place"
    place.task_count = len(chosen)
    for task in chosen:
        tasks.remove(task)
    candidate.cpu -= step.cpu * len(chosen)
    candidate.memory_mb -= step.memory_mb * len(chosen)
    candidate.gpus -= step.gpus * len(chosen)
    return place


def _explain_no_choice(step: Step, candidate: Candidate) -> str:
    """Returns why no task is chosen for a candidate that has enough CPU for one."""
    if step.memory_mb > candidate.memory_mb:
        return f"no room: {candidate.memory_mb} of {step.memory_mb} MB are free"
    if step.gpus > candidate.gpus:
        return f"no room: {candidate.gpus} of {step.gpus} GPUs are free"
    if step.per_target:
        return f"it may have {step.per_target} of the step, or the tasks avoid it"
    return "the tasks avoid it, or are bound to another target"


def _has_busy_near(
    state: EntryState,
    step: Step,
    candidates: list[Candidate],
    run_times: dict[str, float],
    far_seconds: float,
) -> bool:
    return can_wait(state, step) and any(
        is_near(step, candidate.agent)
        and candidate.cpu < step.cpu
        and run_times.get(candidate.agent.name, far_seconds) < far_seconds
        for candidate in candidates
    )


def _list_excluded(
    state: EntryState,
    request: Request,
    step: Step,
    candidates: list[Candidate],
    fitting: list[Candidate],
    now: float,
) -> list[Exclusion]:
    """Returns the agents of the service that aren't among the fitting candidates, and why."""
    service = request.specification.service
    by_name = {candidate.agent.name: candidate for candidate in candidates}
    fitting_names = {candidate.agent.name for candidate in fitting}
    return [
        Exclusion(
            agent=agent.name,
            reason=_explain_exclusion(state, step, agent, by_name.get(agent.name), now),
            load_age=now - agent.last_frame_at if agent.load is not None else math.inf,
        )
        for agent in state.agents.values()
        if agent.name not in fitting_names and _may_serve(agent, service)
    ]


def _may_serve(agent: Agent, service: str) -> bool:
    known = agent.profile.service if agent.profile is not None else agent.service
    return known in ("", service)


def _explain_exclusion(
    state: EntryState, step: Step, agent: Agent, candidate: Candidate | None, now: float
) -> str:
    if candidate is not None:
        if step.label and step.label not in agent.profile.labels:
            return f"it hasn't the label {step.label}"
        return f"no room: {candidate.cpu} of {step.cpu} thousandths of a core are free"
    if not agent.connected:
        return "no link"
    if not agent.handshake_done or agent.profile is None:
        return "nothing was heard of it yet"
    if not is_current(agent, now):
        return "its news is out of date"
    if agent.is_withheld:
        return "its link is given back"
    if is_in_closed_zone(state, agent):
        return f"the zone {agent.profile.zone} is closed"
    if not agent.load.accepting:
        return "it accepts no work: it drains, is suspended, or has no runner"
    if not agent.profile.service:
        return "it has no runner"
    return "kept apart, as requests of a route crash their targets"
