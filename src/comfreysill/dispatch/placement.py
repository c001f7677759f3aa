"""Placement of the tasks of a job on targets by expected finish."""

import heapq
from collections.abc import Callable, Iterable

from comfreysill.target.view import Target, count_busy

TaskLimit = Callable[[Target], int]
PlacementPolicy = Callable[[Iterable[Target], int, float, TaskLimit], list[tuple[Target, int]]]


def place_by_finish(
    targets: Iterable[Target], count: int, estimate: float, find_task_limit: TaskLimit
) -> list[tuple[Target, int]]:
    """Places tasks on the targets with the earliest expected finish.

    Args:
        targets: Targets that may run the tasks.
        count: Number of tasks to place.
        estimate: Expected run time of one task in seconds on an average target.
        find_task_limit: Returns how many more tasks may be placed on a target; none at 0 or less.

    Returns:
        Pairs of a target and its number of tasks; tasks that don't fit stay queued.
    """
    heap = []
    for position, target in enumerate(targets):
        free = find_task_limit(target)
        if free > 0:
            busy = count_busy(target)
            finish = _estimate_finish(target, busy, estimate)
            heapq.heappush(heap, (finish, position, target, busy, free))
    assigned: dict[str, int] = {}
    chosen: list[Target] = []
    while heap and count > 0:
        _, position, target, busy, free = heapq.heappop(heap)
        if target.name not in assigned:
            assigned[target.name] = 0
            chosen.append(target)
        assigned[target.name] += 1
        count -= 1
        if free > 1:
            finish = _estimate_finish(target, busy + 1, estimate)
            heapq.heappush(heap, (finish, position, target, busy + 1, free - 1))
    return [(target, assigned[target.name]) for target in chosen]


def _estimate_finish(target: Target, busy: int, estimate: float) -> float:
    slots = max(1, target.load.slots)
    # Consecutive failures make a target less preferred.
    run_time = estimate * target.slowness * (1 + target.failures)
    if busy < slots:
        return run_time
    return run_time * (1 + (busy - slots + 1) / slots)
