"""Messages between entries and agents; `FloorUpdate` is also sent between entries."""

import enum

from comfreysill.job.types import JobKey, TaskClass
from comfreysill.partition.epoch import Epoch


class Outcome(enum.IntEnum):
    """State of an attempt at an agent; values above `STARTED` are its final outcome."""

    QUEUED = 0
    STARTED = 1
    DONE = 2
    FAILED = 3
    LOST = 4


class RefusalCause(enum.IntEnum):
    """Why an agent refused an attempt; in each case the attempt was not run."""

    FENCED = 0
    STALE_AUTHORITY = 1
    DRAINING = 2
    FULL = 3
    EXPIRED = 4
    RUNNER = 5
    CANCELLED = 6
    CONFLICT = 7


class TaskStart:
    """One task to start.

    Attributes:
        index: Position of the task in the job.
        attempt: Number of the attempt, from 1.
        payload: Bytes passed to the runner unchanged.
        run_time: Declared run time in seconds.
        idempotent: Whether the task may safely run more than once.
    """

    __slots__ = ("index", "attempt", "payload", "run_time", "idempotent")

    def __init__(
        self, *, index: int, attempt: int, payload: bytes, run_time: float, idempotent: bool
    ) -> None:
        self.index = index
        self.attempt = attempt
        self.payload = payload
        self.run_time = run_time
        self.idempotent = idempotent


class StartBatch:
    """Tasks of one job to start at one agent.

    Attributes:
        key: Key of the job.
        digest: Digest of the job's content.
        partition: Partition of the key.
        epoch: Epoch under which the owner starts the tasks.
        authority_until: Unix time in seconds after which the agent refuses the batch.
        task_class: Urgency of the job.
        deadline: Unix time in seconds after which no task is started.
        expires_at: Unix time in seconds until which the ledger retains the records.
        service: Name of the service.
        tasks: The tasks.
    """

    __slots__ = (
        "key",
        "digest",
        "partition",
        "epoch",
        "authority_until",
        "task_class",
        "deadline",
        "expires_at",
        "service",
        "tasks",
    )

    def __init__(
        self,
        *,
        key: JobKey,
        digest: bytes,
        partition: int,
        epoch: Epoch,
        authority_until: float,
        task_class: TaskClass,
        deadline: float,
        expires_at: float,
        service: str,
        tasks: tuple[TaskStart, ...],
    ) -> None:
        self.key = key
        self.digest = digest
        self.partition = partition
        self.epoch = epoch
        self.authority_until = authority_until
        self.task_class = task_class
        self.deadline = deadline
        self.expires_at = expires_at
        self.service = service
        self.tasks = tasks


class PartitionClaim:
    """Claim of one partition under an epoch."""

    __slots__ = ("partition", "epoch")

    def __init__(self, *, partition: int, epoch: Epoch) -> None:
        self.partition = partition
        self.epoch = epoch


class Claim:
    """Raises the fencing epoch of partitions and requests their ledger records."""

    __slots__ = ("claims",)

    def __init__(self, *, claims: tuple[PartitionClaim, ...]) -> None:
        self.claims = claims


class LedgerRecord:
    """State of one attempt as recorded by the agent's ledger.

    Attributes:
        key: Key of the job.
        digest: Digest of the job's content.
        partition: Partition of the key.
        index: Position of the task in the job.
        attempt: Number of the attempt, from 1.
        outcome: State of the attempt.
        payload: Result of a finished task, or the error text of a failed one.
        run_seconds: Measured run time in seconds, 0 until the task has ended.
    """

    __slots__ = (
        "key",
        "digest",
        "partition",
        "index",
        "attempt",
        "outcome",
        "payload",
        "run_seconds",
    )

    def __init__(
        self,
        *,
        key: JobKey,
        digest: bytes,
        partition: int,
        index: int,
        attempt: int,
        outcome: Outcome,
        payload: bytes,
        run_seconds: float = 0.0,
    ) -> None:
        self.key = key
        self.digest = digest
        self.partition = partition
        self.index = index
        self.attempt = attempt
        self.outcome = outcome
        self.payload = payload
        self.run_seconds = run_seconds


class Claimed:
    """Grants claims, with the ledger's records of the granted partitions.

    Attributes:
        claims: The granted claims.
        previous: The claims that were in force at the agent before, with `NO_EPOCH` for none.
        records: The records, or part of them; a large response is split into several messages.
        last: True for the final message of a response.
        lost_at: Unix time in seconds at which the ledger of an earlier incarnation was lost, 0
            for never.
    """

    __slots__ = ("claims", "previous", "records", "last", "lost_at")

    def __init__(
        self,
        *,
        claims: tuple[PartitionClaim, ...],
        previous: tuple[PartitionClaim, ...],
        records: tuple[LedgerRecord, ...],
        last: bool,
        lost_at: float,
    ) -> None:
        self.claims = claims
        self.previous = previous
        self.records = records
        self.last = last
        self.lost_at = lost_at


class Fenced:
    """Notifies an entry that `claim`, whose epoch is higher than its own, is in force."""

    __slots__ = ("claim",)

    def __init__(self, *, claim: PartitionClaim) -> None:
        self.claim = claim


class TaskDone:
    """Outcome of one ended attempt, sent to the owner of the job's partition."""

    __slots__ = ("key", "index", "attempt", "outcome", "payload", "run_seconds")

    def __init__(
        self,
        *,
        key: JobKey,
        index: int,
        attempt: int,
        outcome: Outcome,
        payload: bytes,
        run_seconds: float,
    ) -> None:
        self.key = key
        self.index = index
        self.attempt = attempt
        self.outcome = outcome
        self.payload = payload
        self.run_seconds = run_seconds


class Refused:
    """Reports that attempts were not run at this agent and never will be.

    Attributes:
        key: Key of the job.
        attempts: Pairs of task index and attempt number.
        cause: Why the attempts were refused.
    """

    __slots__ = ("key", "attempts", "cause")

    def __init__(
        self, *, key: JobKey, attempts: tuple[tuple[int, int], ...], cause: RefusalCause
    ) -> None:
        self.key = key
        self.attempts = attempts
        self.cause = cause


class CancelTasks:
    """Requests that an agent drop the queued tasks of jobs."""

    __slots__ = ("keys",)

    def __init__(self, *, keys: tuple[JobKey, ...]) -> None:
        self.keys = keys


class SetDraining:
    """An operator's order to stop or resume accepting new tasks."""

    __slots__ = ("draining",)

    def __init__(self, *, draining: bool) -> None:
        self.draining = draining


class FloorUpdate:
    """Sends a newer floor document to an entry or agent; `document` is its JSON text."""

    __slots__ = ("version", "document")

    def __init__(self, *, version: int, document: bytes) -> None:
        self.version = version
        self.document = document


# By sender.
AgentMessage = Claimed | Fenced | TaskDone | Refused
EntryMessage = Claim | StartBatch | CancelTasks | FloorUpdate | SetDraining
