"""Calls of a runner that the agent asks for, and what came of them."""

import enum


class Lifetime:
    """One life of a runner: its id and the Unix time in milliseconds of its start."""

    __slots__ = ("runner_id", "started_at_ms")

    def __init__(self, *, runner_id: str, started_at_ms: int) -> None:
        self.runner_id = runner_id
        self.started_at_ms = started_at_ms

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Lifetime):
            return NotImplemented
        return self.runner_id == other.runner_id and self.started_at_ms == other.started_at_ms

    def __hash__(self) -> int:
        return hash((self.runner_id, self.started_at_ms))

    def __str__(self) -> str:
        return f"{self.runner_id}@{self.started_at_ms}"


class RunnerReport:
    """A runner's report about itself.

    Attributes:
        lifetime: Its life.
        service: Service that it runs.
        address: Address that it takes calls at.
        zone: Availability zone.
        draining: True while it takes no new work.
        sequence: Number of the report, raised with each one in a lifetime.
        cpu: Capacity in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Accelerators.
        labels: Its labels.
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
        lifetime: Lifetime,
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
    """How a runner answered an order.

    UNANSWERED leaves open whether the order was or will be carried out; every other reply but
    ACCEPTED says that it was not. GONE says that the lifetime has ended.
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


class StartCall:
    """Asks the runner to start a run.

    Attributes:
        lifetime: Lifetime that it is meant for.
        task: Name of the task.
        run: Number of the run; runs of a task rise.
        payload: Text that goes with the task.
        lease_until: Time on the runner's clock in milliseconds until which it may run.
        token: Fencing token.
    """

    __slots__ = ("lifetime", "task", "run", "payload", "lease_until", "token")

    def __init__(
        self,
        *,
        lifetime: Lifetime,
        task: str,
        run: int,
        payload: str,
        lease_until: int,
        token: int,
    ) -> None:
        self.lifetime = lifetime
        self.task = task
        self.run = run
        self.payload = payload
        self.lease_until = lease_until
        self.token = token


class StopCall:
    """Asks the runner to stop a run."""

    __slots__ = ("lifetime", "task", "run", "token")

    def __init__(self, *, lifetime: Lifetime, task: str, run: int, token: int) -> None:
        self.lifetime = lifetime
        self.task = task
        self.run = run
        self.token = token


class RenewCall:
    """Renews the lease of all runs and asks for the lists of runs.

    Attributes:
        lifetime: Lifetime that it is meant for.
        token: Fencing token.
        ended_seen: Number of the newest end that needn't be listed again.
        lease_until: New end of the lease on the runner's clock in milliseconds, 0 for none.
        wait_ms: For how long the runner may wait for an end before it answers.
        sent_at: Boot-clock time in seconds.
    """

    __slots__ = ("lifetime", "token", "ended_seen", "lease_until", "wait_ms", "sent_at")

    def __init__(
        self,
        *,
        lifetime: Lifetime,
        token: int,
        ended_seen: int,
        lease_until: int,
        wait_ms: int,
        sent_at: float,
    ) -> None:
        self.lifetime = lifetime
        self.token = token
        self.ended_seen = ended_seen
        self.lease_until = lease_until
        self.wait_ms = wait_ms
        self.sent_at = sent_at


Call = StartCall | StopCall | RenewCall


class RunEnd:
    """One end that a runner lists.

    Attributes:
        number: Its number in the lifetime.
        task: Name of the task.
        run: Number of the run.
        outcome: `done`, `failed`, or any other word for a run that was cut short.
    """

    __slots__ = ("number", "task", "run", "outcome")

    def __init__(self, *, number: int, task: str, run: int, outcome: str) -> None:
        self.number = number
        self.task = task
        self.run = run
        self.outcome = outcome


class ListedRun:
    """One run that a runner lists as running."""

    __slots__ = ("task", "run", "percent")

    def __init__(self, *, task: str, run: int, percent: float) -> None:
        self.task = task
        self.run = run
        self.percent = percent


class CallReply:
    """Reply to a start or a stop."""

    __slots__ = ("call", "reply", "clock_ms")

    def __init__(self, *, call: StartCall | StopCall, reply: ReplyStatus, clock_ms: int) -> None:
        self.call = call
        self.reply = reply
        self.clock_ms = clock_ms


class RenewReply:
    """Reply to a renewal; `started_at_ms` is 0 where the runner doesn't tell it."""

    __slots__ = ("call", "reply", "clock_ms", "started_at_ms", "running", "ended")

    def __init__(
        self,
        *,
        call: RenewCall,
        reply: ReplyStatus,
        clock_ms: int,
        started_at_ms: int,
        running: list[ListedRun],
        ended: list[RunEnd],
    ) -> None:
        self.call = call
        self.reply = reply
        self.clock_ms = clock_ms
        self.started_at_ms = started_at_ms
        self.running = running
        self.ended = ended
