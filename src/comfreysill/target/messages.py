"""Messages between an entry and the agent beside a target."""

import enum

from comfreysill.job.types import JobKey, TaskClass
from comfreysill.partition.epoch import Epoch


class Outcome(enum.IntEnum):
    """What became of a task at an agent."""

    QUEUED = 0
    STARTED = 1
    DONE = 2
    FAILED = 3
    LOST = 4


class RefusalCause(enum.IntEnum):
    """Why an agent did not start a task; each means that the task was not run."""

    FENCED = 0
    STALE_AUTHORITY = 1
    DRAINING = 2
    FULL = 3
    EXPIRED = 4
    RUNNER = 5
    CANCELLED = 6
    CONFLICT = 7


class TaskStart:
    """One task to start; `run_time` is the declared run time in seconds."""

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
        epoch: Epoch under which the owner starts.
        authority_until: Unix time in seconds after which the agent refuses the batch.
        task_class: Urgency of the job.
        deadline: Unix time in seconds after which no task is started.
        expires_at: Unix time in seconds until which the ledger keeps the records.
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
    """Epoch that an entry claims for one partition."""

    __slots__ = ("partition", "epoch")

    def __init__(self, *, partition: int, epoch: Epoch) -> None:
        self.partition = partition
        self.epoch = epoch


class Claim:
    """Raises the fence of partitions and asks for their ledger records."""

    __slots__ = ("claims",)

    def __init__(self, *, claims: tuple[PartitionClaim, ...]) -> None:
        self.claims = claims


class LedgerRecord:
    """State of one task as the agent knows it.

    Attributes:
        key: Key of the job.
        digest: Digest of the job's content.
        partition: Partition of the key.
        index: Position of the task in the job.
        attempt: Number of the attempt, from 1.
        outcome: What became of the task.
        payload: Result of a task that is done, or the failure's text.
        run_seconds: Measured run time, 0 until the task ended.
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
    """Grants a claim; `records` are those of the granted partitions.

    A large answer comes in several messages; only the last one has `last` set. `lost_at` is the
    Unix time in seconds at which the ledger of an earlier incarnation was lost, 0 for never.
    `previous` holds the epochs that were in force before the claims.
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
    """Tells an entry that a partition has an owner of a higher epoch."""

    __slots__ = ("claim",)

    def __init__(self, *, claim: PartitionClaim) -> None:
        self.claim = claim


class TaskDone:
    """Result of one task, sent to the owner of its partition."""

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
    """Says that tasks were not run at this agent and never will be."""

    __slots__ = ("key", "attempts", "cause")

    def __init__(
        self, *, key: JobKey, attempts: tuple[tuple[int, int], ...], cause: RefusalCause
    ) -> None:
        """Stores the refusal.

        Args:
            key: Key of the job.
            attempts: Pairs of task index and attempt number.
            cause: Why the tasks were refused.
        """
        self.key = key
        self.attempts = attempts
        self.cause = cause


class CancelTasks:
    """Asks an agent to drop the queued tasks of jobs."""

    __slots__ = ("keys",)

    def __init__(self, *, keys: tuple[JobKey, ...]) -> None:
        self.keys = keys


class Load:
    """Load of a target; rides on every frame of its agent.

    Attributes:
        slots: How many tasks the target runs at once.
        queue_limit: How many tasks may wait at the agent.
        running: Tasks that run now.
        queued: Tasks that wait at the agent.
        active: Tasks of each class that run or wait.
        draining: True when the target takes no new work.
        floor_version: Version of the floor document in force at the agent.
    """

    __slots__ = (
        "slots",
        "queue_limit",
        "running",
        "queued",
        "active",
        "draining",
        "floor_version",
    )

    def __init__(
        self,
        *,
        slots: int,
        queue_limit: int,
        running: int,
        queued: int,
        active: tuple[int, ...],
        draining: bool,
        floor_version: int,
    ) -> None:
        self.queue_limit = queue_limit
        self.active = active
        self.slots = slots
        self.running = running
        self.queued = queued
        self.draining = draining
        self.floor_version = floor_version


class SetDraining:
    """An operator's order to take no new work, or to take it again."""

    __slots__ = ("draining",)

    def __init__(self, *, draining: bool) -> None:
        self.draining = draining


class FloorUpdate:
    """Hands a newer floor document to a process; `document` is its JSON text."""

    __slots__ = ("version", "document")

    def __init__(self, *, version: int, document: bytes) -> None:
        self.version = version
        self.document = document


AgentMessage = Claimed | Fenced | TaskDone | Refused
EntryMessage = Claim | StartBatch | CancelTasks | FloorUpdate | SetDraining


class EntryFrame:
    """Messages from an entry to an agent, numbered within a session.

    A frame without messages is a heartbeat. `load_wanted` asks for a report once a slot is free,
    `ack_wanted` for one at once.
    """

    __slots__ = (
        "entry",
        "session",
        "sequence",
        "floor_version",
        "messages",
        "load_wanted",
        "ack_wanted",
    )

    def __init__(
        self,
        *,
        entry: str,
        session: int,
        sequence: int,
        floor_version: int,
        messages: tuple[EntryMessage, ...],
        load_wanted: bool = False,
        ack_wanted: bool = False,
    ) -> None:
        self.ack_wanted = ack_wanted
        self.load_wanted = load_wanted
        self.entry = entry
        self.session = session
        self.sequence = sequence
        self.floor_version = floor_version
        self.messages = messages


class AgentFrame:
    """Messages from an agent to an entry, numbered within a session.

    Attributes:
        agent: Name of the agent.
        incarnation: Incarnation of the agent's process.
        session: Session of the entry's link.
        sequence: Number of the frame, from 1.
        acknowledged: Highest sequence number received from the entry.
        load: Load of the target.
        messages: The messages.
    """

    __slots__ = (
        "agent",
        "incarnation",
        "session",
        "sequence",
        "acknowledged",
        "load",
        "messages",
    )

    def __init__(
        self,
        *,
        agent: str,
        incarnation: str,
        session: int,
        sequence: int,
        acknowledged: int,
        load: Load,
        messages: tuple[AgentMessage, ...],
    ) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.session = session
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.load = load
        self.messages = messages
