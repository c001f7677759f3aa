"""Backlog of waiting work, and estimates of the wait and the run time of new jobs."""

from comfreysill.dispatch.estimate import estimate_lower_bound, estimate_task
from comfreysill.dispatch.ownership import list_live_entries
from comfreysill.dispatch.reservations import DEMAND_WINDOW_SECONDS, decay_demand
from comfreysill.dispatch.state import Dispatcher
from comfreysill.job.job import Job
from comfreysill.job.types import Submission, TaskClass
from comfreysill.target.view import Target

LOWER_BOUND_FACTOR = 0.5


def track_pending(dispatcher: Dispatcher, job: Job) -> None:
    """Updates the entry's totals after a change of a job's pending tasks."""
    change = len(job.pending) - job.counted_pending
    if not change:
        return
    if not job.task_seconds and job.pending:
        job.task_seconds = estimate_task(dispatcher.estimates, job.submission, job.pending[0])
    job.counted_pending = len(job.pending)
    dispatcher.queued_tasks += change
    by_team = dispatcher.queued_by_team
    by_team[job.key.team] = by_team.get(job.key.team, 0) + change
    backlog = dispatcher.backlogs.setdefault(job.submission.service, [0.0] * len(TaskClass))
    backlog[job.submission.task_class] += change * job.task_seconds


def estimate_wait(dispatcher: Dispatcher, submission: Submission, now: float) -> float:
    """Returns the estimated wait in seconds before new work of a job's class starts.

    Work of the same and more urgent classes goes first. More urgent work is assumed to keep
    arriving at its measured rate for the length of the measuring window. The other live entries
    are assumed to have the same backlog and demand.

    Returns:
        0 if no work that goes first waits at this entry, or if no target of the service has slots.
    """
    backlog = dispatcher.backlogs.get(submission.service)
    capacity = _compute_capacity(dispatcher, submission.service)
    if backlog is None or not capacity:
        return 0.0
    entries = len(list_live_entries(dispatcher, now))
    decay_demand(dispatcher.demand, now)
    rates = dispatcher.demand.rates
    preempting_rate = entries * sum(
        rates[other] for other in TaskClass if other < submission.task_class
    )
    ahead = max(0.0, sum(backlog[: submission.task_class + 1]))
    return (ahead * entries + preempting_rate * DEMAND_WINDOW_SECONDS) / capacity if ahead else 0.0


def estimate_min_run_time(dispatcher: Dispatcher, submission: Submission) -> float:
    """Returns a lower bound in seconds for the run time of the longest task on the fastest target.

    `LOWER_BOUND_FACTOR` allows for errors of the estimate.
    """
    slownesses = [
        target.slowness for target in list_service_targets(dispatcher, submission.service)
    ]
    longest = max(
        estimate_lower_bound(dispatcher.estimates, submission, index)
        for index in range(len(submission.tasks))
    )
    return longest * min(slownesses, default=1.0) * LOWER_BOUND_FACTOR


def _compute_capacity(dispatcher: Dispatcher, service: str) -> float:
    return sum(
        target.load.slots / max(target.slowness, 1e-6)
        for target in list_service_targets(dispatcher, service)
    )


def list_service_targets(dispatcher: Dispatcher, service: str) -> list[Target]:
    """Returns the targets of a service whose agents have sent a frame in the open session."""
    return [
        target
        for target in dispatcher.targets.values()
        if target.handshake_done and service in target.registration.services
    ]
