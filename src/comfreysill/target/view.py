"""An entry's view of one target: the session with its agent, load, slowness and failures."""

from collections import deque

from comfreysill.job.types import TaskClass
from comfreysill.partition.epoch import Epoch
from comfreysill.target.frames import Load
from comfreysill.target.messages import (
    EntryMessage,
    LedgerRecord,
)

# Least weight of a new sample in the moving average of the slowness.
SLOWNESS_SMOOTHING = 0.03
NO_TASKS_BY_CLASS = (0,) * len(TaskClass)
EJECT_AFTER_FAILURES = 4
PROBE_INTERVAL_SECONDS = 2.0


class Registration:
    """Registration of a target, as read from the platform's store.

    Attributes:
        agent: Name of the agent beside the target.
        incarnation: Id of one run of the agent's process.
        host: IP address at which the agent listens.
        port: TCP port at which the agent listens.
        zone: Availability zone.
        services: Services whose tasks the target runs.
        revision: Revision of the store at which the registration was written.
    """

    __slots__ = ("agent", "incarnation", "host", "port", "zone", "services", "revision")

    def __init__(
        self,
        *,
        agent: str,
        incarnation: str,
        host: str,
        port: int,
        zone: str,
        services: frozenset[str],
        revision: int,
    ) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.host = host
        self.port = port
        self.zone = zone
        self.services = services
        self.revision = revision


class SentFrame:
    """A frame that the agent has not yet acknowledged.

    Attributes:
        sequence: Number of the frame within the session.
        cycle: Cycle of the entry at whose end it was sent.
        sent_at: Unix time in seconds.
        starts: Number of tasks in it by class.
    """

    __slots__ = ("sequence", "cycle", "sent_at", "starts")

    def __init__(
        self, *, sequence: int, cycle: int, sent_at: float, starts: tuple[int, ...]
    ) -> None:
        self.sequence = sequence
        self.cycle = cycle
        self.sent_at = sent_at
        self.starts = starts


class Target:
    """A target as one entry sees it; it is identified by the name of the agent beside it.

    Attributes:
        registration: Latest registration of the target.
        registration_known_at: Unix time in seconds at which this entry learned of the registered
            incarnation.
        incarnation: Incarnation of the agent in the last received frame; empty before the first
            and once its process is known to have ended.
        session: Number of the current or last session, 0 before the first.
        connected: True while the session is open.
        handshake_done: True once a frame of the agent was received in the open session.
        discovered_cycle: Cycle of the entry in which the incarnation was first seen; before that,
            cycle in which the target was added.
        disconnected_at: Unix time in seconds at which the last session was closed; before the
            first, time at which the target was added.
        validated_at: Unix time in seconds at which the newest acknowledged frame was sent, 0 for
            none; the authority to start tasks is counted from this time.
        validated_cycle: Cycle of the entry in which that frame was sent, -1 for none.
        last_sent_at: Unix time in seconds at which the last frame was sent, 0 for none.
        last_sent_cycle: Cycle of the entry in which that frame was sent, -1 for none.
        load: Load as last reported, without slots before the first report.
        unreported: Number of starts by class that the last report doesn't cover.
        load_requested: True while the agent is to report as soon as a slot is free.
        slowness: Run time relative to the average target, 1.0 for the average.
        samples: Number of tasks that have contributed to the slowness.
        failures: Number of consecutive failed tasks.
        probe_at: Unix time in seconds of the next probe, 0 unless ejected.
        outbox: Messages for the next frame.
        sent_sequence: Sequence number of the last frame sent in this session, 0 for none.
        received_sequence: Sequence number of the last frame received in this session, 0 for none.
        sent_frames: Frames that are not acknowledged yet, oldest first.
        claimed_records: Ledger records of a claim's response that is not complete yet.
        floor_sent: Newest floor version that was sent in the open session, 0 for none.
        requested_claims: Epochs of claims that were sent in this session, by partition.
    """

    __slots__ = (
        "registration",
        "registration_known_at",
        "incarnation",
        "session",
        "connected",
        "handshake_done",
        "discovered_cycle",
        "disconnected_at",
        "validated_at",
        "validated_cycle",
        "last_sent_at",
        "last_sent_cycle",
        "load",
        "unreported",
        "load_requested",
        "slowness",
        "samples",
        "failures",
        "probe_at",
        "outbox",
        "sent_sequence",
        "received_sequence",
        "sent_frames",
        "claimed_records",
        "floor_sent",
        "requested_claims",
    )

    def __init__(self, *, registration: Registration, now: float, cycle: int) -> None:
        self.registration = registration
        self.registration_known_at = now
        self.incarnation = ""
        self.session = 0
        self.connected = False
        self.handshake_done = False
        self.discovered_cycle = cycle
        self.disconnected_at = now
        self.validated_at = 0.0
        self.validated_cycle = -1
        self.last_sent_at = 0.0
        self.last_sent_cycle = -1
        self.load = Load(
            slots=0,
            queue_limit=0,
            running=0,
            queued=0,
            active=NO_TASKS_BY_CLASS,
            draining=False,
            floor_version=0,
        )
        self.unreported = [0] * len(NO_TASKS_BY_CLASS)
        self.load_requested = False
        self.slowness = 1.0
        self.samples = 0
        self.failures = 0
        self.probe_at = 0.0
        self.outbox: list[EntryMessage] = []
        self.sent_sequence = 0
        self.received_sequence = 0
        self.sent_frames: deque[SentFrame] = deque()
        self.floor_sent = 0
        self.claimed_records: list[LedgerRecord] = []
        self.requested_claims: dict[int, Epoch] = {}

    @property
    def name(self) -> str:
        """Name of the agent beside the target."""
        return self.registration.agent


def open_session(target: Target, session: int) -> None:
    """Starts a new session and discards the state of the previous one."""
    target.session = session
    target.connected = True
    target.handshake_done = False
    target.sent_sequence = 0
    target.received_sequence = 0
    target.sent_frames.clear()
    target.outbox.clear()
    target.claimed_records.clear()
    target.requested_claims.clear()
    target.unreported = [0] * len(NO_TASKS_BY_CLASS)
    target.load_requested = False
    target.floor_sent = 0


def close_session(target: Target, now: float) -> None:
    """Records that the session is closed."""
    target.connected = False
    target.handshake_done = False
    target.disconnected_at = now
    target.outbox.clear()
    target.claimed_records.clear()
    target.requested_claims.clear()


def acknowledge_frames(target: Target, acknowledged: int, load: Load) -> None:
    """Applies the load and the acknowledged sequence number of an agent's report."""
    while target.sent_frames and target.sent_frames[0].sequence <= acknowledged:
        frame = target.sent_frames.popleft()
        target.validated_at = frame.sent_at
        target.validated_cycle = frame.cycle
        for task_class, starts in enumerate(frame.starts):
            target.unreported[task_class] -= starts
    target.load = load
    if load.running + load.queued < load.slots:
        target.load_requested = False


def count_free(target: Target, queue_share: float) -> int:
    """Returns how many more tasks fit in the slots and in the used share of the target's queue.

    Negative if the target has more tasks already; 0 without a frame of the agent in the open
    session, and while the target is draining.
    """
    if not target.handshake_done or target.load.draining:
        return 0
    queue = min(int(target.load.slots * queue_share), target.load.queue_limit)
    limit = target.load.slots + queue
    return limit - count_busy(target)


def count_busy(target: Target) -> int:
    """Returns how many tasks occupy the target: running, queued, or sent and not yet reported."""
    return target.load.running + target.load.queued + sum(target.unreported)


def count_urgent(target: Target, task_class: TaskClass) -> int:
    """Returns how many tasks of classes more urgent than `task_class` occupy the target."""
    return sum(target.load.active[:task_class]) + sum(target.unreported[:task_class])


def update_slowness(target: Target, ratio: float) -> None:
    """Updates the moving average of the slowness.

    Args:
        target: The target.
        ratio: Measured run time of a task divided by its estimate.
    """
    # A ratio outside the bounds counts as the bound.
    bounded = min(max(ratio, 0.1), 10.0)
    target.samples += 1
    # The first samples weigh more.
    weight = max(SLOWNESS_SMOOTHING, 1 / (target.samples + 3))
    target.slowness += weight * (bounded - target.slowness)


def record_success(target: Target) -> None:
    """Resets the failure count and ends an ejection."""
    target.failures = 0
    target.probe_at = 0.0


def record_failure(target: Target, now: float) -> bool:
    """Counts a failed task.

    Returns:
        True if the target is ejected, after `EJECT_AFTER_FAILURES` consecutive failures or more.
    """
    target.failures += 1
    if target.failures < EJECT_AFTER_FAILURES:
        return False
    target.probe_at = now + PROBE_INTERVAL_SECONDS
    return True
