"""Frames on the link between an entry and the agent beside a target, on the platform."""

import enum
import math

from comfreysill.crashes.report import CrashReport
from comfreysill.exchange.speeds import RouteSpeed
from comfreysill.zones.closures import ZoneStatus

# An agent keeps an entry's tasks running for this long after the newest of its own timestamps
# that the entry has echoed.
LINK_LEASE_SECONDS = 0.5
# A runner keeps tasks running for this long after the last lease renewal.
RUN_LEASE_SECONDS = 0.6
# A call to a runner that got no answer may be carried out up to this much later.
MAX_CALL_DELAY_SECONDS = 15.0
# A runner shortens longer leases to this.
MAX_RUN_LEASE_SECONDS = 1.0
# Allows for a runner's clock that is 2% slow, and for the time that a stop takes.
LEASE_MARGIN_SECONDS = 0.07
# Nothing that an entry has placed on an agent runs this long after they have lost each other.
RUN_EXPIRY_SECONDS = LINK_LEASE_SECONDS + RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
# An entry places tasks of a request for this long after the sending of a frame that a registrar of
# the request has answered. Shorter than RUN_EXPIRY_SECONDS, after which the registrar may grant the
# claim to another entry, also on a clock that is 2% slow.
CLAIM_LEASE_SECONDS = 1.0
# A run that hasn't ended this long after its caller has stopped waiting is left without a lease.
STOP_GRACE_SECONDS = 0.2
# An agent with runs looks for those that have to stop at least this often.
EXPIRY_INTERVAL_SECONDS = 0.1
# Nothing of a request runs later than this after its `stop_at`: a run that can't be stopped ends
# with its lease.
MAX_STOP_SECONDS = (
    EXPIRY_INTERVAL_SECONDS + STOP_GRACE_SECONDS + RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
)
# Intervals between frames on a link: while its entry has tasks to place, while it has tasks at the
# agent, and while it has neither.
DEMAND_INTERVAL_SECONDS = 0.15
BUSY_INTERVAL_SECONDS = 0.2
IDLE_INTERVAL_SECONDS = 0.3
# With more open links than this, the interval on idle links grows in proportion, so that the agent
# sends no more frames over them than with this number of links. It stops growing at
# MAX_IDLE_INTERVAL_SECONDS.
FULL_RATE_LINKS = 6
# Must stay below LINK_LEASE_SECONDS: an order that echoes an older timestamp is refused.
MAX_IDLE_INTERVAL_SECONDS = 0.4


class Outcome(enum.IntEnum):
    """Outcome of an attempt at an agent.

    RETURNED and BUSY guarantee that the attempt never ran. BUSY is no sign of a faulty target.
    LOST means that the attempt may have run, in part or to its end, and can't run any more.
    """

    DONE = 0
    FAILED = 1
    RETURNED = 2
    LOST = 3
    BUSY = 4


class Order:
    """Order to start one attempt of a task of a batch.

    Attributes:
        step: Index of the task's step in the request.
        index: Index of the task in the step.
        attempt: Attempt number, from 1.
        moves: Number of earlier attempts that were lost or stopped after they may have begun.
    """

    __slots__ = ("step", "index", "attempt", "moves")

    def __init__(self, *, step: int, index: int, attempt: int, moves: int = 0) -> None:
        self.step = step
        self.index = index
        self.attempt = attempt
        self.moves = moves


class Batch:
    """Tasks of one step to start at one agent.

    Attributes:
        request_id: Id of the request.
        route: Name of its route.
        payload: Payload passed to the runner with each task.
        priority: Priority, 0 is the most urgent.
        due: Unix time in seconds of the request's latency objective.
        cpu: CPU per task in thousandths of a core.
        memory_mb: Memory per task in megabytes.
        gpus: GPUs per task.
        estimate: Declared run time of a task in seconds.
        orders: The attempts to start, one for each task.
        isolated: True if they may run only while no task of another request does.
        stop_at: Boot-clock time of the agent in seconds from which none of the tasks may run, as
            their caller has stopped waiting; infinite if that time is unknown.
        valid_until: Boot-clock time of the agent in seconds from which the orders are refused, as
            another entry may have taken the request over; infinite if they never are.
        run_factor: Factor on the run times that is due to the place, not to the target's speed.
    """

    __slots__ = (
        "request_id",
        "route",
        "payload",
        "priority",
        "due",
        "cpu",
        "memory_mb",
        "gpus",
        "estimate",
        "orders",
        "isolated",
        "stop_at",
        "valid_until",
        "run_factor",
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
        isolated: bool = False,
        route: str = "",
        stop_at: float = math.inf,
        valid_until: float = math.inf,
        run_factor: float = 1.0,
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.payload = payload
        self.priority = priority
        self.due = due
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.estimate = estimate
        self.orders = orders
        self.isolated = isolated
        self.stop_at = stop_at
        self.valid_until = valid_until
        self.run_factor = run_factor


class EntryFrame:
    """A frame from an entry to an agent.

    Attributes:
        entry: Name of the entry, `instance@lifetime`; a lifetime is one run of the process, by id.
        session: Number of the session; each connection of a link is a new one.
        number: Sequence number of the frame in the session, from 1.
        echo: Newest timestamp received from the agent, 0 before the agent's first frame of the
            session.
        demand_rank: Rank of the most urgent task that the entry can't place, 1 for the most
            urgent of all; 0 while there is none.
        ended_seen: Sequence number of the newest ended attempt received from the agent in its
            current lifetime, 0 before the first.
        batches: Tasks to start.
        stops: Names of tasks to stop.
        entries: Addresses of entries that the agent announces itself to, the sender's first; only
            in the first frame of a session, empty otherwise.
        routes_version: Version of the routing document in use at the entry, 0 if there is none.
        zones: Statuses of zones that the agent isn't known to have.
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
        "zones",
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
        zones: tuple[ZoneStatus, ...] = (),
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
        self.zones = zones


class Ended:
    """An ended attempt.

    Attributes:
        number: Sequence number among the ended attempts of the agent's lifetime, from 1; those of
            one entry are in order, with gaps.
        task: Name of the task.
        attempt: Attempt number.
        outcome: Outcome of the attempt.
        seconds: Measured run time in seconds, 0 unless the outcome is DONE. Also 0 for a run that
            ended before its start was confirmed, or after its stop was requested.
        detail: Human-readable reason, may be empty.
        late_seconds: Time in seconds for which the task may start on this target only, as an
            earlier start may still be carried out here, or another run of the task is here if the
            outcome is BUSY; 0 for none.
    """

    __slots__ = ("number", "task", "attempt", "outcome", "seconds", "detail", "late_seconds")

    def __init__(
        self,
        *,
        number: int,
        task: str,
        attempt: int,
        outcome: Outcome,
        seconds: float,
        detail: str,
        late_seconds: float = 0.0,
    ) -> None:
        self.number = number
        self.task = task
        self.attempt = attempt
        self.outcome = outcome
        self.seconds = seconds
        self.detail = detail
        self.late_seconds = late_seconds


class Profile:
    """Static properties of a target, empty or 0 while there is no runner.

    Attributes:
        service: Service that it runs.
        zone: Availability zone.
        cpu: Capacity in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Number of GPUs.
        labels: Labels, including kind and rack.
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
    """Free capacity of a target; queued runs are subtracted, so values may be negative.

    Attributes:
        accepting: False while it accepts no new work.
        cpu: Free CPU in thousandths of a core.
        memory_mb: Free memory in megabytes.
        gpus: Free GPUs.
        slowness: Ratio of measured to declared run times, or the ratio projected from current runs
            if that is higher.
        isolating: True while it runs, or makes room for, tasks that have to be isolated; it accepts
            only tasks of the same request then.
        routes: Routes whose tasks are known to take longer or shorter there than others.
    """

    __slots__ = ("accepting", "cpu", "memory_mb", "gpus", "slowness", "isolating", "routes")

    def __init__(
        self,
        *,
        accepting: bool,
        cpu: int,
        memory_mb: int,
        gpus: int,
        slowness: float,
        isolating: bool = False,
        routes: tuple[RouteSpeed, ...] = (),
    ) -> None:
        self.accepting = accepting
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.slowness = slowness
        self.isolating = isolating
        self.routes = routes


class LateStart:
    """A task with a start that may still be carried out late by the target's runner.

    Attributes:
        task: Name of the task.
        seconds: Time in seconds for which the task may start on this target only, 0 once each of
            its starts there is final.
    """

    __slots__ = ("task", "seconds")

    def __init__(self, *, task: str, seconds: float) -> None:
        self.task = task
        self.seconds = seconds


class AgentFrame:
    """A frame from an agent to an entry.

    Attributes:
        agent: Name of the agent's instance.
        lifetime: Id of the current run of its process.
        session: Number of the session.
        seen: Sequence number of the newest frame received in the session, 0 before the first.
        stamp: Timestamp on the agent's boot clock in seconds.
        load: Free capacity of the target.
        profile: Properties of the target; only in the first frame of a session and after a
            change, None otherwise.
        ended: Ended attempts not yet sent in the session.
        active: Names of the entry's tasks at the agent; only in the first frame of a session.
        unconfirmed: Names of those whose start is due, under way, or had no answer.
        opening: True in the first frame of a session.
        routes_version: Newest version of the routing document that an entry has reported, 0 if none
            has.
        routes_holder: Address of that entry, empty if unknown.
        next_seconds: Time in seconds until the next frame at the latest.
        crashes: Recent crashes of the target's runner not yet sent in the session.
        late_starts: Tasks of any entry with a start that may be carried out late, or was until
            lately, unless sent in the session.
        zones: Statuses of zones that the entry isn't known to have.
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
        "unconfirmed",
        "opening",
        "routes_version",
        "routes_holder",
        "next_seconds",
        "crashes",
        "late_starts",
        "zones",
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
        crashes: tuple[CrashReport, ...] = (),
        unconfirmed: list[str] | None = None,
        late_starts: tuple[LateStart, ...] = (),
        zones: tuple[ZoneStatus, ...] = (),
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
        self.unconfirmed = unconfirmed or []
        self.opening = opening
        self.routes_version = routes_version
        self.routes_holder = routes_holder
        self.next_seconds = next_seconds
        self.crashes = crashes
        self.late_starts = late_starts
        self.zones = zones


class Role(enum.StrEnum):
    """Role of a process on the platform."""

    ENTRY = "entry"
    AGENT = "agent"


class Member:
    """An entry or an agent on the platform.

    Attributes:
        name: Name of the instance.
        role: Role of the process.
        address: Address of its gRPC service, `host:port`.
        service: Service of the target beside an agent, empty for an entry or if unknown.
    """

    __slots__ = ("name", "role", "address", "service")

    def __init__(self, *, name: str, role: Role, address: str, service: str = "") -> None:
        self.name = name
        self.role = role
        self.address = address
        self.service = service
