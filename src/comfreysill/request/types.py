"""Values of the request aggregate: steps, specifications, callers' waits and verdicts."""

import enum


class Verdict(enum.IntEnum):
    """Outcome of a request, as reported to its callers.

    COMPLETED, FAILED and CANCELLED are final: the entry caches them for a time to answer
    repetitions of the request. CANCELLED is one that its owner has cancelled; it isn't run again.
    After the others the entry has no result, and the caller may repeat it to run it again.
    NOT_RUN guarantees that no task ran or will run. MAY_HAVE_RUN doesn't, but may be set although
    no task was placed.
    """

    COMPLETED = 0
    FAILED = 1
    NOT_RUN = 2
    MAY_HAVE_RUN = 3
    CANCELLED = 4


FINAL_VERDICTS = frozenset({Verdict.COMPLETED, Verdict.FAILED, Verdict.CANCELLED})


class CancelOutcome(enum.IntEnum):
    """Answer to a caller that has cancelled a request.

    After ENDED nothing of it is placed any more. UNKNOWN says that no entry that can be reached
    knows of it. UNCERTAIN says that it may go on, and that the caller has to cancel it again.
    """

    ENDED = 0
    UNKNOWN = 1
    UNCERTAIN = 2


class Step:
    """A step of a request: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        cpu: CPU per task in thousandths of a core.
        memory_mb: Memory per task in megabytes.
        gpus: GPUs per task.
        estimate: Declared run time of a task in seconds.
        after: Indices of the steps that must be done first.
        label: Label that the target must have, empty if any target will do.
        rack: Label of the rack that holds the data, empty if the rack doesn't matter. Targets
            outside it may run the tasks, but count as slower.
        per_target: Maximum number of tasks of the step on one target, 0 for no limit.
    """

    __slots__ = (
        "count",
        "cpu",
        "memory_mb",
        "gpus",
        "estimate",
        "after",
        "label",
        "rack",
        "per_target",
    )

    def __init__(
        self,
        *,
        count: int,
        cpu: int,
        memory_mb: int,
        gpus: int = 0,
        estimate: float,
        after: tuple[int, ...] = (),
        label: str = "",
        rack: str = "",
        per_target: int = 0,
    ) -> None:
        self.count = count
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.estimate = estimate
        self.after = after
        self.label = label
        self.rack = rack
        self.per_target = per_target


class Specification:
    """A request as its caller sent it, completed with settings of its route.

    Attributes:
        request_id: Id chosen by the caller; requests of the same id are the same request.
        route: Name of the route.
        service: Service whose targets run the tasks.
        payload: Text passed to the runner with each task.
        steps: The steps.
        priority: Priority, 0 is the highest.
        max_attempts: Number of failed attempts of a task after which the request fails.
        stretch: Factor by which the critical path (see `compute_critical_path`) is multiplied; this
            product plus `slack_seconds` is the latency objective.
        slack_seconds: Fixed part of the latency objective in seconds.
    """

    __slots__ = (
        "request_id",
        "route",
        "service",
        "payload",
        "steps",
        "priority",
        "max_attempts",
        "stretch",
        "slack_seconds",
    )

    def __init__(
        self,
        *,
        request_id: str,
        route: str,
        service: str,
        payload: str,
        steps: tuple[Step, ...],
        priority: int,
        max_attempts: int,
        stretch: float,
        slack_seconds: float,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.service = service
        self.payload = payload
        self.steps = steps
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.slack_seconds = slack_seconds


class CallerWait:
    """How long the caller of one submission waits for its answer.

    It stops waiting a fixed time after it has sent the request, which may have been before it was
    read here.

    Attributes:
        sent_after: Boot-clock time in seconds before which it can't have sent the request.
        read_at: Boot-clock time in seconds at which the request was read.
        ends_at: Boot-clock time in seconds at which it would stop waiting if it had sent the
            request at `read_at`, infinite if it doesn't say how long it waits.
        connected_at: Boot-clock time in seconds at which its connection was accepted, None if the
            connection has carried an earlier request, or if that isn't known.
    """

    __slots__ = ("sent_after", "read_at", "ends_at", "connected_at")

    def __init__(
        self,
        *,
        sent_after: float,
        read_at: float,
        ends_at: float,
        connected_at: float | None = None,
    ) -> None:
        self.sent_after = sent_after
        self.read_at = read_at
        self.ends_at = ends_at
        self.connected_at = connected_at


def compute_critical_path(steps: tuple[Step, ...]) -> float:
    """Returns the declared run time in seconds of the longest chain of dependent steps.

    Steps have to follow those that they depend on; other dependencies are ignored.
    """
    ends: list[float] = []
    for step in steps:
        start = max(
            (ends[step_number] for step_number in step.after if step_number < len(ends)),
            default=0.0,
        )
        ends.append(start + step.estimate)
    return max(ends, default=0.0)


def compute_later_path(steps: tuple[Step, ...], step_number: int) -> float:
    """Returns the declared run time in seconds of the longest chain of steps that wait for one."""
    ends = {step_number: 0.0}
    for number in range(step_number + 1, len(steps)):
        starts = [ends[predecessor] for predecessor in steps[number].after if predecessor in ends]
        if starts:
            ends[number] = max(starts) + steps[number].estimate
    return max(ends.values())
