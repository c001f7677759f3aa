"""Isolated placement of tasks that may have crashed a runner.

A suspect gets a target without tasks of other requests: if it crashes that runner as well, no other
caller is affected, and it is proved to be the cause. A part of the targets at most is used so.
"""

from comfreysill.crashes.ledger import is_crash_prone, is_judgement_open
from comfreysill.placement.bindings import may_place
from comfreysill.placement.orders import Candidate, place_tasks
from comfreysill.placement.state import EntryState
from comfreysill.request.request import Request, Task
from comfreysill.request.types import Step

# At most this share of the usable targets is used for isolated tasks at a time, but at least one.
MAX_ISOLATING_SHARE = 0.25


def place_suspects(
    state: EntryState, request: Request, candidates: list[Candidate], now: float
) -> None:
    """Places suspects of a request on targets of their own, as far as there are any."""
    limit = max(1, int(MAX_ISOLATING_SHARE * len(candidates)))
    for step_number, tasks in request.suspects.items():
        step = request.specification.steps[step_number]
        while tasks and sum(candidate.isolating for candidate in candidates) < limit:
            candidate = _choose_target(state, step, tasks, candidates, now)
            if candidate is None:
                break
            allowed = _list_allowed(state, tasks, candidate, now)
            fitting = allowed[: _count_fitting(step, candidate)]
            place_tasks(state, request, step, candidate, fitting, now, isolated=True)


def _choose_target(
    state: EntryState, step: Step, tasks: list[Task], candidates: list[Candidate], now: float
) -> Candidate | None:
    """Returns the target for some suspects, None if there is none.

    A target that crashes by itself would prove nothing. Of the others, one with few runs can start
    the tasks soonest: the present runs have to end first.
    """
    eligible = [
        candidate
        for candidate in candidates
        if not candidate.isolating
        and (not step.label or step.label in candidate.agent.profile.labels)
        and _count_fitting(step, candidate) > 0
        and _list_allowed(state, tasks, candidate, now)
    ]
    if not eligible:
        return None
    avoided = {name for task in tasks for name in task.avoided_agents}
    return min(eligible, key=lambda candidate: _rank_target(state, candidate, avoided))


def _list_allowed(
    state: EntryState, tasks: list[Task], candidate: Candidate, now: float
) -> list[Task]:
    return [
        task
        for task in tasks
        if may_place(state, task.name, candidate.agent.name, now)
        and not is_judgement_open(state.crashes, task.name)
    ]


def _rank_target(
    state: EntryState, candidate: Candidate, avoided: set[str]
) -> tuple[bool, bool, int]:
    """Returns the sort key of a target; the lowest is preferred."""
    name = candidate.agent.name
    used_cpu = candidate.agent.profile.cpu - candidate.cpu
    return name in avoided, is_crash_prone(state.crashes, name), used_cpu


def _count_fitting(step: Step, candidate: Candidate) -> int:
    """Returns how many tasks of a step fit on a target that is otherwise empty."""
    profile = candidate.agent.profile
    limits = [
        available // needed
        for needed, available in (
            (step.cpu, profile.cpu),
            (step.memory_mb, profile.memory_mb),
            (step.gpus, profile.gpus),
        )
        if needed
    ]
    if step.per_target:
        limits.append(step.per_target)
    return min(limits, default=step.count)
