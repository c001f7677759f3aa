"""Run times learned from finished tasks, by service, team and class."""

import math

from comfreysill.job.job import Job
from comfreysill.job.types import Submission

SMOOTHING = 0.05
MIN_RUN_TIME_SECONDS = 0.001


class Group:
    """Learned run times of the tasks of one service, team and class.

    Attributes:
        count: How many tasks were learned from.
        mean: Mean run time in seconds on an average target.
        ratio: Mean ratio of measured to declared run time.
        declared_error: Mean error of estimates from declared times, as a logarithm.
        mean_error: Mean error of estimates from the mean, as a logarithm.
    """

    __slots__ = ("count", "mean", "ratio", "declared_error", "mean_error")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.ratio = 1.0
        self.declared_error = 0.0
        self.mean_error = 0.0


class RunTimeEstimates:
    """Groups by service, team and class."""

    __slots__ = ("groups",)

    def __init__(self) -> None:
        self.groups: dict[tuple[str, str, int], Group] = {}


def estimate_task(estimates: RunTimeEstimates, submission: Submission, index: int) -> float:
    """Returns the expected run time of a task in seconds on an average target.

    The declared time counts, scaled by what was learned, unless the mean of the group has
    foretold run times better.
    """
    declared = max(submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    group = estimates.groups.get(_name_group(submission))
    if group is None:
        return declared
    if group.mean_error < group.declared_error:
        return group.mean
    return declared * group.ratio


def estimate_lower_bound(estimates: RunTimeEstimates, submission: Submission, index: int) -> float:
    """Returns the lower one of all estimates of a task in seconds on an average target."""
    declared = max(submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    group = estimates.groups.get(_name_group(submission))
    if group is None:
        return declared
    return min(declared, declared * group.ratio, group.mean)


def estimate_ideal_response_time(estimates: RunTimeEstimates, job: Job, slots: int) -> float:
    """Returns the expected response time in seconds of a job on an empty floor.

    It is the longest task, or the work of all shared by the slots, whichever takes longer.
    """
    times = [estimate_task(estimates, job.submission, index) for index in job.pending]
    return max(max(times), sum(times) / max(1, slots)) if times else 0.0


def find_mean_run_time(estimates: RunTimeEstimates, submission: Submission) -> float | None:
    """Returns the mean run time of a job's group on an average target, None before any task."""
    group = estimates.groups.get(_name_group(submission))
    return group.mean if group is not None else None


def learn_run_time(
    estimates: RunTimeEstimates, submission: Submission, index: int, normal_seconds: float
) -> None:
    """Takes the run time of a finished task, normalised to an average target."""
    declared = max(submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    seconds = max(normal_seconds, MIN_RUN_TIME_SECONDS)
    group = estimates.groups.setdefault(_name_group(submission), Group())
    group.count += 1
    share = max(SMOOTHING, 1 / group.count)
    if group.count > 1:
        by_declared = abs(math.log(seconds / (declared * group.ratio)))
        by_mean = abs(math.log(seconds / group.mean))
        group.declared_error += share * (by_declared - group.declared_error)
        group.mean_error += share * (by_mean - group.mean_error)
    group.mean += share * (seconds - group.mean)
    group.ratio += share * (seconds / declared - group.ratio)


def _name_group(submission: Submission) -> tuple[str, str, int]:
    return submission.service, submission.key.team, submission.task_class
