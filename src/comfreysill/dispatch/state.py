"""The dispatcher aggregate: the state of one entry and the effects it requests.

It belongs to the job API, in which each partition has one owner entry and the agents' ledgers
record which tasks were started.
"""

import heapq
from collections.abc import Callable

from comfreysill.dispatch.estimate import RunTimeEstimates
from comfreysill.dispatch.messages import AnswerCaller, Effect, Handover, PeerMessage
from comfreysill.dispatch.placement import PlacementPolicy, place_by_finish
from comfreysill.dispatch.queue import ServiceQueue
from comfreysill.dispatch.reservations import Demand
from comfreysill.dispatch.retries import RetryBudget
from comfreysill.floor.document import NO_FLOOR
from comfreysill.job.job import Job
from comfreysill.job.types import Answer, JobKey, Submission
from comfreysill.partition.epoch import Epoch
from comfreysill.partition.owned import OwnedPartition
from comfreysill.target.view import Target

# Time after a validation of its ownership during which an entry may start tasks.
AUTHORITY_SECONDS = 5.0
CLOCK_SKEW_SECONDS = 0.5
# Time that a takeover waits for all ledgers; after that a majority of agents is enough.
CLAIM_TIMEOUT_SECONDS = 1.0
# Maximum time between frames to an agent; between those to another entry it is a third of this.
HEARTBEAT_INTERVAL_SECONDS = 1.5
LOAD_REQUEST_INTERVAL_SECONDS = 0.25
PEER_TIMEOUT_SECONDS = 2.0
# Maximum time from the submission of a job to its deadline, and from the time of issue in its id
# (or `issued_at`) to its submission.
HORIZON_SECONDS = 120.0
RETENTION_SECONDS = 30.0
VALIDATION_TIMEOUT_SECONDS = 1.0
UNREACHABLE_RETRY_SECONDS = 1.0
FENCED_BACKOFF_SECONDS = 1.0
ROSTER_INTERVAL_SECONDS = 1.0
REROUTE_INTERVAL_SECONDS = 0.2


class Peer:
    """Another entry.

    Attributes:
        name: Name of the entry and id of the run of its process, `<name>@<id>`.
        added_at: Unix time in seconds at which this entry learned of it.
        connected: True while this entry's session to it is open.
        dead: True once a refused connection proved that its process has ended, until a frame of it
            arrives.
        session: Number of this entry's newest session to it, 0 before the first.
        last_received_session: Number of its newest session to this entry that delivered a frame, 0
            before the first.
        last_received_at: Unix time in seconds of its last frame; before the first, `added_at`.
        leaving: True when it is releasing its partitions.
        floor_version: Version of the floor document that it applies, 0 if unknown or none.
        roster_revision: Revision of the registration table that its targets reflect, 0 if unknown.
        floor_sent: Newest floor version that was sent to it in the open session.
        outbox: Messages for its next frame.
        last_sent_at: Unix time in seconds of the last frame to it, 0 to send one at once.
    """

    __slots__ = (
        "name",
        "added_at",
        "connected",
        "dead",
        "session",
        "last_received_session",
        "last_received_at",
        "leaving",
        "floor_version",
        "roster_revision",
        "floor_sent",
        "outbox",
        "last_sent_at",
    )

    def __init__(self, *, name: str, added_at: float) -> None:
        self.name = name
        self.added_at = added_at
        self.connected = False
        self.dead = False
        self.session = 0
        self.last_received_session = 0
        self.last_received_at = added_at
        self.leaving = False
        self.floor_version = 0
        self.roster_revision = 0
        self.floor_sent = 0
        self.outbox: list[PeerMessage] = []
        self.last_sent_at = 0.0


class PendingSubmission:
    """A submission that a caller sent to this entry and that is not answered yet.

    Attributes:
        submission: The job as submitted.
        callers: Caller numbers that wait for the answer.
        assigned_to: Entry whose answer is accepted; empty while unassigned.
        assigned_at: Unix time in seconds at which the assignment last changed or was tried.
    """

    __slots__ = ("submission", "callers", "assigned_to", "assigned_at")

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission
        self.callers: list[int] = []
        self.assigned_to = ""
        self.assigned_at = 0.0


class UnvalidatedAnswer:
    """An answer with the verdict "not run" that is held until ownership is validated.

    Attributes:
        answer: The answer.
        listeners: Names of the entries that wait for it.
        epoch: Epoch of the partition when the answer was set.
        held_at: Unix time in seconds from which the answer is held.
        cycle: A majority of agents must acknowledge a frame sent in this cycle or later.
    """

    __slots__ = ("answer", "listeners", "epoch", "held_at", "cycle")

    def __init__(
        self,
        *,
        answer: Answer,
        listeners: frozenset[str],
        epoch: Epoch,
        held_at: float,
        cycle: int,
    ) -> None:
        self.epoch = epoch
        self.answer = answer
        self.listeners = listeners
        self.held_at = held_at
        self.cycle = cycle


class Fencing:
    """Loss of a partition to a new owner; `fenced_at` is a Unix time in seconds."""

    __slots__ = ("owner", "fenced_at")

    def __init__(self, *, owner: str, fenced_at: float) -> None:
        self.owner = owner
        self.fenced_at = fenced_at


class Dispatcher:
    """State of one entry; the functions of this package change it.

    Attributes:
        name: Name of the entry and id of the run of its process, `<name>@<id>`.
        place: Placement policy.
        targets: Targets by agent name.
        peers: Other entries by name.
        last_peer_session: Number of the newest session to any other entry, 0 before the first. An
            entry that is removed and comes back gets higher numbers than before.
        owned_partitions: Partitions that this entry claims or owns.
        epoch_numbers: Highest epoch number seen for each partition.
        fenced: Latest loss of each partition to another owner.
        pending_submissions: Unanswered submissions of callers.
        queues: Waiting jobs by service.
        queued_tasks: Number of waiting tasks.
        queued_by_team: Number of waiting tasks by team.
        backlogs: Seconds of waiting work by service and class.
        job_count: Number of jobs in the owned partitions, answered ones included.
        estimates: Statistics for run-time estimates.
        demand: Rate of started work by class.
        unvalidated_answers: Answers held until ownership is validated.
        handovers: Handovers of partitions that this entry hasn't claimed yet.
        roster_read_at: Unix time in seconds at which the newest successful read of the roster
            (the list of registrations) began, 0 before the first.
        roster_failed_at: Unix time in seconds at which the newest failed read of it began, 0 if
            none failed.
        roster_revision: Revision of the registration table that `targets` reflects.
        ledgers_lost_at: Newest Unix time in seconds at which an agent's ledger was lost, 0 for
            never.
        leaving: True once this entry is releasing its partitions.
        floor: Floor document in force.
        floor_text: JSON text of that document.
        effects: Work requested from the process; `flush` returns and clears it.
        counters: Event counts by metric name.
        observe: Callback that records an observation of a metric.
        cycle: Number of the current cycle; a cycle handles a batch of events and ends in `flush`.
        required_ack_cycle: Each agent is sent a frame in this cycle or later, for it to
            acknowledge immediately; -1 until a validation is needed.
        takeovers_pending: True while partitions must be checked each cycle, since one isn't open,
            has unread ledgers or isn't granted by each connected agent.
        timers: Heap of (Unix time in seconds, sequence number, job) for deadlines and expiries.
        timer_sequence: Sequence number of the latest timer.
        retry_budget: Budget of task retries.
        next_removal_check_at: Unix time in seconds of the next search for unreachable entries and
            agents.
    """

    __slots__ = (
        "name",
        "place",
        "targets",
        "peers",
        "last_peer_session",
        "owned_partitions",
        "epoch_numbers",
        "fenced",
        "pending_submissions",
        "queues",
        "queued_tasks",
        "queued_by_team",
        "backlogs",
        "job_count",
        "estimates",
        "demand",
        "unvalidated_answers",
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
        "required_ack_cycle",
        "takeovers_pending",
        "cycle",
        "timers",
        "timer_sequence",
        "retry_budget",
        "next_removal_check_at",
    )

    def __init__(
        self,
        *,
        name: str,
        place: PlacementPolicy = place_by_finish,
        observe: "Observe | None" = None,
    ) -> None:
        self.name = name
        self.place = place
        self.targets: dict[str, Target] = {}
        self.peers: dict[str, Peer] = {}
        self.owned_partitions: dict[int, OwnedPartition] = {}
        self.epoch_numbers: dict[int, int] = {}
        self.fenced: dict[int, Fencing] = {}
        self.pending_submissions: dict[JobKey, PendingSubmission] = {}
        self.queues: dict[str, ServiceQueue] = {}
        self.queued_tasks = 0
        self.queued_by_team: dict[str, int] = {}
        self.backlogs: dict[str, list[float]] = {}
        self.job_count = 0
        self.estimates = RunTimeEstimates()
        self.demand = Demand()
        self.unvalidated_answers: list[UnvalidatedAnswer] = []
        self.handovers: dict[int, list[Handover]] = {}
        self.roster_read_at = self.roster_failed_at = 0.0
        self.roster_revision = self.last_peer_session = 0
        self.ledgers_lost_at = 0.0
        self.leaving = False
        self.floor = NO_FLOOR
        self.floor_text = b""
        self.effects: list[Effect] = []
        self.counters: dict[str, int] = {}
        self.observe = observe or _discard_observation
        self.required_ack_cycle = -1
        self.takeovers_pending = True
        self.cycle = 0
        self.timers: list[tuple[float, int, Job]] = []
        self.timer_sequence = 0
        self.retry_budget = RetryBudget()
        self.next_removal_check_at = 0.0


Observe = Callable[[str, float, str, str], None]


def _discard_observation(name: str, value: float, team: str, task_class: str) -> None:
    """Ignores an observation."""


def count(dispatcher: Dispatcher, name: str, amount: int = 1) -> None:
    """Adds to a counter."""
    dispatcher.counters[name] = dispatcher.counters.get(name, 0) + amount


def answer_caller(dispatcher: Dispatcher, caller: int, answer: Answer) -> None:
    """Adds the effect that answers the caller with the given number."""
    dispatcher.effects.append(AnswerCaller(caller=caller, answer=answer))


def push_timer(dispatcher: Dispatcher, when: float, job: Job) -> None:
    """Schedules a check of a job at a Unix time in seconds."""
    dispatcher.timer_sequence += 1
    heapq.heappush(dispatcher.timers, (when, dispatcher.timer_sequence, job))
