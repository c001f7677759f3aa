"""An agent as one entry sees it: its link, its target's load, and what is placed there.

A link is the lasting relation of the entry to one agent; a session is one connection of it.
"""

from collections import deque

from comfreysill.exchange.messages import Batch, Load, Profile
from comfreysill.request.request import Task
from comfreysill.zones.closures import ToldZones


class Reservation:
    """Capacity for tasks of an unacknowledged frame; the agent's load may not account for it yet.

    Attributes:
        frame_number: Sequence number of the frame in the session.
        cpu: CPU in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Number of GPUs.
        isolated: True if the tasks have to be isolated.
    """

    __slots__ = ("frame_number", "cpu", "memory_mb", "gpus", "isolated")

    def __init__(
        self, *, frame_number: int, cpu: int, memory_mb: int, gpus: int, isolated: bool = False
    ) -> None:
        self.frame_number = frame_number
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.gpus = gpus
        self.isolated = isolated


class Agent:
    """An agent as one entry sees it.

    Attributes:
        name: Name of its instance.
        address: Address of its link service, `host:port`; empty once the agent is gone.
        service: Announced service of its target, empty if unknown.
        subset_rank: Rank in the choice of the entry's subset; the lowest is chosen first.
        link_requested_at: Boot-clock time in seconds of the request of its link, 0 without one.
        lifetime: Id of the current run of its process, empty before the first frame.
        session: Number of the newest session of the link, 0 before the first.
        connected: True while the session is open.
        handshake_done: True once the opening frame of the session was received.
        opened_at: Boot-clock time in seconds of the opening of the newest session, 0 before any.
        last_frame_at: Boot-clock time in seconds of the receipt of its last frame, 0 before any.
        next_seconds: Announced maximum time in seconds from the last frame to the next.
        newest_timestamp: Newest timestamp received (the agent's boot clock, seconds), 0 before any.
        echoed_timestamp: Newest timestamp echoed to it in the session, 0 before the first.
        sent_at: Boot-clock time in seconds of the last frame sent in the session, 0 before any.
        last_sent_number: Sequence number of the last frame sent in the session, 0 before the first.
        acknowledged_number: That of the newest one it has acknowledged, 0 before the first.
        ended_seen: That of the newest ended attempt processed in the lifetime, 0 before the first.
        profile: Profile of its target, None before the first frame.
        load: Free capacity of its target, None before the first frame.
        reservations: Capacity reserved for tasks in frames that it has not acknowledged.
        tasks: Tasks placed on it, by name.
        unconfirmed: Tasks placed on it whose start it may have no answer to, by name, with the
            sequence number of the frame that placed them, 0 if that was in an earlier session.
        abandoned: Those tasks placed on it that it can't complete any more, by name.
        batches: Tasks for the next frame.
        stops: Names of tasks to stop, for the next frame.
        demand_rank_sent: Demand rank in the last frame sent, 0 for none; see `rank_demand`.
        told_zones: What it knows of zones from the session.
        is_withheld: True while no tasks are placed on it, as its link is given back.
    """

    __slots__ = (
        "name",
        "address",
        "service",
        "subset_rank",
        "link_requested_at",
        "lifetime",
        "session",
        "connected",
        "handshake_done",
        "opened_at",
        "last_frame_at",
        "next_seconds",
        "newest_timestamp",
        "echoed_timestamp",
        "sent_at",
        "last_sent_number",
        "acknowledged_number",
        "ended_seen",
        "profile",
        "load",
        "reservations",
        "tasks",
        "unconfirmed",
        "abandoned",
        "batches",
        "stops",
        "demand_rank_sent",
        "told_zones",
        "is_withheld",
    )

    def __init__(self, *, name: str, address: str, service: str = "", subset_rank: int = 0) -> None:
        self.name = name
        self.address = address
        self.service = service
        self.subset_rank = subset_rank
        self.link_requested_at = 0.0
        self.lifetime = ""
        self.session = 0
        self.connected = False
        self.handshake_done = False
        self.opened_at = 0.0
        self.last_frame_at = 0.0
        self.next_seconds = 0.0
        self.newest_timestamp = 0.0
        self.echoed_timestamp = 0.0
        self.sent_at = 0.0
        self.last_sent_number = 0
        self.acknowledged_number = 0
        self.ended_seen = 0
        self.profile: Profile | None = None
        self.load: Load | None = None
        self.reservations: deque[Reservation] = deque()
        self.tasks: dict[str, Task] = {}
        self.unconfirmed: dict[str, int] = {}
        self.abandoned: dict[str, AbandonedTask] = {}
        self.batches: list[Batch] = []
        self.stops: list[str] = []
        self.demand_rank_sent = 0
        self.told_zones = ToldZones()
        self.is_withheld = False


class AbandonedTask:
    """A task that its agent can't complete any more, as the process restarted or fell silent.

    Attributes:
        lifetime: Id of the run of the agent's process that had the task.
        unconfirmed: True if its start may not have been answered.
        late_until: Boot-clock time in seconds after which nothing runs of its start.
    """

    __slots__ = ("lifetime", "unconfirmed", "late_until")

    def __init__(self, *, lifetime: str, unconfirmed: bool, late_until: float) -> None:
        self.lifetime = lifetime
        self.unconfirmed = unconfirmed
        self.late_until = late_until
