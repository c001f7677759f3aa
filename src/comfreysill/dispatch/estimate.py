"""Run times learned from finished tasks, by service, team and class."""

from comfreysill.job.job import Job

SMOOTHING = 0.1
MIN_RUN_TIME_SECONDS = 0.001


class Estimates:
    """Ratios of measured to declared run time, on an average target."""

    __slots__ = ("ratios",)

    def __init__(self) -> None:
        self.ratios: dict[tuple[str, str, int], float] = {}


def estimate_task(estimates: Estimates, job: Job, index: int) -> float:
    """Returns the expected run time of a task in seconds on an average target."""
    declared = max(job.submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    return declared * estimates.ratios.get(_group_of(job), 1.0)


def learn_run_time(estimates: Estimates, job: Job, index: int, normal_seconds: float) -> None:
    """Takes the run time of a finished task, normalised to an average target."""
    declared = max(job.submission.tasks[index].run_time, MIN_RUN_TIME_SECONDS)
    ratio = min(max(normal_seconds / declared, 0.001), 1000.0)
    group = _group_of(job)
    known = estimates.ratios.get(group)
    if known is None:
        estimates.ratios[group] = ratio
        return
    estimates.ratios[group] = known + SMOOTHING * (ratio - known)


def _group_of(job: Job) -> tuple[str, str, int]:
    submission = job.submission
    return submission.service, submission.key.team, submission.task_class
