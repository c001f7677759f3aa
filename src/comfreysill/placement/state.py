"""State of an entry: requests, agents, and the effects that its process has to carry out."""

from collections import deque

from comfreysill.exchange.messages import Batch, EntryFrame, Load, Profile
from comfreysill.request.request import Request, Task
from comfreysill.request.types import Specification, Verdict
from comfreysill.routes.table import NO_ROUTES


class Reservation:
    """Capacity of tasks in a sent frame that the agent's reported load may not include yet.

    Attributes:
        frame: Number of the frame.
        cpu: Thousandths of a core.
        memory_mb: Megabytes of memory.
        gpus: Accelerators.
    """

    __slots__ = ("frame", "cpu", "memory_mb", "gpus")

    def __init__(self, *, frame: int, cpu: int, memory_mb: int, gpus: int) -> None:
        self.frame = frame
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus


class Agent:
    """An agent as one entry sees it.

    Attributes:
        name: Name of its instance.
        address: Address of its link service.
        service: Announced service of the target beside it, empty if unknown.
        rank: Its rank for the entry's subset; the lowest is chosen first.
        link_requested_at: Boot-clock time in seconds at which a link was requested, 0 for none.
        lifetime: Id of its process incarnation, empty before the first frame.
        session: Number of the link, incremented with each connection.
        connected: True while the link is open.
        handshake_done: True once the opening frame of the link was received.
        opened_at: Boot-clock time in seconds at which the link was opened.
        last_frame_at: Boot-clock time in seconds of its last frame.
        next_seconds: Announced seconds until its next frame at the latest.
        stamp: Newest time stamp received, by the agent's own clock.
        stamp_echoed: Newest time stamp that was echoed to it.
        sent_at: Boot-clock time in seconds of the last frame to it.
        last_frame_number: Number of the last frame to it in the session.
        acknowledged_number: Number of the newest frame that it has acknowledged.
        ended_seen: Number of the newest task end that was processed.
        profile: Profile of its target, None before the first frame.
        load: Free capacity of its target, None before the first frame.
        reservations: Capacity of tasks in frames that it has not acknowledged.
        tasks: Tasks placed on it, by name.
        orphaned: Names of tasks placed on it that its process can't complete any more: it
            restarted, or its leases expired.
        batches: Tasks for the next frame.
        stops: Names of tasks to stop, for the next frame.
        demand_rank_sent: Rank of the most urgent waiting request in the last frame.
    """

    __slots__ = (
        "name",
        "address",
        "service",
        "rank",
        "link_requested_at",
        "lifetime",
        "session",
        "connected",
        "handshake_done",
        "opened_at",
        "last_frame_at",
        "next_seconds",
        "stamp",
        "stamp_echoed",
        "sent_at",
        "last_frame_number",
        "acknowledged_number",
        "ended_seen",
        "profile",
        "load",
        "reservations",
        "tasks",
        "orphaned",
        "batches",
        "stops",
        "demand_rank_sent",
    )

    def __init__(self, *, name: str, address: str, service: str = "", rank: int = 0) -> None:
        self.name = name
        self.address = address
        self.service = service
        self.rank = rank
        self.link_requested_at = 0.0
        self.lifetime = ""
        self.session = 0
        self.connected = False
        self.handshake_done = False
        self.opened_at = 0.0
        self.last_frame_at = 0.0
        self.next_seconds = 0.0
        self.stamp = 0.0
        self.stamp_echoed = 0.0
        self.sent_at = 0.0
        self.last_frame_number = 0
        self.acknowledged_number = 0
        self.ended_seen = 0
        self.profile: Profile | None = None
        self.load: Load | None = None
        self.reservations: deque[Reservation] = deque()
        self.tasks: dict[str, Task] = {}
        self.orphaned: set[str] = set()
        self.batches: list[Batch] = []
        self.stops: list[str] = []
        self.demand_rank_sent = 0


class CachedVerdict:
    """A verdict that is cached for repetitions of the request."""

    __slots__ = ("verdict", "expires_at")

    def __init__(self, *, verdict: Verdict, expires_at: float) -> None:
        self.verdict = verdict
        self.expires_at = expires_at


class Waiter:
    """A caller whose request waits until the ended request of the same id has no tasks left."""

    __slots__ = ("caller", "specification")

    def __init__(self, *, caller: int, specification: Specification) -> None:
        self.caller = caller
        self.specification = specification


class SendVerdict:
    """Effect: sends a caller the verdict on its request.

    Attributes:
        caller: Number of the caller.
        verdict: The verdict.
        detail: Reason, for people.
        retry_at: Boot-clock time in seconds at which a repetition makes sense, 0 for none.
    """

    __slots__ = ("caller", "verdict", "detail", "retry_at")

    def __init__(
        self, *, caller: int, verdict: Verdict, detail: str = "", retry_at: float = 0.0
    ) -> None:
        self.caller = caller
        self.verdict = verdict
        self.detail = detail
        self.retry_at = retry_at


class SendFrame:
    """Effect: sends a frame to an agent."""

    __slots__ = ("agent", "frame")

    def __init__(self, *, agent: str, frame: EntryFrame) -> None:
        self.agent = agent
        self.frame = frame


class CloseSession:
    """Effect: closes the session of a link that timed out; the link is reconnected."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class OpenLink:
    """Effect: opens a link to an agent and reconnects it after failures."""

    __slots__ = ("agent", "address")

    def __init__(self, *, agent: str, address: str) -> None:
        self.agent = agent
        self.address = address


class RemoveLink:
    """Effect: closes the link to an agent without reconnecting it."""

    __slots__ = ("agent",)

    def __init__(self, *, agent: str) -> None:
        self.agent = agent


class FetchRoutes:
    """Effect: fetches the routing document of another entry."""

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address


Effect = SendVerdict | SendFrame | CloseSession | OpenLink | RemoveLink | FetchRoutes


class EntryState:
    """State of one entry, changed by the functions of this package.

    Attributes:
        name: Name of the entry's process, unique for each of its lifetimes.
        zone: Its availability zone.
        unix_offset: Seconds to add to the boot clock for Unix time.
        routes: Routing document in force.
        routes_due_at: Boot-clock time in seconds at which another entry may be asked for a newer
            document, 0 while no newer one is known.
        agents: Agents by name.
        subset_due_at: Boot-clock time in seconds at which the subset is chosen again.
        entries: Addresses of entries, sent to agents for their announcements.
        requests: Requests without a verdict, or with tasks still placed, by id.
        cached: Final verdicts for repetitions, by id.
        cached_order: Ids of cached verdicts, oldest first.
        waiters: Callers waiting until the ended request of the same id is removed, by id.
        callers: Request ids by number of the waiting caller.
        queues: Heaps of requests with pending tasks, by service.
        ticked_at: Boot-clock time in seconds of the last tick.
        enqueue_count: Requests queued so far; orders equal requests by arrival.
        effects: Effects that the process has to carry out; it drains the list.
        events: Texts and fields of log lines; the process drains the list.
        counters: Counters by name.
        observe: Function that records a measured value by metric name and route.
    """

    __slots__ = (
        "name",
        "zone",
        "unix_offset",
        "routes",
        "routes_due_at",
        "agents",
        "subset_due_at",
        "entries",
        "requests",
        "cached",
        "cached_order",
        "waiters",
        "callers",
        "queues",
        "ticked_at",
        "enqueue_count",
        "effects",
        "events",
        "counters",
        "observe",
    )

    def __init__(self, *, name: str, zone: str, unix_offset: float, observe=None) -> None:
        self.name = name
        self.zone = zone
        self.unix_offset = unix_offset
        self.routes = NO_ROUTES
        self.routes_due_at = 0.0
        self.agents: dict[str, Agent] = {}
        self.subset_due_at = 0.0
        self.entries: list[str] = []
        self.requests: dict[str, Request] = {}
        self.cached: dict[str, CachedVerdict] = {}
        self.cached_order: deque[str] = deque()
        self.waiters: dict[str, list[Waiter]] = {}
        self.callers: dict[int, str] = {}
        self.queues: dict[str, list[tuple[int, int, float, int, Request]]] = {}
        self.ticked_at = 0.0
        self.enqueue_count = 0
        self.effects: list[Effect] = []
        self.events: list[tuple[str, dict[str, object]]] = []
        self.counters: dict[str, int] = {}
        self.observe = observe or _ignore


def _ignore(name: str, value: float, route: str) -> None:
    """Discards an observation."""


def count(state: EntryState, name: str, amount: int = 1) -> None:
    """Increments a counter."""
    state.counters[name] = state.counters.get(name, 0) + amount


def note_event(state: EntryState, text: str, **fields: object) -> None:
    """Adds a log line to the events."""
    state.events.append((text, fields))
