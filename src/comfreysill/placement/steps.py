"""Choice of targets for the tasks of one step."""

import math
from collections.abc import Set

from comfreysill.placement.bindings import is_bound_to, may_place
from comfreysill.placement.orders import Candidate, place_tasks
from comfreysill.placement.queue import LATE
from comfreysill.placement.run_times import estimate_run_time, is_near
from comfreysill.placement.state import EntryState
from comfreysill.placement.waits import can_wait, limit_far_tasks, record_place
from comfreysill.request.request import Request, Task
from comfreysill.request.types import Step

# Run times within one speed band count as equal; a band spans this factor.
SPEED_BAND_FACTOR = 1.3


def place_step(
    state: EntryState,
    request: Request,
    step_number: int,
    candidates: list[Candidate],
    queue_band: int,
    now: float,
) -> None:
    """Places pending tasks of a step on the best of the candidates that have room."""
    tasks = request.pending[step_number]
    step = request.specification.steps[step_number]
    route = request.specification.route
    run_times = {
        candidate.agent.name: estimate_run_time(state, step, candidate.agent, route)
        for candidate in candidates
        if not step.label or step.label in candidate.agent.profile.labels
    }
    if not run_times:
        return
    clear_avoided(tasks, run_times.keys())
    remaining_seconds = request.due_at - now
    can_be_on_time = min(run_times.values()) <= remaining_seconds and queue_band != LATE
    eligible = list_fitting(state, step, candidates, run_times, remaining_seconds)
    # The remaining tasks wait for free capacity on a target that is fast enough.
    fast_seconds = remaining_seconds if can_be_on_time else math.inf
    if can_wait(state, step):
        _place_by_rack(
            state, request, step_number, eligible, candidates, run_times, fast_seconds, now
        )
        return
    for candidate in eligible:
        if run_times[candidate.agent.name] > fast_seconds:
            return
        chosen = choose_tasks(state, tasks, step, candidate, now)
        if chosen:
            place_tasks(state, request, step, candidate, chosen, now)
        if not tasks:
            return


def _place_by_rack(
    state: EntryState,
    request: Request,
    step_number: int,
    eligible: list[Candidate],
    candidates: list[Candidate],
    run_times: dict[str, float],
    fast_seconds: float,
    now: float,
) -> None:
    """Places tasks that run faster near their data.

    Those for which the wait for a near place pays pass over the places far away.
    """
    tasks = request.pending[step_number]
    step = request.specification.steps[step_number]
    far_limit: int | None = None
    for candidate in eligible:
        seconds = run_times[candidate.agent.name]
        is_far = not is_near(step, candidate.agent)
        if not is_far and seconds > fast_seconds:
            continue
        if is_far and far_limit is None:
            far_limit = limit_far_tasks(
                state, request, step_number, seconds, run_times, candidates, now
            )
        if is_far and not far_limit:
            continue
        chosen = choose_tasks(state, tasks, step, candidate, now)
        if is_far:
            chosen = chosen[:far_limit]
            far_limit -= len(chosen)
        if chosen:
            place_tasks(state, request, step, candidate, chosen, now)
            record_place(state, request, step_number, candidate, len(chosen), seconds, now)
        if not tasks:
            return


def list_fitting(
    state: EntryState,
    step: Step,
    candidates: list[Candidate],
    run_times: dict[str, float],
    remaining_seconds: float,
) -> list[Candidate]:
    """Returns the candidates that have room for a task and may run it, the best first."""
    fitting = [
        candidate
        for candidate in candidates
        if candidate.agent.name in run_times and candidate.cpu >= step.cpu
    ]
    fitting.sort(
        key=lambda candidate: _rank_candidate(
            state, candidate, run_times[candidate.agent.name], remaining_seconds
        )
    )
    return fitting


def clear_avoided(tasks: list[Task], eligible_agents: Set[str]) -> None:
    """Clears the avoided agents of tasks for which every eligible agent is avoided."""
    for task in tasks:
        if task.avoided_agents and eligible_agents <= set(task.avoided_agents):
            task.avoided_agents = ()


def _rank_candidate(
    state: EntryState, candidate: Candidate, run_time: float, remaining_seconds: float
) -> tuple:
    """Returns the sort key of a candidate; the lowest is preferred.

    In order: on time, speed band, same availability zone, most free CPU. Within a speed band an
    entry prefers its own zone, so entries of different zones rarely choose the same target at once.
    """
    speed_band = round(math.log(max(run_time, 1e-3), SPEED_BAND_FACTOR))
    return (
        run_time > remaining_seconds,
        speed_band,
        candidate.agent.profile.zone != state.zone,
        -candidate.cpu,
    )


def choose_tasks(
    state: EntryState, tasks: list[Task], step: Step, candidate: Candidate, now: float
) -> list[Task]:
    """Returns as many of the tasks as fit on the candidate, without those that avoid it.

    Tasks that are bound to a target start there though they avoid it, and nowhere else.
    """
    fit_count = candidate.cpu // step.cpu if step.cpu else len(tasks)
    if step.memory_mb:
        fit_count = min(fit_count, candidate.memory_mb // step.memory_mb)
    if step.gpus:
        fit_count = min(fit_count, candidate.gpus // step.gpus)
    if step.per_target:
        step_key = (tasks[0].request, tasks[0].step)
        placed_count = sum(
            (task.request, task.step) == step_key for task in candidate.agent.tasks.values()
        )
        fit_count = min(fit_count, step.per_target - placed_count)
    name = candidate.agent.name
    allowed = [
        task
        for task in tasks
        if may_place(state, task.name, name, now)
        and (name not in task.avoided_agents or is_bound_to(state, task.name, name, now))
    ]
    return allowed[: max(0, fit_count)]
