"""Choice of targets for the tasks of a job."""

import heapq
from collections.abc import Callable, Iterable

from comfreysill.target.view import Target, count_busy

Room = Callable[[Target], int]
PlacementPolicy = Callable[[Iterable[Target], int, float, Room], list[tuple[Target, int]]]


def place_by_finish(
    targets: Iterable[Target], count: int, estimate: float, find_room: Room
) -> list[tuple[Target, int]]:
    """Places tasks where they are expected to finish first.

    Args:
        targets: Targets that may run the tasks.
        count: How many tasks there are.
        estimate: Expected run time of one task in seconds on an average target.
        find_room: Returns how many of the tasks a target may take.

    Returns:
        Pairs of a target and how many of the tasks it gets; the rest stays queued.
    """
    heap = []
    for order, target in enumerate(targets):
        free = find_room(target)
        if free > 0:
            busy = count_busy(target)
            finish = _expect_finish(target, busy, estimate)
            heapq.heappush(heap, (finish, order, target, busy, free))
    taken: dict[str, int] = {}
    chosen: list[Target] = []
    while heap and count > 0:
        _, order, target, busy, free = heapq.heappop(heap)
        if target.name not in taken:
            taken[target.name] = 0
            chosen.append(target)
        taken[target.name] += 1
        count -= 1
        if free > 1:
            finish = _expect_finish(target, busy + 1, estimate)
            heapq.heappush(heap, (finish, order, target, busy + 1, free - 1))
    return [(target, taken[target.name]) for target in chosen]


def _expect_finish(target: Target, busy: int, estimate: float) -> float:
    slots = max(1, target.load.slots)
    run_time = estimate * target.slowness * (1 + target.failures)
    if busy < slots:
        return run_time
    return run_time * (1 + (busy - slots + 1) / slots)
