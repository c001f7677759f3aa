"""Decision between waiting for a place near the data and starting at once on a slower one.

The value of a request is 1 if it ends on time, less if it is late, and 0 if it is too late to be of
use. Room that a task takes is counted against it as far as others miss it: on slower places by the
share of them that is in use, near the data by the wait for it. It counts at the request's own value
for the same room.
"""

# Value of a late answer, as a share of that of one on time.
LATE_VALUE = 0.2
# An answer later than this multiple of the latency objective is of no use to the caller.
MAX_OBJECTIVE_FACTOR = 3.0
# Value lost for each latency objective for which a caller waits.
TIME_VALUE = 0.05
# Declared run times, learned speeds and expected waits are off by these shares of them.
DECLARED_ERROR = 0.4
SPEED_ERROR = 0.2
WAIT_ERROR = 0.35
# Room that is used beyond this share may be missed by others, in proportion to its square: requests
# come in bursts of tasks. All of it is once nothing is free.
CONTENDED_SHARE = 0.1
# A wait ends at the latest after this multiple of the expected one, and this time.
MAX_WAIT_FACTOR = 2.0
WAIT_SLACK_SECONDS = 0.05


class Prospect:
    """What is known about the pending tasks of a step that may wait for a near place.

    Attributes:
        pending: Number of the pending tasks.
        near_waits: Expected wait in seconds of each of them, if it and those before it wait; fewer
            if only so many can ever run near.
        near_seconds: Expected run time in seconds near the data.
        far_seconds: Expected run time in seconds on the best other place that has room.
        task_count: Number of tasks of the step.
        others_end_in: Seconds until the expected end of the tasks of the step that run.
        remaining_seconds: Seconds until the latency objective; negative if it has passed.
        objective_seconds: The latency objective in seconds.
        declared_seconds: Part of it that is a multiple of the declared run time. The true objective
            is the same multiple of the true run time, so that errors of both cancel out partly.
        used_share: Share of the CPU of the usable targets that is in use.
        spread: Number from 0 to 1, evenly distributed over requests, to draw the wait's end.
    """

    __slots__ = (
        "pending",
        "near_waits",
        "near_seconds",
        "far_seconds",
        "task_count",
        "others_end_in",
        "remaining_seconds",
        "objective_seconds",
        "declared_seconds",
        "used_share",
        "spread",
    )

    def __init__(
        self,
        *,
        pending: int,
        near_waits: list[float],
        near_seconds: float,
        far_seconds: float,
        task_count: int,
        others_end_in: float,
        remaining_seconds: float,
        objective_seconds: float,
        declared_seconds: float,
        used_share: float,
        spread: float,
    ) -> None:
        self.pending = pending
        self.near_waits = near_waits
        self.near_seconds = near_seconds
        self.far_seconds = far_seconds
        self.task_count = task_count
        self.others_end_in = others_end_in
        self.remaining_seconds = remaining_seconds
        self.objective_seconds = objective_seconds
        self.declared_seconds = declared_seconds
        self.used_share = used_share
        self.spread = spread


class Decision:
    """How many tasks wait, and for how long at the most.

    Attributes:
        count: Number of tasks that wait; the others start on slower places.
        max_seconds: Seconds after which those that still wait may start anywhere.
    """

    __slots__ = ("count", "max_seconds")

    def __init__(self, *, count: int, max_seconds: float) -> None:
        self.count = count
        self.max_seconds = max_seconds


NO_WAIT = Decision(count=0, max_seconds=0.0)


def choose_wait(prospect: Prospect) -> Decision:
    """Returns how many tasks wait: the number with the highest expected value."""
    counts = range(len(prospect.near_waits) + 1)
    values = [_value_split(prospect, count) for count in counts]
    best = max(counts, key=lambda count: values[count])
    if not best:
        return NO_WAIT
    return Decision(count=best, max_seconds=limit_wait(prospect, prospect.near_waits[best - 1]))


def _value_split(prospect: Prospect, waiting: int) -> float:
    """Returns the expected value if some of the pending tasks wait and the others start far.

    The longer the wait for near room is, the more others wait for it as well.
    """
    far_count = prospect.pending - waiting
    value = _value_end(prospect, prospect.others_end_in, 0.0)
    near_room = 0.0
    if waiting:
        wait = prospect.near_waits[waiting - 1]
        error = _estimate_error(prospect, prospect.near_seconds) + WAIT_ERROR * wait
        value = min(value, _value_end(prospect, wait + prospect.near_seconds, error))
        near_room = min(1.0, wait / prospect.near_seconds) * waiting / prospect.task_count
    if far_count:
        error = _estimate_error(prospect, prospect.far_seconds)
        value = min(value, _value_end(prospect, prospect.far_seconds, error))
    return value * (1 - near_room) - _value_far_room(prospect, far_count)


def _value_end(prospect: Prospect, seconds: float, error: float) -> float:
    """Returns the value of an answer that is expected in some seconds, give or take an error."""
    on_time = _estimate_chance(prospect.remaining_seconds, seconds, error)
    useful_seconds = (
        prospect.remaining_seconds + (MAX_OBJECTIVE_FACTOR - 1) * prospect.objective_seconds
    )
    useful = _estimate_chance(useful_seconds, seconds, error)
    time_cost = TIME_VALUE * seconds / max(prospect.objective_seconds, 1e-3)
    return (1 - LATE_VALUE) * on_time + LATE_VALUE * useful - time_cost


def _estimate_error(prospect: Prospect, run_seconds: float) -> float:
    """Returns by how many seconds the time from a run's end to the objective may be off."""
    declared_error = DECLARED_ERROR * abs(prospect.declared_seconds - run_seconds)
    return declared_error + SPEED_ERROR * run_seconds


def _estimate_chance(limit_seconds: float, seconds: float, error: float) -> float:
    """Returns the probability of an end within a limit, for ends evenly spread over the error."""
    margin = limit_seconds - seconds
    if not error:
        return 1.0 if margin >= 0 else 0.0
    return min(1.0, max(0.0, 0.5 + margin / (2 * error)))


def _value_far_room(prospect: Prospect, far_count: int) -> float:
    """Returns what others lose by the room that tasks take on slower places."""
    missed = (max(0.0, prospect.used_share - CONTENDED_SHARE) / (1 - CONTENDED_SHARE)) ** 2
    factor = prospect.far_seconds / prospect.near_seconds
    return factor * missed * far_count / prospect.task_count


def limit_wait(prospect: Prospect, expected_wait: float) -> float:
    """Returns the seconds after which a wait ends that is expected to take some time.

    While a far start could be on time, the wait ends before it couldn't any more; else it may last
    until a near start couldn't be on time either. Ends are drawn over the second half of what is
    left, so that tasks that have waited together don't all start far at the same moment.
    """
    longest = MAX_WAIT_FACTOR * expected_wait + WAIT_SLACK_SECONDS
    far_slack = prospect.remaining_seconds - prospect.far_seconds
    near_slack = prospect.remaining_seconds - prospect.near_seconds
    if far_slack >= expected_wait:
        longest = min(longest, far_slack)
    elif near_slack >= expected_wait:
        longest = near_slack
    return expected_wait + (longest - expected_wait) * (0.5 + 0.5 * prospect.spread)
