"""Run-time estimates, learned from finished tasks for each service, team and class."""

import math

from comfreysill.job.job import Job
from comfreysill.job.types import Submission

# Least weight of a new sample in the moving averages.
SMOOTHING_FACTOR = 0.05
MIN_RUN_TIME_SECONDS = 0.001


class RunTimeStatistics:
    """Run-time statistics of the tasks of one service, team and class.

    Attributes:
        count: Number of finished tasks in the statistics.
        mean: Moving average of the run time in seconds on an average target.
        ratio: Moving average of the ratio of measured to declared run time.
        declared_error: Moving average of the absolute log error of estimates from declared times,
            0 before the second task.
        mean_error: Moving average of the absolute log error of estimates from the mean, 0 before
            the second task.
    """

    __slots__ = ("count", "mean", "ratio", "declared_error", "mean_error")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.ratio = 1.0
        self.declared_error = 0.0
        self.mean_error = 0.0


class RunTimeEstimates:
    """Run-time statistics by service, team and class."""

    __slots__ = ("groups",)

    def __init__(self) -> None:
        self.groups: dict[tuple[str, str, int], RunTimeStatistics] = {}


def estimate_task(estimates: RunTimeEstimates, submission: Submission, index: int) -> float:
    """Returns the expected run time of a task in seconds on an average target.

    This is the declared time scaled by the measured ratio of the group, unless the mean of the
    group has predicted run times better.
    """
    declared = max(submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    group = estimates.groups.get(_build_group_key(submission))
    if group is None:
        return declared
    if group.mean_error < group.declared_error:
        return group.mean
    return declared * group.ratio


def estimate_lower_bound(estimates: RunTimeEstimates, submission: Submission, index: int) -> float:
    """Returns the lowest estimate of a task's run time in seconds on an average target."""
    declared = max(submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    group = estimates.groups.get(_build_group_key(submission))
    if group is None:
        return declared
    return min(declared, declared * group.ratio, group.mean)


def estimate_ideal_response_time(estimates: RunTimeEstimates, job: Job, slots: int) -> float:
    """Returns the response time in seconds that a job would have with all slots free.

    This is the run time of the longest pending task or the total pending work divided by the
    slots, whichever is longer; 0 without pending tasks.
    """
    times = [estimate_task(estimates, job.submission, index) for index in job.pending]
    return max(max(times), sum(times) / max(1, slots)) if times else 0.0


def find_mean_run_time(estimates: RunTimeEstimates, submission: Submission) -> float | None:
    """Returns the mean run time in seconds on an average target, or None without finished tasks."""
    group = estimates.groups.get(_build_group_key(submission))
    return group.mean if group is not None else None


def learn_run_time(
    estimates: RunTimeEstimates, submission: Submission, index: int, normalized_seconds: float
) -> None:
    """Updates the statistics with the run time of a finished task.

    Args:
        estimates: Statistics to update.
        submission: The job of the task.
        index: Position of the task in the job.
        normalized_seconds: Measured run time in seconds, normalized to an average target.
    """
    declared = max(submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    seconds = max(normalized_seconds, MIN_RUN_TIME_SECONDS)
    group = estimates.groups.setdefault(_build_group_key(submission), RunTimeStatistics())
    group.count += 1
    weight = max(SMOOTHING_FACTOR, 1 / group.count)
    if group.count > 1:
        declared_log_error = abs(math.log(seconds / (declared * group.ratio)))
        mean_log_error = abs(math.log(seconds / group.mean))
        group.declared_error += weight * (declared_log_error - group.declared_error)
        group.mean_error += weight * (mean_log_error - group.mean_error)
    group.mean += weight * (seconds - group.mean)
    group.ratio += weight * (seconds / declared - group.ratio)


def _build_group_key(submission: Submission) -> tuple[str, str, int]:
    return submission.service, submission.key.team, submission.task_class
