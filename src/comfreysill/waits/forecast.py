"""Forecast of when targets have room for tasks, from the runs that are known to be on them."""

import heapq

# Part of its run time for which a run that should have ended is expected to go on.
OVERDUE_SHARE = 0.25
# Runs of others on a target are forecast as at most so many.
MAX_OTHER_RUNS = 64
# Tasks beyond this many before a task are left out: its wait is too long in any case.
MAX_AHEAD = 1_000


class KnownRun:
    """A run on a target that this process has placed there.

    Attributes:
        cpu: CPU that it frees, in thousandths of a core.
        started_at: Boot-clock time in seconds at which it was placed.
        ends_at: Boot-clock time in seconds at which it is expected to end.
    """

    __slots__ = ("cpu", "started_at", "ends_at")

    def __init__(self, *, cpu: int, started_at: float, ends_at: float) -> None:
        self.cpu = cpu
        self.started_at = started_at
        self.ends_at = ends_at


class TargetUse:
    """Use of one target.

    Attributes:
        free_cpu: Free CPU in thousandths of a core; negative if runs wait for room there.
        runs: The runs that are known.
        other_cpu: CPU used by runs of others, in thousandths of a core.
        task_seconds: Expected run time in seconds of a task there.
    """

    __slots__ = ("free_cpu", "runs", "other_cpu", "task_seconds")

    def __init__(
        self, *, free_cpu: int, runs: list[KnownRun], other_cpu: int, task_seconds: float
    ) -> None:
        self.free_cpu = free_cpu
        self.runs = runs
        self.other_cpu = other_cpu
        self.task_seconds = task_seconds


def forecast_waits(
    targets: list[TargetUse], task_cpu: int, ahead: int, count: int, now: float
) -> list[float]:
    """Returns the expected waits in seconds of the next tasks for room on some targets.

    Each task occupies its room for the run time there, then the next one in the queue starts.

    Args:
        targets: The targets.
        task_cpu: CPU of each task in thousandths of a core.
        ahead: Number of such tasks that are served before.
        count: Number of the tasks.
        now: Boot-clock time in seconds.

    Returns:
        A wait for each task in order; fewer than `count` if the targets are too small for any.
    """
    if ahead > MAX_AHEAD:
        return []
    slots = [
        (seconds, number)
        for number, target in enumerate(targets)
        for seconds in _list_slots(target, task_cpu, ahead + count, now)
    ]
    heapq.heapify(slots)
    waits: list[float] = []
    while slots and len(waits) < ahead + count:
        seconds, number = slots[0]
        waits.append(seconds)
        heapq.heapreplace(slots, (seconds + targets[number].task_seconds, number))
    return waits[ahead:]


def _list_slots(target: TargetUse, task_cpu: int, limit: int, now: float) -> list[float]:
    """Returns after how many seconds a target has room for one more task each, `limit` at most."""
    slots: list[float] = []
    free = target.free_cpu
    for seconds, cpu in [(0.0, 0), *sorted(_list_releases(target, task_cpu, now))]:
        free += cpu
        while free >= task_cpu and len(slots) < limit:
            slots.append(seconds)
            free -= task_cpu
    return slots


def _list_releases(target: TargetUse, task_cpu: int, now: float) -> list[tuple[float, int]]:
    """Returns the expected ends of the runs on a target: seconds from now, and CPU.

    Of the runs of others only their room is known. They count as tasks of the same kind that have
    begun at even distances.
    """
    releases = [(_expect_remaining(run, now), run.cpu) for run in target.runs]
    others = min(-(-target.other_cpu // task_cpu), MAX_OTHER_RUNS)
    share_cpu = max(task_cpu, -(-target.other_cpu // max(1, others)))
    remaining_cpu = target.other_cpu
    for number in range(others):
        cpu = min(share_cpu, remaining_cpu)
        remaining_cpu -= cpu
        releases.append((target.task_seconds * (number + 1) / (others + 1), cpu))
    return releases


def _expect_remaining(run: KnownRun, now: float) -> float:
    return max(run.ends_at - now, OVERDUE_SHARE * (now - run.started_at), 0.0)
