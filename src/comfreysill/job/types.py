"""Value types of the job aggregate: keys, tasks, submissions and answers."""

import enum


class TaskClass(enum.IntEnum):
    """Urgency of a job; a lower value is more urgent."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Verdict(enum.IntEnum):
    """Whether any task of a job ran, or whether an operation of the store was carried out."""

    NOT_RUN = 0
    RAN = 1
    MAY_HAVE_RUN = 2


class Reason(enum.IntEnum):
    """Why a job was refused or failed."""

    NONE = 0
    EXPIRED = 1
    HORIZON = 2
    CONFLICT = 3
    QUEUE_FULL = 4
    NO_TARGET = 5
    TASK_FAILED = 6
    LOST = 7
    CANCELLED = 8
    NOT_READY = 9
    QUOTA = 10
    UNKNOWN_TEAM = 11
    TOO_LARGE = 12
    UNMEETABLE = 13
    STOPPING = 14


class JobKey:
    """Idempotency key of a job: the team and the id that the caller chose."""

    __slots__ = ("team", "job_id", "_hash")

    def __init__(self, *, team: str, job_id: str) -> None:
        self.team = team
        self.job_id = job_id
        self._hash = hash((team, job_id))

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, JobKey):
            return NotImplemented
        return self.job_id == other.job_id and self.team == other.team

    def __hash__(self) -> int:
        return self._hash

    def __str__(self) -> str:
        return f"{self.team}/{self.job_id}"

    __repr__ = __str__


class TaskSpec:
    """One task as the caller declared it.

    Attributes:
        payload: Bytes passed to the runner unchanged.
        run_time: Declared run time in seconds on an average target.
        size_mb: Declared memory in megabytes.
        idempotent: Whether the task may safely run more than once.
    """

    __slots__ = ("payload", "run_time", "size_mb", "idempotent")

    def __init__(
        self, *, payload: bytes, run_time: float, size_mb: int = 0, idempotent: bool = False
    ) -> None:
        self.payload = payload
        self.run_time = run_time
        self.size_mb = size_mb
        self.idempotent = idempotent


class Submission:
    """A job as submitted.

    Attributes:
        key: Idempotency key.
        digest: Digest of the whole content; a different digest under the same key is a conflict.
        task_class: Urgency.
        deadline: Unix time in seconds after which no task is started.
        service: Name of the service whose targets run the tasks.
        tasks: The tasks in the order in which their results are returned.
        issued_at: Unix time in seconds of the first submission as the caller states it, 0 if the
            caller doesn't; a resubmission repeats it.
    """

    __slots__ = ("key", "digest", "task_class", "deadline", "service", "tasks", "issued_at")

    def __init__(
        self,
        *,
        key: JobKey,
        digest: bytes,
        task_class: TaskClass,
        deadline: float,
        service: str,
        tasks: tuple[TaskSpec, ...],
        issued_at: float = 0.0,
    ) -> None:
        self.key = key
        self.digest = digest
        self.issued_at = issued_at
        self.task_class = task_class
        self.deadline = deadline
        self.service = service
        self.tasks = tasks


class Answer:
    """The final answer to a job, complete or failed.

    Attributes:
        key: Idempotency key of the job.
        complete: True when `results` contains one item for each task.
        verdict: Whether any task ran or may have run.
        reason: Why the job failed, `Reason.NONE` for a complete answer.
        detail: Human-readable explanation in one sentence.
        results: Results in task order; empty unless complete.
        retry_at: Earliest Unix time in seconds at which a retry is useful, 0 for none.
    """

    __slots__ = ("key", "complete", "verdict", "reason", "detail", "results", "retry_at")

    def __init__(
        self,
        *,
        key: JobKey,
        complete: bool,
        verdict: Verdict,
        reason: Reason = Reason.NONE,
        detail: str = "",
        results: tuple[bytes, ...] = (),
        retry_at: float = 0.0,
    ) -> None:
        self.key = key
        self.complete = complete
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.results = results
        self.retry_at = retry_at


def refuse_job(key: JobKey, reason: Reason, detail: str, retry_at: float = 0.0) -> Answer:
    """Builds the answer to a refused job, of which no task ran."""
    return Answer(
        key=key,
        complete=False,
        verdict=Verdict.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_at=retry_at,
    )


def strip_tasks(submission: Submission) -> Submission:
    """Returns a copy without tasks; a retained answer needs only the other fields."""
    return Submission(
        key=submission.key,
        digest=submission.digest,
        task_class=submission.task_class,
        deadline=submission.deadline,
        service=submission.service,
        tasks=(),
        issued_at=submission.issued_at,
    )
