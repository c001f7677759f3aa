"""Waits of tasks for places near their data, at an entry: gathers what is known, and records them.

Whether a wait pays is decided in `comfreysill.waits`. Waiting keeps no room idle: a task that waits
passes over slower places, which remain free for others.
"""

import statistics
import zlib

from comfreysill.placement.orders import Candidate
from comfreysill.placement.run_times import is_near
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.request.request import Request
from comfreysill.request.types import Step, compute_later_path
from comfreysill.waits.decision import Decision, Prospect
from comfreysill.waits.forecast import KnownRun, TargetUse, forecast_waits
from comfreysill.waits.ledger import NearWait, close_wait, get_ratio, list_ahead

_SPREADS = 1024
# Declared run times may be 0.
MIN_RUN_SECONDS = 0.001
# Declared run times are off by up to this factor as a rule.
MAX_DECLARED_FACTOR = 2.0


def can_wait(state: EntryState, step: Step) -> bool:
    """Returns whether tasks of a step run faster near their data."""
    return bool(step.rack) and state.remote_factor > 1


def count_waiting(state: EntryState, request: Request, step_number: int) -> int:
    """Returns the number of pending tasks of a step that wait for a near place."""
    wait = state.waits.waits.get((request.specification.request_id, step_number))
    if wait is None or wait.closed:
        return 0
    return min(wait.count, len(request.pending[step_number]))


def limit_far_tasks(
    state: EntryState,
    request: Request,
    step_number: int,
    far_seconds: float,
    run_times: dict[str, float],
    candidates: list[Candidate],
    now: float,
) -> int:
    """Returns how many pending tasks of a step may start on places far from their data.

    `far_seconds` is the expected run time on the best far place with room, `run_times` has that of
    each agent that may run the step. Near candidates with room were tried before.
    """
    pending = len(request.pending[step_number])
    step = request.specification.steps[step_number]
    near = [
        candidate
        for candidate in candidates
        if is_near(step, candidate.agent)
        and candidate.cpu < step.cpu
        and run_times.get(candidate.agent.name, far_seconds) < far_seconds
    ]
    wait = state.waits.waits.get((request.specification.request_id, step_number))
    if wait is not None and not wait.closed:
        if now < wait.ends_at and near:
            return max(0, pending - wait.count)
        reason = "its time is over" if near else "no target is near"
        _end_wait(state, request, step_number, reason, now)
    # A task that has waited starts anywhere as long as it can be on time.
    can_be_on_time = now + far_seconds <= request.due_at
    if not near or (wait is not None and can_be_on_time):
        return pending
    wait = _decide(state, request, step_number, far_seconds, run_times, near, candidates, now)
    return pending if wait is None else max(0, pending - wait.count)


def record_place(
    state: EntryState,
    request: Request,
    step_number: int,
    candidate: Candidate,
    task_count: int,
    seconds: float,
    now: float,
) -> None:
    """Counts tasks placed near or far from their data; a wait has paid once all of it is near."""
    step = request.specification.steps[step_number]
    if not is_near(step, candidate.agent):
        count(state, "tasks_placed_far", task_count)
        count(state, "far_core_milliseconds", round(task_count * step.cpu * seconds))
        return
    count(state, "tasks_placed_near", task_count)
    wait = state.waits.waits.get((request.specification.request_id, step_number))
    if wait is None or wait.closed:
        return
    wait.count -= task_count
    if wait.count <= 0:
        _end_wait(state, request, step_number, "", now)


def sweep_waits(state: EntryState, now: float) -> None:
    """Forgets the waits of ended requests and done steps; precedes each placement."""
    for request_id, step_number in list(state.waits.waits):
        request = state.requests.get(request_id)
        if request is not None and request.verdict is None and request.unfinished[step_number]:
            continue
        wait = state.waits.waits.pop((request_id, step_number))
        if not wait.closed:
            _record_end(state, request_id, step_number, wait, "its request has ended", now)


def _decide(
    state: EntryState,
    request: Request,
    step_number: int,
    far_seconds: float,
    run_times: dict[str, float],
    near: list[Candidate],
    candidates: list[Candidate],
    now: float,
) -> NearWait | None:
    """Opens a wait if it pays."""
    step = request.specification.steps[step_number]
    ratio = get_ratio(state.waits, step.rack, request.specification.priority, now)
    forecast = _forecast(state, request, step_number, run_times, near, now)
    near_times = [run_times[candidate.agent.name] for candidate in near]
    declared_seconds = request.specification.stretch * request.critical_path
    slowness = _measure_slowness(candidates)
    # Where declared run times are off as a rule, the true objective is off as much.
    correction = (slowness - 1) * declared_seconds
    later_seconds = slowness * compute_later_path(request.specification.steps, step_number)
    prospect = Prospect(
        pending=len(request.pending[step_number]),
        near_waits=[seconds * ratio for seconds in forecast],
        near_seconds=max(sum(near_times) / len(near_times), MIN_RUN_SECONDS),
        far_seconds=far_seconds,
        task_count=step.count,
        others_end_in=_expect_others_end(request, step_number, now),
        remaining_seconds=request.due_at - now + correction - later_seconds,
        objective_seconds=request.due_at - request.received_at + correction,
        declared_seconds=declared_seconds + correction - later_seconds,
        used_share=_measure_use(candidates, step),
        spread=zlib.crc32(request.specification.request_id.encode()) % _SPREADS / _SPREADS,
    )
    decision = state.waits.choose(prospect)
    if not decision.count:
        return None
    wait = _open_wait(state, request, step_number, decision, forecast, now)
    _note_wait(state, request, step_number, wait, prospect, ratio)
    return wait


def _open_wait(
    state: EntryState,
    request: Request,
    step_number: int,
    decision: Decision,
    forecast: list[float],
    now: float,
) -> NearWait:
    step = request.specification.steps[step_number]
    wait = NearWait(
        rack=step.rack,
        count=decision.count,
        cpu=step.cpu,
        due_at=request.due_at,
        priority=request.specification.priority,
        decided_at=now,
        forecast_at=now + forecast[decision.count - 1],
        ends_at=now + decision.max_seconds,
    )
    state.waits.waits[request.specification.request_id, step_number] = wait
    return wait


def _forecast(
    state: EntryState,
    request: Request,
    step_number: int,
    run_times: dict[str, float],
    near: list[Candidate],
    now: float,
) -> list[float]:
    """Returns the expected waits of the pending tasks of a step for near places."""
    step = request.specification.steps[step_number]
    task_cpu = max(1, step.cpu)
    priority = request.specification.priority
    waits = list_ahead(state.waits, step.rack, priority, request.due_at)
    ahead_cpu = sum(wait.count * wait.cpu for wait in waits)
    targets = [_describe_use(candidate, run_times[candidate.agent.name]) for candidate in near]
    pending = len(request.pending[step_number])
    return forecast_waits(targets, task_cpu, ahead_cpu // task_cpu, pending, now)


def _describe_use(candidate: Candidate, task_seconds: float) -> TargetUse:
    runs = [
        KnownRun(
            cpu=task.request.specification.steps[task.step].cpu,
            started_at=task.placed_at,
            ends_at=task.expected_end,
        )
        for task in candidate.agent.tasks.values()
    ]
    known_cpu = sum(run.cpu for run in runs)
    used_cpu = candidate.agent.profile.cpu - candidate.cpu
    return TargetUse(
        free_cpu=candidate.cpu,
        runs=runs,
        other_cpu=max(0, used_cpu - known_cpu),
        task_seconds=task_seconds,
    )


def _expect_others_end(request: Request, step_number: int, now: float) -> float:
    """Returns in how many seconds the tasks of a step that run should end, 0 if none runs."""
    ends = [task.expected_end for task in request.placed.values() if task.step == step_number]
    return max(0.0, max(ends, default=now) - now)


def _measure_slowness(candidates: list[Candidate]) -> float:
    """Returns the median slowness of the targets, within what declared run times may be off."""
    slowness = statistics.median(candidate.agent.load.slowness for candidate in candidates)
    return min(max(slowness, 1 / MAX_DECLARED_FACTOR), MAX_DECLARED_FACTOR)


def _measure_use(candidates: list[Candidate], step: Step) -> float:
    """Returns the share of the CPU of the targets far from the data that is in use."""
    far = [candidate for candidate in candidates if not is_near(step, candidate.agent)]
    capacity = sum(candidate.agent.profile.cpu for candidate in far)
    free = sum(max(0, candidate.cpu) for candidate in far)
    return 1 - free / capacity if capacity else 1.0


def _note_wait(
    state: EntryState,
    request: Request,
    step_number: int,
    wait: NearWait,
    prospect: Prospect,
    ratio: float,
) -> None:
    count(state, "waits_begun")
    note_event(
        state,
        "wait for a near place",
        request=request.specification.request_id,
        step=step_number,
        rack=wait.rack,
        tasks=wait.count,
        pending=prospect.pending,
        forecast=round(wait.forecast_at - wait.decided_at, 3),
        ratio=round(ratio, 2),
        near=round(prospect.near_seconds, 3),
        far=round(prospect.far_seconds, 3),
        due_in=round(prospect.remaining_seconds, 3),
        used=round(prospect.used_share, 2),
        ends_in=round(wait.ends_at - wait.decided_at, 3),
    )


def _end_wait(
    state: EntryState, request: Request, step_number: int, reason: str, now: float
) -> None:
    request_id = request.specification.request_id
    wait = state.waits.waits[request_id, step_number]
    _record_end(state, request_id, step_number, wait, reason, now)


def _record_end(
    state: EntryState, request_id: str, step_number: int, wait: NearWait, reason: str, now: float
) -> None:
    """Closes a wait; an empty reason says that it has paid."""
    close_wait(state.waits, wait, not reason, now)
    count(state, "waits_unpaid" if reason else "waits_paid")
    note_event(
        state,
        "wait for a near place ended",
        request=request_id,
        step=step_number,
        rack=wait.rack,
        paid=not reason,
        why=reason or "room became free",
        waited=round(now - wait.decided_at, 3),
        forecast=round(wait.forecast_at - wait.decided_at, 3),
    )
