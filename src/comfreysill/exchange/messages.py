"""Frames of the link between an entry and the agent beside a target."""

import enum

# Seconds for which an agent keeps an entry's tasks running after the newest of its own time
# stamps that the entry has echoed.
LINK_LEASE_SECONDS = 0.5
# Seconds for which a runner keeps tasks running after the last renewal.
RUN_LEASE_SECONDS = 0.6
# A runner's clock may be 2% slow; the rest covers the time that a stop takes.
LEASE_MARGIN_SECONDS = 0.07
# Seconds between two frames on a link whose entry has tasks at the agent.
FRAME_INTERVAL_SECONDS = 0.15
# Links whose entry has no tasks there are given so much time together that an agent sends no more
# frames than with this number of entries.
FULL_RATE_LINKS = 3
# Below the lease of a link, as an order that echoes an older time stamp is refused.
MAX_IDLE_INTERVAL_SECONDS = 0.4


class Outcome(enum.IntEnum):
    """What became of an attempt at an agent.

    RETURNED and BUSY promise that the attempt never ran; after BUSY the target is as good as
    before. LOST says that it ran in part and has ended.
    """

    DONE = 0
    FAILED = 1
    RETURNED = 2
    LOST = 3
    BUSY = 4


class Order:
    """One task to start."""

    __slots__ = ("step", "index", "attempt")

    def __init__(self, *, step: int, index: int, attempt: int) -> None:
        self.step = step
        self.index = index
        self.attempt = attempt


class Batch:
    """Tasks of one step to start at one agent.

    Attributes:
        request_id: Id of the request.
        payload: Text that the runner gets with each task.
        priority: Urgency, 0 goes first.
        due: Unix time in seconds of the request's latency objective.
        cpu: Thousandths of a core that a task takes.
        memory_mb: Memory of a task in megabytes.
        gpus: Accelerators of a task.
        estimate: Declared run time of a task in seconds.
        orders: The tasks.
    """

    __slots__ = (
        "request_id",
        "payload",
        "priority",
        "due",
        "cpu",
        "memory_mb",
        "gpus",
        "estimate",
        "orders",
    )

    def __init__(
        self,
        *,
        request_id: str,
        payload: str,
        priority: int,
        due: float,
        cpu: int,
        memory_mb: int,
        gpus: int,
        estimate: float,
        orders: list[Order],
    ) -> None:
        self.request_id = request_id
        self.payload = payload
        self.priority = priority
        self.due = due
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.estimate = estimate
        self.orders = orders


class EntryFrame:
    """A frame from an entry to an agent.

    Attributes:
        entry: Name of the entry's process, unique for each of its lifetimes.
        session: Number of the link, raised with each connection.
        number: Number of the frame in the session, from 1.
        echo: Newest time stamp of the agent that the entry has received, 0 before the first.
        demand_rank: Rank of the most urgent task that the entry can't place, 1 for the most
            urgent of all; 0 while there is none.
        ended_seen: Number of the newest end that the entry has received.
        batches: Tasks to start.
        stops: Names of tasks to stop.
        entries: Addresses of entries, its own first, for the agent to announce itself to.
        routes_version: Version of the routing document in force at the entry.
    """

    __slots__ = (
        "entry",
        "session",
        "number",
        "echo",
        "demand_rank",
        "ended_seen",
        "batches",
        "stops",
        "entries",
        "routes_version",
    )

    def __init__(
        self,
        *,
        entry: str,
        session: int,
        number: int,
        echo: float,
        demand_rank: int,
        ended_seen: int,
        batches: list[Batch],
        stops: list[str],
        entries: list[str],
        routes_version: int,
    ) -> None:
        self.entry = entry
        self.session = session
        self.number = number
        self.echo = echo
        self.demand_rank = demand_rank
        self.ended_seen = ended_seen
        self.batches = batches
        self.stops = stops
        self.entries = entries
        self.routes_version = routes_version


class Ended:
    """End of an attempt.

    Attributes:
        number: Number of the end among those for the same entry, from 1.
        task: Name of the task.
        attempt: Number of the attempt.
        outcome: What became of it.
        seconds: Measured run time in seconds, 0 if it didn't end as done.
        detail: Why, for people.
    """

    __slots__ = ("number", "task", "attempt", "outcome", "seconds", "detail")

    def __init__(
        self,
        *,
        number: int,
        task: str,
        attempt: int,
        outcome: Outcome,
        seconds: float,
        detail: str,
    ) -> None:
        self.number = number
        self.task = task
        self.attempt = attempt
        self.outcome = outcome
        self.seconds = seconds
        self.detail = detail


class Profile:
    """What a target is; the same for the life of its runner.

    Attributes:
        service: Service that it runs, empty while no runner is known.
        zone: Availability zone.
        cpu: Capacity in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Accelerators.
        labels: Its labels, the kind and the rack among them.
    """

    __slots__ = ("service", "zone", "cpu", "memory_mb", "gpus", "labels")

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        cpu: int,
        memory_mb: int,
        gpus: int,
        labels: tuple[str, ...],
    ) -> None:
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.labels = labels


class Load:
    """What a target has left.

    Attributes:
        accepting: False while it takes no new work.
        cpu: Thousandths of a core that are neither used nor promised; may be negative.
        memory_mb: Megabytes left.
        gpus: Accelerators left.
        slowness: Learned ratio of measured to declared run times.
    """

    __slots__ = ("accepting", "cpu", "memory_mb", "gpus", "slowness")

    def __init__(
        self,
        *,
        accepting: bool,
        cpu: int,
        memory_mb: int,
        gpus: int,
        slowness: float,
    ) -> None:
        self.accepting = accepting
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.slowness = slowness


class AgentFrame:
    """A frame from an agent to an entry.

    Attributes:
        agent: Name of the agent's instance.
        lifetime: Lifetime of its process.
        session: Session of the entry's link.
        seen: Number of the newest frame of the session that the agent has received.
        stamp: The agent's boot clock in seconds.
        load: What the target has left.
        profile: What the target is; only on the first frame of a session and after a change.
        ended: Ends that the entry hasn't confirmed.
        active: Names of the entry's tasks that the agent has; only on the first frame.
        opening: True on the first frame of a session.
        routes_version: Newest version of the routing document that an entry is known to have.
        routes_holder: Address of that entry.
        next_seconds: Seconds within which the next frame follows.
    """

    __slots__ = (
        "agent",
        "lifetime",
        "session",
        "seen",
        "stamp",
        "load",
        "profile",
        "ended",
        "active",
        "opening",
        "routes_version",
        "routes_holder",
        "next_seconds",
    )

    def __init__(
        self,
        *,
        agent: str,
        lifetime: str,
        session: int,
        seen: int,
        stamp: float,
        load: Load,
        profile: Profile | None,
        ended: list[Ended],
        active: list[str],
        opening: bool,
        routes_version: int,
        routes_holder: str,
        next_seconds: float,
    ) -> None:
        self.agent = agent
        self.lifetime = lifetime
        self.session = session
        self.seen = seen
        self.stamp = stamp
        self.load = load
        self.profile = profile
        self.ended = ended
        self.active = active
        self.opening = opening
        self.routes_version = routes_version
        self.routes_holder = routes_holder
        self.next_seconds = next_seconds


class Announcement:
    """Tells an entry that an agent is there.

    Attributes:
        agent: Name of the agent's instance.
        address: Address of its link service, `host:port`.
        service: Service of the target beside it, empty where the agent doesn't know it.
    """

    __slots__ = ("agent", "address", "service")

    def __init__(self, *, agent: str, address: str, service: str = "") -> None:
        self.agent = agent
        self.address = address
        self.service = service
