"""State of an entry on the platform: requests, agents, and effects for its process to carry out."""

from collections import deque

from comfreysill.claims.claim import ClaimRegistry
from comfreysill.crashes.ledger import CrashLedger
from comfreysill.placement.admission import Admission
from comfreysill.placement.agent_state import Agent
from comfreysill.placement.allotment import Allotment
from comfreysill.placement.effects import Effect
from comfreysill.placement.link_need import DEFAULT_MAX_LINK_SHARE, LinkDemand
from comfreysill.placement.peers import OwnCancellation, OwnClaim, Peer, RemoteEnd
from comfreysill.request.request import Request
from comfreysill.request.types import CallerWait, Specification, Verdict
from comfreysill.routes.table import NO_ROUTES
from comfreysill.waits.ledger import WaitLedger
from comfreysill.zones.closures import NO_CLOSURES


class Binding:
    """Restriction of a task to the target of one agent; see `bindings`.

    Attributes:
        agent: Name of the agent.
        lifetime: Id of the run of the agent's process that knew of a late start there, empty if
            another run of the task was there.
        starts_at: Boot-clock time in seconds from which the task may start there.
        expires_at: Boot-clock time in seconds after which the task may start elsewhere.
    """

    __slots__ = ("agent", "lifetime", "starts_at", "expires_at")

    def __init__(
        self, *, agent: str, lifetime: str, expires_at: float, starts_at: float = 0.0
    ) -> None:
        self.agent = agent
        self.lifetime = lifetime
        self.starts_at = starts_at
        self.expires_at = expires_at


class CachedVerdict:
    """A final verdict, cached to answer repetitions of the request.

    Attributes:
        verdict: The verdict.
        expires_at: Boot-clock time in seconds at which it expires.
    """

    __slots__ = ("verdict", "expires_at")

    def __init__(self, *, verdict: Verdict, expires_at: float) -> None:
        self.verdict = verdict
        self.expires_at = expires_at


class Waiter:
    """A caller that repeats the id of an ended request some of whose tasks are still placed.

    It is answered, or its request accepted, once those tasks have ended.

    Attributes:
        caller: Number of the caller.
        specification: Its request.
        wait: How long it waits.
    """

    __slots__ = ("caller", "specification", "wait")

    def __init__(self, *, caller: int, specification: Specification, wait: CallerWait) -> None:
        self.caller = caller
        self.specification = specification
        self.wait = wait


class RouteDemand:
    """Work that callers of a route have requested lately.

    Attributes:
        service: Service of the route.
        work: Work in CPU seconds, which decays with time.
        updated_at: Boot-clock time in seconds of the last update.
    """

    __slots__ = ("service", "work", "updated_at")

    def __init__(self, *, service: str, updated_at: float) -> None:
        self.service = service
        self.work = 0.0
        self.updated_at = updated_at


class EntryState:
    """State of one entry on the platform, changed by the functions of this package.

    Attributes:
        name: Name of the entry's instance and id of the run of its process, joined by `@`.
        zone: Its availability zone.
        unix_offset: Seconds to add to the boot clock to get Unix time.
        retry_seconds: Seconds from the end of a caller's wait until it sends its request again.
        routes: Route table in use.
        closures: What is known of closed availability zones.
        routes_due_at: Boot-clock time in seconds from which another entry may be asked for a newer
            routing document, 0 while none is known.
        agents: Agents by name.
        address_owners: Names of agents by address; an address belongs to one agent at a time.
        remote_factor: Factor on the run time of a task outside the rack of its data.
        waits: Waits of tasks for places near their data.
        subset_due_at: Boot-clock time in seconds at which the subset is chosen again.
        link_demand: Links by need to agents beyond the subset.
        entries: Addresses of entries, its own first; sent to agents for their announcements.
        peers: Other entries to which a link was requested, by address.
        is_registrar: Whether other entries choose this one to keep claims, as far as it knows.
        last_peer_session: Number of the newest session with any of them, 0 before the first.
        linking_until: Boot-clock time in seconds until which requests wait for these links, or 0.
        acted_at: Boot-clock time in seconds at which this process has last acted, 0 before.
        stood_still_until: That of its last action after a pause that may end claims, 0 if none.
        registry: Claims that this entry keeps for all entries.
        claimants: Numbers of the newest open sessions of other entries with `registry`, by name.
        echoes: `sent_at` of the newest frames in these sessions that named it, by name.
        claims: Claims of this entry, by request id.
        last_claim_number: Number of its newest claim or cancelling, 0 before the first.
        cancellations: Cancellings at this entry that are not answered yet, by request id.
        remote_ends: Requests that have ended by what another entry did, not concluded yet.
        requests: Requests without a verdict or with tasks still placed, by request id.
        allotment: Memory that they take.
        cached: Final verdicts for repeated requests, by request id.
        cached_ids: Request ids of cached verdicts, oldest first.
        crashes: Crashes of runners that the entry knows of.
        bindings: Bindings of tasks to targets, by the task's name; see `bindings`.
        demand: Demand of routes, by route.
        admission: What it has learned of the room of services and routes.
        waiters: Callers waiting for the tasks of an ended request to end, by request id.
        callers: Request ids by number of the caller, for each caller not answered yet.
        deadlines: Heap of (time, deadline count, request); see `deadlines`.
        deadline_count: Number of deadlines pushed so far; puts otherwise equal ones in order.
        queues: Heap of (band, priority, due time, enqueue count, request) by service; see `queue`.
        ticked_at: Boot-clock time in seconds of the last tick.
        resumed_at: Boot-clock time in seconds of the last tick after a suspension.
        enqueue_count: Number of requests queued so far; puts otherwise equal ones in order.
        effects: Effects to carry out, drained by the process.
        events: Texts and fields of log lines, drained by the process.
        counters: Counters by name.
        observe: Function that records a measured value, called with metric name, value and route.
    """

    __slots__ = (
        "name",
        "zone",
        "unix_offset",
        "retry_seconds",
        "routes",
        "closures",
        "routes_due_at",
        "agents",
        "address_owners",
        "remote_factor",
        "waits",
        "subset_due_at",
        "link_demand",
        "entries",
        "peers",
        "is_registrar",
        "last_peer_session",
        "linking_until",
        "acted_at",
        "stood_still_until",
        "registry",
        "claimants",
        "echoes",
        "claims",
        "last_claim_number",
        "cancellations",
        "remote_ends",
        "requests",
        "allotment",
        "cached",
        "cached_ids",
        "crashes",
        "bindings",
        "demand",
        "admission",
        "waiters",
        "callers",
        "deadlines",
        "deadline_count",
        "queues",
        "ticked_at",
        "resumed_at",
        "enqueue_count",
        "effects",
        "events",
        "counters",
        "observe",
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        unix_offset: float,
        remote_factor: float = 1.0,
        retry_seconds: float = 0.0,
        max_link_share: float = DEFAULT_MAX_LINK_SHARE,
        observe=None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.unix_offset = unix_offset
        self.retry_seconds = retry_seconds
        self.routes = NO_ROUTES
        self.closures = NO_CLOSURES
        self.routes_due_at = 0.0
        self.agents: dict[str, Agent] = {}
        self.address_owners: dict[str, str] = {}
        self.remote_factor = remote_factor
        self.waits = WaitLedger()
        self.subset_due_at = 0.0
        self.link_demand = LinkDemand(max_share=max_link_share)
        self.entries: list[str] = []
        self.peers: dict[str, Peer] = {}
        self.is_registrar = True
        self.last_peer_session = 0
        self.linking_until = 0.0
        self.acted_at = 0.0
        self.stood_still_until = 0.0
        self.registry = ClaimRegistry()
        self.claimants: dict[str, int] = {}
        self.echoes: dict[str, float] = {}
        self.claims: dict[str, OwnClaim] = {}
        self.last_claim_number = 0
        self.cancellations: dict[str, OwnCancellation] = {}
        self.remote_ends: list[RemoteEnd] = []
        self.requests: dict[str, Request] = {}
        self.allotment = Allotment()
        self.cached: dict[str, CachedVerdict] = {}
        self.cached_ids: deque[str] = deque()
        self.crashes = CrashLedger()
        self.bindings: dict[str, list[Binding]] = {}
        self.demand: dict[str, RouteDemand] = {}
        self.admission = Admission()
        self.waiters: dict[str, list[Waiter]] = {}
        self.callers: dict[int, str] = {}
        self.deadlines: list[tuple[float, int, Request]] = []
        self.deadline_count = 0
        self.queues: dict[str, list[tuple[int, int, float, int, Request]]] = {}
        self.ticked_at = 0.0
        self.resumed_at = 0.0
        self.enqueue_count = 0
        self.effects: list[Effect] = []
        self.events: list[tuple[str, dict[str, object]]] = []
        self.counters: dict[str, int] = {}
        self.observe = observe or _ignore


def _ignore(name: str, value: float, route: str) -> None:
    """Stands in for `observe` where nothing is recorded."""


def count(state: EntryState, name: str, amount: int = 1) -> None:
    """Adds to a counter, which starts at 0."""
    state.counters[name] = state.counters.get(name, 0) + amount


def note_event(state: EntryState, text: str, **fields: object) -> None:
    """Queues a log line for the process to write."""
    state.events.append((text, fields))
