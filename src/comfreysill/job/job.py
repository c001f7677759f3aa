"""The job aggregate: which task may start, and when the answer stands."""

import enum
from collections import deque

from comfreysill.job.types import (
    Answer,
    JobKey,
    Reason,
    Submission,
    Verdict,
    strip_tasks,
)


class TaskState(enum.IntEnum):
    """State of one task at the owner of its job."""

    PENDING = 0
    PLACED = 1
    DONE = 2
    FAILED = 3
    UNKNOWN = 4


class Placement:
    """Where the current attempt of a task was sent."""

    __slots__ = ("agent", "incarnation")

    def __init__(self, *, agent: str, incarnation: str) -> None:
        self.agent = agent
        self.incarnation = incarnation


class Job:
    """A job at the owner of its partition.

    Every change of a task's state goes through the functions of this module, which keep the
    rule that a task without the idempotent mark is sent out again only when the previous
    attempt certainly did not run.

    Attributes:
        submission: The job as submitted; without its tasks once the answer stands.
        partition: Partition of its key.
        states: State of each task.
        attempts: Number of the current attempt of each task, 0 before the first.
        placements: Placement of each task that is out.
        results: Result of each task that is done.
        pending: Indexes of tasks that may be started, in order.
        may_have_prior_runs: True while an earlier owner may have started tasks that are not known.
        blocked_by_prior_runs: True while such a doubt holds back tasks that aren't idempotent.
        unfinished: How many tasks are not done yet.
        answer: The answer, once it stands; it never changes.
        listeners: Names of entries that wait for the answer.
        accepted_at: Unix time in seconds at which the owner took the job.
        expires_at: Unix time in seconds until which the answer is kept.
        retries: How many tasks were sent out again.
        counted_pending: Pending tasks that the entry's total includes.
        task_seconds: Estimated run time of one task when the job was accepted.
        queued: True while the job stands in a queue.
        due: Unix time in seconds by which the queue orders it.
        any_lost: True once an attempt was lost that may have run.
        any_ran: True once a task ran to its end.
    """

    __slots__ = (
        "submission",
        "partition",
        "states",
        "attempts",
        "placements",
        "results",
        "pending",
        "may_have_prior_runs",
        "blocked_by_prior_runs",
        "unfinished",
        "answer",
        "listeners",
        "accepted_at",
        "expires_at",
        "retries",
        "counted_pending",
        "task_seconds",
        "queued",
        "due",
        "any_lost",
        "any_ran",
    )

    def __init__(
        self, *, submission: Submission, partition: int, accepted_at: float, expires_at: float
    ) -> None:
        count = len(submission.tasks)
        self.submission = submission
        self.partition = partition
        self.states = bytearray(count)
        self.attempts = [0] * count
        self.placements: list[Placement | None] = [None] * count
        self.results: list[bytes] = [b""] * count
        self.pending = deque(range(count))
        self.may_have_prior_runs = False
        self.blocked_by_prior_runs = False
        self.unfinished = count
        self.answer: Answer | None = None
        self.listeners: set[str] = set()
        self.accepted_at = accepted_at
        self.expires_at = expires_at
        self.retries = 0
        self.counted_pending = 0
        self.task_seconds = 0.0
        self.queued = False
        self.due = 0.0
        self.any_lost = False
        self.any_ran = False

    @property
    def key(self) -> JobKey:
        """The idempotency key."""
        return self.submission.key


def place_task(job: Job, index: int, agent: str, incarnation: str) -> int:
    """Records that a pending task is sent to an agent.

    The caller has taken the index out of `job.pending`.

    Returns:
        The number of the new attempt.
    """
    job.states[index] = TaskState.PLACED
    job.attempts[index] += 1
    job.placements[index] = Placement(agent=agent, incarnation=incarnation)
    return job.attempts[index]


def adopt_placement(job: Job, index: int, attempt: int, agent: str, incarnation: str) -> None:
    """Takes over a task that an earlier owner sent to an agent."""
    if job.states[index] != TaskState.PENDING or attempt < job.attempts[index]:
        return
    _leave_pending(job, index)
    job.states[index] = TaskState.PLACED
    job.attempts[index] = attempt
    job.placements[index] = Placement(agent=agent, incarnation=incarnation)


def finish_task(job: Job, index: int, payload: bytes) -> bool:
    """Stores the result of a task; the first result of any attempt counts.

    Returns:
        True when the result was awaited.
    """
    if job.answer is not None or job.states[index] == TaskState.DONE:
        return False
    _leave_pending(job, index)
    job.states[index] = TaskState.DONE
    job.placements[index] = None
    job.results[index] = payload
    job.unfinished -= 1
    job.any_ran = True
    return True


def return_task(job: Job, index: int, attempt: int, counted: bool = True) -> bool:
    """Makes a task pending again whose current attempt certainly did not run.

    Args:
        job: The job.
        index: Position of the task.
        attempt: Number of the attempt that did not run.
        counted: Whether it counts against the bound on retries; a full target doesn't.

    Returns:
        True when the attempt was the current one.
    """
    if not _is_current(job, index, attempt):
        return False
    job.states[index] = TaskState.PENDING
    job.placements[index] = None
    job.pending.appendleft(index)
    job.retries += counted
    return True


def mark_task_lost(job: Job, index: int, attempt: int) -> bool:
    """Records that the current attempt of a task may have run and gives no answer.

    An idempotent task becomes pending again; any other one can no longer be completed.

    Returns:
        True when the attempt was the current one.
    """
    if not _is_current(job, index, attempt):
        return False
    job.placements[index] = None
    job.any_lost = True
    if job.submission.tasks[index].idempotent:
        job.states[index] = TaskState.PENDING
        job.pending.appendleft(index)
        job.retries += 1
    else:
        job.states[index] = TaskState.UNKNOWN
    return True


def fail_task(job: Job, index: int, attempt: int) -> bool:
    """Records that a task ran and failed.

    Returns:
        True when the attempt was the current one.
    """
    if not _is_current(job, index, attempt):
        return False
    job.states[index] = TaskState.FAILED
    job.placements[index] = None
    job.any_ran = True
    return True


def complete_job(job: Job) -> Answer | None:
    """Sets the answer of a job all of whose tasks are done.

    Returns:
        The new answer, or None while tasks are missing or an answer stands already.
    """
    if job.answer is not None or job.unfinished:
        return None
    job.answer = Answer(key=job.key, complete=True, verdict=Verdict.RAN, results=tuple(job.results))
    _release(job)
    return job.answer


def fail_job(job: Job, reason: Reason, detail: str, retry_at: float = 0.0) -> Answer | None:
    """Sets the failed answer of a job, with the verdict that its tasks' states prove.

    Returns:
        The new answer, or None when an answer stands already.
    """
    if job.answer is not None:
        return None
    job.answer = Answer(
        key=job.key,
        complete=False,
        verdict=find_verdict(job),
        reason=reason,
        detail=detail,
        retry_at=retry_at,
    )
    _release(job)
    return job.answer


def find_verdict(job: Job) -> Verdict:
    """Returns what is known about whether any task of the job ran."""
    if job.may_have_prior_runs or job.any_lost or TaskState.PLACED in job.states:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN if job.any_ran else Verdict.NOT_RUN


def list_placed(job: Job) -> list[int]:
    """Returns the indexes of tasks that are out at an agent."""
    return [index for index, state in enumerate(job.states) if state == TaskState.PLACED]


def _is_current(job: Job, index: int, attempt: int) -> bool:
    if job.answer is not None:
        return False
    return job.states[index] == TaskState.PLACED and job.attempts[index] == attempt


def _leave_pending(job: Job, index: int) -> None:
    if job.states[index] == TaskState.PENDING and index in job.pending:
        job.pending.remove(index)


def _release(job: Job) -> None:
    job.submission = strip_tasks(job.submission)
    job.pending.clear()
    job.results = []
    job.placements = []
