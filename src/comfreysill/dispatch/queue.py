"""Scheduling order of waiting jobs: classes, weighted fair shares of teams, due times."""

import heapq
from collections.abc import Container

from comfreysill.job.job import Job
from comfreysill.job.types import TaskClass

BULK_TURN_INTERVAL = 16
# Response time at which a job of the class is due, as a multiple of the ideal one.
STRETCH_BY_CLASS = {TaskClass.URGENT: 1.3, TaskClass.NORMAL: 2.5, TaskClass.BULK: 6.0}


class TeamQueue:
    """Waiting jobs of one team in one class, ordered by due time.

    Attributes:
        team: Name of the team.
        virtual_finish: Virtual time at which the team's started work finishes.
        jobs: Heap of (Unix time in seconds at which the job is due, push number, job).
    """

    __slots__ = ("team", "virtual_finish", "jobs")

    def __init__(self, *, team: str) -> None:
        self.team = team
        self.virtual_finish = 0.0
        self.jobs: list[tuple[float, int, Job]] = []


class ClassQueue:
    """Waiting jobs of one class; teams are served by weighted fair shares.

    Attributes:
        teams: Queues by team name.
        virtual_time: Highest virtual time at which charged work started, 0 before the first.
    """

    __slots__ = ("teams", "virtual_time")

    def __init__(self) -> None:
        self.teams: dict[str, TeamQueue] = {}
        self.virtual_time = 0.0


class ServiceQueue:
    """Waiting jobs of one service, by class.

    Attributes:
        classes: Queues by class.
        turns: Number of calls of `charge_job`.
        last_push_number: Number of the latest push; jobs due at the same time keep this order.
    """

    __slots__ = ("classes", "turns", "last_push_number")

    def __init__(self) -> None:
        self.classes = {task_class: ClassQueue() for task_class in TaskClass}
        self.turns = 0
        self.last_push_number = 0


def compute_due_time(job: Job, ideal_seconds: float) -> float:
    """Returns the Unix time in seconds at which a job is due.

    A job is due when its response time reaches a multiple (the stretch of its class) of the ideal
    one, at the latest at its deadline. So a short job doesn't wait for long ones, and a long one
    that has waited precedes new short ones.

    Args:
        job: The job.
        ideal_seconds: Estimated response time without other load.
    """
    stretch = STRETCH_BY_CLASS[job.submission.task_class]
    return min(job.submission.deadline, job.admitted_at + stretch * ideal_seconds)


def push_job(queue: ServiceQueue, job: Job, due: float) -> None:
    """Adds a job that has tasks to start.

    Args:
        queue: The queue of the job's service.
        job: The job.
        due: Unix time in seconds at which the job is due; orders the jobs of a team.
    """
    job.due = due
    submission = job.submission
    class_queue = queue.classes[submission.task_class]
    team = class_queue.teams.get(submission.key.team)
    if team is None:
        team = TeamQueue(team=submission.key.team)
        class_queue.teams[team.team] = team
    if not team.jobs:
        team.virtual_finish = max(team.virtual_finish, class_queue.virtual_time)
    queue.last_push_number += 1
    heapq.heappush(team.jobs, (due, queue.last_push_number, job))


def choose_job(queue: ServiceQueue, blocked_classes: Container[TaskClass] = ()) -> Job | None:
    """Returns the job whose tasks start next, without removing it, or None if there is none.

    The most urgent class goes first; each `BULK_TURN_INTERVAL`-th turn begins with the least urgent
    one, to prevent starvation of bulk work. The classes in `blocked_classes` are skipped. Jobs that
    can't start are removed when they come first in their team.
    """
    class_order = list(TaskClass)
    if queue.turns % BULK_TURN_INTERVAL == BULK_TURN_INTERVAL - 1:
        class_order.reverse()
    for task_class in class_order:
        if task_class in blocked_classes:
            continue
        job = _choose_in_class(queue.classes[task_class])
        if job is not None:
            return job
    return None


def charge_job(queue: ServiceQueue, job: Job, cost: float, weight: float) -> None:
    """Charges started work to the fair share of its team.

    Args:
        queue: Queue that the job was chosen from.
        job: The job whose tasks were started.
        cost: Estimated run time of the tasks in seconds.
        weight: Weight of the team.
    """
    queue.turns += 1
    class_queue = queue.classes[job.submission.task_class]
    team = class_queue.teams[job.submission.key.team]
    class_queue.virtual_time = max(class_queue.virtual_time, team.virtual_finish)
    team.virtual_finish += cost / max(weight, 1e-6)


def has_jobs(queue: ServiceQueue) -> bool:
    """Returns whether jobs wait; those that can't start count until `choose_job` removes them."""
    return any(class_queue.teams for class_queue in queue.classes.values())


def _choose_in_class(class_queue: ClassQueue) -> Job | None:
    while class_queue.teams:
        team = min(class_queue.teams.values(), key=_get_virtual_finish)
        while team.jobs and not _is_startable(team.jobs[0][2]):
            heapq.heappop(team.jobs)[2].queued = False
        if team.jobs:
            return team.jobs[0][2]
        del class_queue.teams[team.team]
    return None


def _get_virtual_finish(team: TeamQueue) -> float:
    return team.virtual_finish


def _is_startable(job: Job) -> bool:
    return job.answer is None and bool(job.pending) and not job.blocked_by_prior_runs
