"""Work that waits, and how long new work would have to wait behind it."""

from comfreysill.dispatch.estimate import estimate_least, estimate_task
from comfreysill.dispatch.ownership import list_live_entries
from comfreysill.dispatch.reserve import WINDOW_SECONDS, decay_work
from comfreysill.dispatch.state import Dispatcher
from comfreysill.job.job import Job
from comfreysill.job.types import Submission, TaskClass
from comfreysill.target.view import Target

UNMEETABLE_SHARE = 0.5


def track_pending(dispatcher: Dispatcher, job: Job) -> None:
    """Keeps the entry's counts of waiting tasks and work in step with a job."""
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


def find_wait(dispatcher: Dispatcher, submission: Submission, now: float) -> float:
    """Returns how long in seconds new work of a job's class would wait to be started.

    Work of the same and more urgent classes goes first. More urgent work is taken to go on arriving
    as it did, for as long as its rate was measured. The entry counts on its share of the targets.
    """
    backlog = dispatcher.backlogs.get(submission.service)
    capacity = _find_capacity(dispatcher, submission.service)
    if backlog is None or not capacity:
        return 0.0
    entries = len(list_live_entries(dispatcher, now))
    decay_work(dispatcher.demand, now)
    rates = dispatcher.demand.rates
    taken = entries * sum(rates[other] for other in TaskClass if other < submission.task_class)
    ahead = max(0.0, sum(backlog[: submission.task_class + 1]))
    return (ahead * entries + taken * WINDOW_SECONDS) / capacity if ahead else 0.0


def find_least_time(dispatcher: Dispatcher, submission: Submission) -> float:
    """Returns the time in seconds that the longest task takes at least, with room for error."""
    slownesses = [target.slowness for target in list_serving(dispatcher, submission.service)]
    longest = max(
        estimate_least(dispatcher.estimates, submission, index)
        for index in range(len(submission.tasks))
    )
    return longest * min(slownesses, default=1.0) * UNMEETABLE_SHARE


def _find_capacity(dispatcher: Dispatcher, service: str) -> float:
    return sum(
        target.load.slots / max(target.slowness, 1e-6)
        for target in list_serving(dispatcher, service)
    )


def list_serving(dispatcher: Dispatcher, service: str) -> list[Target]:
    """Returns the targets of a service whose agents have answered on their open links."""
    return [
        target
        for target in dispatcher.targets.values()
        if target.handshake_done and service in target.registration.services
    ]
