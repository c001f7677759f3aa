"""The job aggregate: which tasks may start, and when the answer is final."""

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
    """Agent and incarnation to which the current attempt of a task was sent."""

    __slots__ = ("agent", "incarnation")

    def __init__(self, *, agent: str, incarnation: str) -> None:
        self.agent = agent
        self.incarnation = incarnation


class Job:
    """A job at the owner of its partition.

    Every change of a task's state goes through the functions of this module, which enforce
    the rule that a task not marked idempotent is sent again only if the previous attempt
    certainly did not run.

    Attributes:
        submission: The job as submitted; its tasks are dropped once the answer is set.
        partition: Partition of its key.
        states: State of each task.
        attempts: Number of the current attempt of each task, 0 before the first.
        placements: Placement of each task in state `PLACED`, None for other tasks; empty once the
            answer is set.
        results: Result of each task that is done; empty once the answer is set.
        pending: Indexes of tasks to start, in order; empty once the answer is set.
        may_have_prior_runs: True while an earlier owner may have started tasks unknown to this one.
        blocked_by_prior_runs: True while none of the job's tasks is started because an earlier
            owner may have run some of them.
        unfinished: How many tasks are not done yet.
        answer: The answer, None until it is set; it never changes afterwards.
        listeners: Names of entries that wait for the answer.
        admitted_at: Unix time in seconds at which the owner admitted the job.
        expires_at: Unix time in seconds until which the answer is retained.
        retries: Number of retries that count towards the job's limit.
        counted_pending: Number of pending tasks that the entry's totals include.
        task_seconds: Estimated run time of one task in seconds, 0 until `dispatch.backlog` first
            counted pending tasks.
        queued: True while the job is in a queue.
        due: Unix time in seconds that is the job's sort key in the queue, 0 before it is queued.
        any_lost: True once an attempt that may have run was given up: its outcome is unobtainable,
            or it failed and the task is retried.
        any_ran: True once any task has reached state DONE or FAILED; a failed attempt that is
            retried doesn't count.
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
        "admitted_at",
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
        self, *, submission: Submission, partition: int, admitted_at: float, expires_at: float
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
        self.admitted_at = admitted_at
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
    """Records that a task, whose index was removed from `job.pending`, is sent to an agent.

    Returns:
        The number of the new attempt.
    """
    job.states[index] = TaskState.PLACED
    job.attempts[index] += 1
    job.placements[index] = Placement(agent=agent, incarnation=incarnation)
    return job.attempts[index]


def adopt_placement(job: Job, index: int, attempt: int, agent: str, incarnation: str) -> None:
    """Records the attempt of a pending task that an earlier owner sent to an agent."""
    if job.states[index] != TaskState.PENDING or attempt < job.attempts[index]:
        return
    _remove_pending(job, index)
    job.states[index] = TaskState.PLACED
    job.attempts[index] = attempt
    job.placements[index] = Placement(agent=agent, incarnation=incarnation)


def finish_task(job: Job, index: int, payload: bytes) -> bool:
    """Stores the result of a task; the first result of any attempt is kept.

    Returns:
        True when the result was stored, False when the task or the job was already finished.
    """
    if job.answer is not None or job.states[index] == TaskState.DONE:
        return False
    _remove_pending(job, index)
    job.states[index] = TaskState.DONE
    job.placements[index] = None
    job.results[index] = payload
    job.unfinished -= 1
    job.any_ran = True
    return True


def make_pending(job: Job, index: int, attempt: int, counted: bool = True) -> bool:
    """Makes a task pending again, since its current attempt certainly did not run.

    Args:
        job: The job.
        index: Position of the task.
        attempt: Number of the attempt that did not run.
        counted: Whether the retry counts towards the job's limit; False if the target was full or
            draining.

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
    """Records that the current attempt of a task, which may have run, was given up.

    Its outcome is unobtainable, or it failed and the task is retried. An idempotent task becomes
    pending again; any other task can no longer be completed.

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
    """Sets the answer of a job once all its tasks are done.

    Returns:
        The new answer, or None while tasks are unfinished or an answer is already set.
    """
    if job.answer is not None or job.unfinished:
        return None
    job.answer = Answer(key=job.key, complete=True, verdict=Verdict.RAN, results=tuple(job.results))
    _discard_task_data(job)
    return job.answer


def fail_job(job: Job, reason: Reason, detail: str, retry_at: float = 0.0) -> Answer | None:
    """Sets the failed answer of a job, with the verdict that follows from its tasks' states.

    Returns:
        The new answer, or None when an answer is already set.
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
    _discard_task_data(job)
    return job.answer


def find_verdict(job: Job) -> Verdict:
    """Returns MAY_HAVE_RUN if the runs of any task are uncertain, else whether any task ran."""
    if job.may_have_prior_runs or job.any_lost or TaskState.PLACED in job.states:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN if job.any_ran else Verdict.NOT_RUN


def list_placed(job: Job) -> list[int]:
    """Returns the indexes of tasks that are placed at an agent."""
    return [index for index, state in enumerate(job.states) if state == TaskState.PLACED]


def _is_current(job: Job, index: int, attempt: int) -> bool:
    if job.answer is not None:
        return False
    return job.states[index] == TaskState.PLACED and job.attempts[index] == attempt


def _remove_pending(job: Job, index: int) -> None:
    if job.states[index] == TaskState.PENDING and index in job.pending:
        job.pending.remove(index)


def _discard_task_data(job: Job) -> None:
    job.submission = strip_tasks(job.submission)
    job.pending.clear()
    job.results = []
    job.placements = []
