"""State of an entry: its requests, its view of the agents, and what its process has to do."""

from collections import deque

from comfreysill.exchange.messages import Batch, EntryFrame, Load, Profile
from comfreysill.request.request import Request, Task
from comfreysill.request.types import Specification, Verdict
from comfreysill.routes.table import NO_ROUTES


class Promise:
    """Room that a frame promised to tasks and that the agent's load may not cover yet."""

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
        service: Service of the target beside it, as far as was announced.
        rank: Its place in the order in which the entry takes agents into its panel.
        link_requested_at: Boot-clock time in seconds at which a link was requested, 0 for none.
        lifetime: Lifetime of its process, empty before the first frame.
        session: Number of the link, raised with each connection.
        connected: True while the link is open.
        handshake_done: True once the first frame of the link has come.
        opened_at: Boot-clock time in seconds at which the link was opened.
        last_frame_at: Boot-clock time in seconds of its last frame.
        next_seconds: Seconds after that within which its next frame was promised.
        stamp: Newest time stamp of the agent's own clock.
        stamp_sent: Newest time stamp that was echoed.
        sent_at: Boot-clock time in seconds of the last frame to it.
        number: Number of the last frame to it in the session.
        seen: Number of the newest frame that the agent has received.
        ended_seen: Number of the newest end that was taken in.
        profile: What the target is, None before the first frame.
        load: What the target has left, None before the first frame.
        promises: Room promised in frames that the agent may not have received.
        tasks: Tasks that the agent has, by name.
        orphaned: Names of tasks that an earlier lifetime of the agent had.
        batches: Tasks for the next frame.
        stops: Names of tasks to stop, for the next frame.
        hunger_sent: What the last frame said about waiting tasks.
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
        "stamp_sent",
        "sent_at",
        "number",
        "seen",
        "ended_seen",
        "profile",
        "load",
        "promises",
        "tasks",
        "orphaned",
        "batches",
        "stops",
        "hunger_sent",
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
        self.stamp_sent = 0.0
        self.sent_at = 0.0
        self.number = 0
        self.seen = 0
        self.ended_seen = 0
        self.profile: Profile | None = None
        self.load: Load | None = None
        self.promises: deque[Promise] = deque()
        self.tasks: dict[str, Task] = {}
        self.orphaned: set[str] = set()
        self.batches: list[Batch] = []
        self.stops: list[str] = []
        self.hunger_sent = 0


class CachedVerdict:
    """A verdict that is kept for a repetition of the request."""

    __slots__ = ("verdict", "expires_at")

    def __init__(self, *, verdict: Verdict, expires_at: float) -> None:
        self.verdict = verdict
        self.expires_at = expires_at


class Waiter:
    """A caller whose request waits until an abandoned run of the same id has ended."""

    __slots__ = ("caller", "specification")

    def __init__(self, *, caller: int, specification: Specification) -> None:
        self.caller = caller
        self.specification = specification


class SendVerdict:
    """Effect: gives a caller the verdict on its request.

    Attributes:
        caller: Number of the caller.
        verdict: The verdict.
        detail: Why, for people.
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


class CloseLink:
    """Effect: closes a silent link, so that a new one is opened."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class OpenLink:
    """Effect: keeps a link to an agent open from now on."""

    __slots__ = ("agent", "address")

    def __init__(self, *, agent: str, address: str) -> None:
        self.agent = agent
        self.address = address


class DropLink:
    """Effect: ends the link to an agent for good."""

    __slots__ = ("agent",)

    def __init__(self, *, agent: str) -> None:
        self.agent = agent


class FetchRoutes:
    """Effect: asks another entry for its routing document."""

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address


Effect = SendVerdict | SendFrame | CloseLink | OpenLink | DropLink | FetchRoutes


class EntryState:
    """All that one entry knows; the functions of this package change it.

    Attributes:
        name: Name of the entry's process, unique for each of its lifetimes.
        zone: Its availability zone.
        unix_offset: Seconds to add to the boot clock for Unix time.
        routes: Routing document in force.
        routes_due_at: Boot-clock time in seconds from which another entry is asked for a newer
            document, 0 while none is known.
        agents: Agents by name.
        subset_due_at: Boot-clock time in seconds at which the panel is chosen again.
        entries: Addresses of entries that agents should know.
        requests: Requests without a verdict, or with tasks that still end, by id.
        cached: Verdicts for repetitions, by id.
        waiters: Requests that wait for the end of an abandoned run, by id.
        queues: Requests with startable tasks by service.
        effects: What the process has to do; it takes them.
        events: Facts worth a log line; the process takes them.
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
        "order",
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
        self.order = 0
        self.effects: list[Effect] = []
        self.events: list[tuple[str, dict[str, object]]] = []
        self.counters: dict[str, int] = {}
        self.observe = observe or _ignore


def _ignore(name: str, value: float, route: str) -> None:
    """Drops an observation."""


def count(state: EntryState, name: str, amount: int = 1) -> None:
    """Adds to a counter."""
    state.counters[name] = state.counters.get(name, 0) + amount


def note_event(state: EntryState, text: str, **fields: object) -> None:
    """Keeps a fact for the log."""
    state.events.append((text, fields))
