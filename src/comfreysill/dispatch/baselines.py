"""Simple placements to compare with: random, round robin and least loaded."""

from collections.abc import Callable, Iterable

from comfreysill.dispatch.placement import PlacementPolicy, Room, place_by_finish
from comfreysill.target.view import Target, count_busy

Draw = Callable[[], float]
Choose = Callable[[list[Target]], Target]


def choose_placement(name: str, draw: Draw) -> PlacementPolicy:
    """Returns a placement by its name.

    Args:
        name: `finish`, `random`, `round-robin` or `least-loaded`.
        draw: Returns random numbers from 0 up to 1.
    """
    if name == "random":
        return _place_one_by_one(lambda free: free[int(draw() * len(free))])
    if name == "least-loaded":
        return _place_one_by_one(lambda free: min(free, key=_get_busy_share))
    if name == "round-robin":
        return _place_one_by_one(_build_rotation())
    return place_by_finish


def _place_one_by_one(choose: Choose) -> PlacementPolicy:
    def place(
        targets: Iterable[Target], count: int, estimate: float, find_room: Room
    ) -> list[tuple[Target, int]]:
        room = {target.name: find_room(target) for target in targets}
        by_name = {target.name: target for target in targets}
        taken: dict[str, int] = {}
        while count > 0:
            free = [by_name[name] for name in room if room[name] > 0]
            if not free:
                break
            target = choose(free)
            room[target.name] -= 1
            taken[target.name] = taken.get(target.name, 0) + 1
            count -= 1
        return [(by_name[name], amount) for name, amount in taken.items()]

    return place


def _build_rotation() -> Choose:
    turn = 0

    def choose(free: list[Target]) -> Target:
        nonlocal turn
        turn += 1
        return free[turn % len(free)]

    return choose


def _get_busy_share(target: Target) -> float:
    return count_busy(target) / max(1, target.load.slots)
