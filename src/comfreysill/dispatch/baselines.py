"""Baseline placement policies for comparison: random, round robin and least loaded."""

from collections.abc import Callable, Iterable

from comfreysill.dispatch.placement import PlacementPolicy, TaskLimit, place_by_finish
from comfreysill.target.view import Target, count_busy

RandomSource = Callable[[], float]
TargetSelector = Callable[[list[Target]], Target]


def choose_placement(name: str, draw: RandomSource) -> PlacementPolicy:
    """Returns a placement policy by its name.

    Args:
        name: `finish`, `random`, `round-robin` or `least-loaded`; any other name means
            `finish`.
        draw: Returns random numbers in [0, 1).
    """
    if name == "random":
        return _build_sequential_policy(lambda free: free[int(draw() * len(free))])
    if name == "least-loaded":
        return _build_sequential_policy(lambda free: min(free, key=_get_busy_share))
    if name == "round-robin":
        return _build_sequential_policy(_build_round_robin())
    return place_by_finish


def _build_sequential_policy(choose: TargetSelector) -> PlacementPolicy:
    def place(
        targets: Iterable[Target], count: int, estimate: float, find_task_limit: TaskLimit
    ) -> list[tuple[Target, int]]:
        remaining = {target.name: find_task_limit(target) for target in targets}
        by_name = {target.name: target for target in targets}
        assigned: dict[str, int] = {}
        while count > 0:
            free = [by_name[name] for name in remaining if remaining[name] > 0]
            if not free:
                break
            target = choose(free)
            remaining[target.name] -= 1
            assigned[target.name] = assigned.get(target.name, 0) + 1
            count -= 1
        return [(by_name[name], amount) for name, amount in assigned.items()]

    return place


def _build_round_robin() -> TargetSelector:
    turn = 0

    def choose(free: list[Target]) -> Target:
        nonlocal turn
        turn += 1
        return free[turn % len(free)]

    return choose


def _get_busy_share(target: Target) -> float:
    return count_busy(target) / max(1, target.load.slots)
