"""The dispatcher aggregate: all that one entry knows, and the effects it asks for."""

import heapq
from collections.abc import Callable

from comfreysill.dispatch.estimate import Estimates
from comfreysill.dispatch.messages import AnswerCaller, Effect, Handover, PeerMessage
from comfreysill.dispatch.placement import Place, place_by_finish
from comfreysill.dispatch.queue import ServiceQueue
from comfreysill.dispatch.reserve import Demand
from comfreysill.dispatch.retries import RetryBudget
from comfreysill.floor.document import NO_FLOOR
from comfreysill.job.job import Job
from comfreysill.job.types import Answer, JobKey, Submission
from comfreysill.partition.epoch import Epoch
from comfreysill.partition.owned import OwnedPartition
from comfreysill.target.view import Target

AUTHORITY_SECONDS = 5.0
CLOCK_SKEW_SECONDS = 0.5
CLAIM_WAIT_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.5
ASK_LOAD_SECONDS = 0.25
PEER_TIMEOUT_SECONDS = 2.0
HORIZON_SECONDS = 120.0
RETENTION_SECONDS = 30.0
PROOF_WAIT_SECONDS = 1.0
SUSPECT_SECONDS = 1.0
FENCED_WAIT_SECONDS = 1.0
ROSTER_INTERVAL_SECONDS = 1.0
REROUTE_SECONDS = 0.2


class Peer:
    """Another entry.

    Attributes:
        name: Incarnation name.
        connected: True while the link to it is open.
        dead: True once a refused connection proved that its process has ended.
        session: Number of the link to it, raised with each connection.
        heard_session: Number of the newest link on which it was heard.
        heard_at: Unix time in seconds of its last frame.
        leaving: True when it gives up its partitions.
        floor_version: Version of the floor document in force there.
        roster_revision: Revision of the table up to which it knows the targets.
        floor_sent: Newest version that was sent to it on the open link.
        outbox: Messages for its next frame.
    """

    __slots__ = (
        "name",
        "connected",
        "dead",
        "session",
        "heard_session",
        "heard_at",
        "leaving",
        "floor_version",
        "roster_revision",
        "floor_sent",
        "outbox",
        "last_sent_at",
    )

    def __init__(self, *, name: str, heard_at: float) -> None:
        self.name = name
        self.connected = False
        self.dead = False
        self.session = 0
        self.heard_session = 0
        self.heard_at = heard_at
        self.leaving = False
        self.floor_version = 0
        self.roster_revision = 0
        self.floor_sent = 0
        self.outbox: list[PeerMessage] = []
        self.last_sent_at = 0.0


class Receipt:
    """A submission at the entry that took it from a caller.

    Attributes:
        submission: The job as submitted.
        callers: Numbers of the callers that wait for the answer.
        sent_to: Entry that has the submission now; empty while none has.
        sent_at: Unix time in seconds at which it was sent there.
    """

    __slots__ = ("submission", "callers", "sent_to", "sent_at")

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission
        self.callers: list[int] = []
        self.sent_to = ""
        self.sent_at = 0.0


class Proof:
    """An answer with the verdict "not run" that waits until ownership is validated."""

    __slots__ = ("answer", "listeners", "epoch", "asked_at", "cycle")

    def __init__(
        self,
        *,
        answer: Answer,
        listeners: frozenset[str],
        epoch: Epoch,
        asked_at: float,
        cycle: int,
    ) -> None:
        self.epoch = epoch
        self.answer = answer
        self.listeners = listeners
        self.asked_at = asked_at
        self.cycle = cycle


class Fencing:
    """How a partition was lost: to which owner, and when in Unix seconds."""

    __slots__ = ("owner", "fenced_at")

    def __init__(self, *, owner: str, fenced_at: float) -> None:
        self.owner = owner
        self.fenced_at = fenced_at


class Dispatcher:
    """State of one entry; the functions of this package change it.

    Attributes:
        name: Incarnation name of the entry.
        targets: Targets by agent name.
        peers: Other entries by name.
        owned_partitions: Partitions that this entry claims or owns.
        numbers: Highest epoch number seen for each partition.
        fenced: How each partition was lost last.
        receipts: Submissions taken from callers.
        queues: Waiting jobs by service.
        backlogs: Seconds of waiting work by service and class.
        proofs: Refusals that wait for a validation of ownership.
        handovers: Handovers of partitions that this entry hasn't claimed yet.
        retries: Budget of the tasks that are sent out again.
        roster_read_at: Start time of the newest successful read of the list of targets.
        roster_failed_at: Start time of the newest read of that list that failed.
        roster_revision: Revision of the table up to which the targets are known.
        ledgers_lost_at: Newest Unix time in seconds at which an agent's ledger was lost.
        floor: Floor document in force.
        floor_text: Its JSON text.
        leaving: True once this entry gives up its partitions.
        effects: What the process has to do; taken by `flush`.
        cycle: Number of the current cycle; frames sent at its end carry it.
        ping_cycle: Each agent has to be sent a frame at the end of this cycle or later.
        unsettled: True while claims, takeovers or doubts have to be looked at each cycle.
        timers: Heap of (Unix time in seconds, order, job) for deadlines and expiries.
    """

    __slots__ = (
        "name",
        "place",
        "targets",
        "peers",
        "owned_partitions",
        "numbers",
        "fenced",
        "receipts",
        "queues",
        "queued_tasks",
        "queued_by_team",
        "backlogs",
        "job_count",
        "estimates",
        "demand",
        "proofs",
        "handovers",
        "roster_read_at",
        "roster_failed_at",
        "roster_revision",
        "ledgers_lost_at",
        "leaving",
        "floor",
        "floor_text",
        "effects",
        "counters",
        "observe",
        "ping_cycle",
        "unsettled",
        "cycle",
        "timers",
        "timer_order",
        "retries",
        "next_report_at",
    )

    def __init__(
        self,
        *,
        name: str,
        place: Place = place_by_finish,
        observe: "Observe | None" = None,
    ) -> None:
        self.name = name
        self.place = place
        self.targets: dict[str, Target] = {}
        self.peers: dict[str, Peer] = {}
        self.owned_partitions: dict[int, OwnedPartition] = {}
        self.numbers: dict[int, int] = {}
        self.fenced: dict[int, Fencing] = {}
        self.receipts: dict[JobKey, Receipt] = {}
        self.queues: dict[str, ServiceQueue] = {}
        self.queued_tasks = 0
        self.queued_by_team: dict[str, int] = {}
        self.backlogs: dict[str, list[float]] = {}
        self.job_count = 0
        self.estimates = Estimates()
        self.demand = Demand()
        self.proofs: list[Proof] = []
        self.handovers: dict[int, list[Handover]] = {}
        self.roster_read_at = self.roster_failed_at = 0.0
        self.roster_revision = 0
        self.ledgers_lost_at = 0.0
        self.leaving = False
        self.floor = NO_FLOOR
        self.floor_text = b""
        self.effects: list[Effect] = []
        self.counters: dict[str, int] = {}
        self.observe = observe or _ignore
        self.ping_cycle = -1
        self.unsettled = True
        self.cycle = 0
        self.timers: list[tuple[float, int, Job]] = []
        self.timer_order = 0
        self.retries = RetryBudget()
        self.next_report_at = 0.0


Observe = Callable[[str, float, str, str], None]


def _ignore(name: str, value: float, team: str, task_class: str) -> None:
    """Drops an observation."""


def count(dispatcher: Dispatcher, name: str, amount: int = 1) -> None:
    """Adds to a counter."""
    dispatcher.counters[name] = dispatcher.counters.get(name, 0) + amount


def answer_caller(dispatcher: Dispatcher, caller: int, answer: Answer) -> None:
    """Asks the process to give a caller its answer."""
    dispatcher.effects.append(AnswerCaller(caller=caller, answer=answer))


def push_timer(dispatcher: Dispatcher, when: float, job: Job) -> None:
    """Has a job looked at again at a Unix time in seconds."""
    dispatcher.timer_order += 1
    heapq.heappush(dispatcher.timers, (when, dispatcher.timer_order, job))
