"""Calls from an agent on the platform to its runner, and the replies."""

import enum
import math


class RunnerLifetime:
    """One run of a runner's process, not a duration; each start of the process is a new lifetime.

    Attributes:
        runner_id: Id of the runner.
        started_at_ms: Unix time in milliseconds of its start, 0 if unknown.
    """

    __slots__ = ("runner_id", "started_at_ms")

    def __init__(self, *, runner_id: str, started_at_ms: int) -> None:
        self.runner_id = runner_id
        self.started_at_ms = started_at_ms

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, RunnerLifetime):
            return NotImplemented
        return self.runner_id == other.runner_id and self.started_at_ms == other.started_at_ms

    def __hash__(self) -> int:
        return hash((self.runner_id, self.started_at_ms))

    def __str__(self) -> str:
        return f"{self.runner_id}@{self.started_at_ms}"


class RunnerReport:
    """Status report sent by a runner.

    Attributes:
        lifetime: Run of the runner's process that sent the report.
        service: Service that it runs.
        address: Address that it accepts calls at.
        zone: Availability zone, may be empty.
        draining: True while it accepts no new work.
        sequence: Sequence number of the report in the lifetime; 0 is accepted after any other.
        cpu: Capacity in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Number of GPUs.
        labels: Labels of the runner.
    """

    __slots__ = (
        "lifetime",
        "service",
        "address",
        "zone",
        "draining",
        "sequence",
        "cpu",
        "memory_mb",
        "gpus",
        "labels",
    )

    def __init__(
        self,
        *,
        lifetime: RunnerLifetime,
        service: str,
        address: str,
        zone: str,
        draining: bool,
        sequence: int,
        cpu: int,
        memory_mb: int,
        gpus: int,
        labels: tuple[str, ...],
    ) -> None:
        self.lifetime = lifetime
        self.service = service
        self.address = address
        self.zone = zone
        self.draining = draining
        self.sequence = sequence
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.labels = labels


class ReplyStatus(enum.IntEnum):
    """Result of a call to a runner.

    After UNANSWERED and DISCONNECTED the call may have taken effect or may still take effect. Any
    other status except ACCEPTED means that it had no effect. FENCED means that the fencing token is
    too low, OLD_RUN that the run number is, LATE that the lease in the call has already ended,
    REFUSED that nothing listens at the runner's address, GONE that the addressed lifetime has
    ended, and DISCONNECTED that the runner has closed the connection without an answer. A
    connection that is reset counts as UNANSWERED, as a cut may reset it.
    """

    ACCEPTED = 0
    FENCED = 1
    OLD_RUN = 2
    LATE = 3
    NO_ROOM = 4
    UNHEALTHY = 5
    INVALID = 6
    GONE = 7
    UNANSWERED = 8
    REFUSED = 9
    DISCONNECTED = 10


class StartCall:
    """Call that starts a run.

    Attributes:
        lifetime: Runner lifetime that the call is addressed to.
        task: Name of the task.
        run: Run number, higher than those of earlier runs of the task.
        payload: Payload of the task.
        lease_until_ms: End of the run's lease on the runner's clock in milliseconds.
        token: Fencing token.
        sent_at: Boot-clock time in seconds at which the call was created.
        answer_by: Boot-clock time in seconds from which the call counts as unanswered, infinite if
            the sender decides.
    """

    __slots__ = (
        "lifetime",
        "task",
        "run",
        "payload",
        "lease_until_ms",
        "token",
        "sent_at",
        "answer_by",
    )

    def __init__(
        self,
        *,
        lifetime: RunnerLifetime,
        task: str,
        run: int,
        payload: str,
        lease_until_ms: int,
        token: int,
        sent_at: float = 0.0,
        answer_by: float = math.inf,
    ) -> None:
        self.lifetime = lifetime
        self.task = task
        self.run = run
        self.payload = payload
        self.lease_until_ms = lease_until_ms
        self.token = token
        self.sent_at = sent_at
        self.answer_by = answer_by


class StopCall:
    """Call that stops the run of a task with a run number; for the attributes see `StartCall`."""

    __slots__ = ("lifetime", "task", "run", "token")

    def __init__(self, *, lifetime: RunnerLifetime, task: str, run: int, token: int) -> None:
        self.lifetime = lifetime
        self.task = task
        self.run = run
        self.token = token


class RenewCall:
    """Call that renews the lease of all runs and requests the lists of running and ended runs.

    Attributes:
        lifetime: Runner lifetime that the call is addressed to.
        token: Fencing token.
        ended_seen: Sequence number of the newest run end that the agent has processed, 0 before the
            first.
        lease_until_ms: New end of all run leases on the runner's clock in milliseconds, 0 to leave
            them unchanged.
        wait_ms: Milliseconds that the runner may wait for a run to end before it answers, 0 if it
            has to answer at once.
        sent_at: Boot-clock time in seconds at which the call was created.
        answer_by: See `StartCall`.
    """

    __slots__ = (
        "lifetime",
        "token",
        "ended_seen",
        "lease_until_ms",
        "wait_ms",
        "sent_at",
        "answer_by",
    )

    def __init__(
        self,
        *,
        lifetime: RunnerLifetime,
        token: int,
        ended_seen: int,
        lease_until_ms: int,
        wait_ms: int,
        sent_at: float,
        answer_by: float = math.inf,
    ) -> None:
        self.lifetime = lifetime
        self.token = token
        self.ended_seen = ended_seen
        self.lease_until_ms = lease_until_ms
        self.wait_ms = wait_ms
        self.sent_at = sent_at
        self.answer_by = answer_by


Call = StartCall | StopCall | RenewCall
# Statuses after which a call may still take effect.
UNANSWERED_STATUSES = frozenset({ReplyStatus.UNANSWERED, ReplyStatus.DISCONNECTED})


class RunEnd:
    """An ended run as listed by the runner.

    Attributes:
        number: Sequence number of the end within the runner's lifetime.
        task: Name of the task.
        run: Run number.
        outcome: `done`, `failed`, or any other value for an interrupted run.
    """

    __slots__ = ("number", "task", "run", "outcome")

    def __init__(self, *, number: int, task: str, run: int, outcome: str) -> None:
        self.number = number
        self.task = task
        self.run = run
        self.outcome = outcome


class ListedRun:
    """An active run as listed by the runner; `percent` is its progress, 0 if the list lacks it."""

    __slots__ = ("task", "run", "percent")

    def __init__(self, *, task: str, run: int, percent: float) -> None:
        self.task = task
        self.run = run
        self.percent = percent


class CallReply:
    """Reply to a start or stop call; `clock_ms` is the runner's clock, -1 if the reply lacks it."""

    __slots__ = ("call", "status", "clock_ms")

    def __init__(self, *, call: StartCall | StopCall, status: ReplyStatus, clock_ms: int) -> None:
        self.call = call
        self.status = status
        self.clock_ms = clock_ms


class RenewReply:
    """Reply to a renewal.

    Attributes:
        call: The call.
        status: Result of the call.
        clock_ms: The runner's clock in milliseconds, -1 if the reply lacks it.
        started_at_ms: Start of the runner lifetime that replied, 0 if the reply lacks it; see
            `RunnerLifetime`.
        running: The active runs.
        ended: Runs that ended after `ended_seen` of the call; a long list may be incomplete.
    """

    __slots__ = ("call", "status", "clock_ms", "started_at_ms", "running", "ended")

    def __init__(
        self,
        *,
        call: RenewCall,
        status: ReplyStatus,
        clock_ms: int,
        started_at_ms: int,
        running: list[ListedRun],
        ended: list[RunEnd],
    ) -> None:
        self.call = call
        self.status = status
        self.clock_ms = clock_ms
        self.started_at_ms = started_at_ms
        self.running = running
        self.ended = ended


def build_unanswered_reply(call: Call) -> CallReply | RenewReply:
    """Returns the reply that stands for a call without an answer."""
    if isinstance(call, RenewCall):
        return RenewReply(
            call=call,
            status=ReplyStatus.UNANSWERED,
            clock_ms=-1,
            started_at_ms=0,
            running=[],
            ended=[],
        )
    return CallReply(call=call, status=ReplyStatus.UNANSWERED, clock_ms=-1)
