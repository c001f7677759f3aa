"""Messages between entries, and effects that the dispatcher requests from the entry's process."""

from comfreysill.job.types import Answer, JobKey, Submission, TaskClass
from comfreysill.partition.epoch import Epoch
from comfreysill.partition.owned import RecoveredAttempt
from comfreysill.target.frames import EntryFrame
from comfreysill.target.messages import (
    FloorUpdate,
)


class Forward:
    """Forwards a submission to the entry that its partition is assigned to."""

    __slots__ = ("submission",)

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission


class Answered:
    """Answers a forwarded submission."""

    __slots__ = ("answer",)

    def __init__(self, *, answer: Answer) -> None:
        self.answer = answer


class NotOwner:
    """Reports that the sender doesn't own the partition of a forwarded job, or no longer does."""

    __slots__ = ("key",)

    def __init__(self, *, key: JobKey) -> None:
        self.key = key


class CancelJob:
    """Requests the cancellation of a job from the entry that its partition is assigned to."""

    __slots__ = ("key",)

    def __init__(self, *, key: JobKey) -> None:
        self.key = key


class CancelWave:
    """Requests the cancellation of a team's jobs; `task_class` None means all classes."""

    __slots__ = ("team", "task_class")

    def __init__(self, *, team: str, task_class: TaskClass | None) -> None:
        self.team = team
        self.task_class = task_class


class HandedTask:
    """An attempt, `task`, known to the former owner; `index` is its task's position in the job."""

    __slots__ = ("index", "task")

    def __init__(self, *, index: int, task: RecoveredAttempt) -> None:
        self.index = index
        self.task = task


class HandedJob:
    """State of one job at the former owner."""

    __slots__ = ("key", "digest", "tasks")

    def __init__(self, *, key: JobKey, digest: bytes, tasks: tuple[HandedTask, ...]) -> None:
        self.key = key
        self.digest = digest
        self.tasks = tasks


class Handover:
    """Transfers the former owner's records of a partition's jobs to the next owner.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the former owner.
        known_since: Unix time in seconds; the messages of the handover together cover every job
            issued later.
        jobs: State of the jobs, or of part of them; a large handover is split into several
            messages.
        last: True on the last message of the handover.
    """

    __slots__ = ("partition", "epoch", "known_since", "jobs", "last")

    def __init__(
        self,
        *,
        partition: int,
        epoch: Epoch,
        known_since: float,
        jobs: tuple[HandedJob, ...],
        last: bool,
    ) -> None:
        self.last = last
        self.partition = partition
        self.epoch = epoch
        self.known_since = known_since
        self.jobs = jobs


PeerMessage = Forward | Answered | NotOwner | CancelJob | CancelWave | FloorUpdate | Handover


class PeerFrame:
    """Messages from one entry to another; a frame without messages is a heartbeat.

    Attributes:
        entry: Name of the sender and id of the run of its process, `<name>@<id>`.
        recipient: Name and id, in the same form, of the entry that the frame is for.
        session: Number of the sender's session to the recipient.
        leaving: True when the sender is releasing its partitions.
        floor_version: Version of the floor document that the sender applies, 0 for none.
        roster_revision: Revision of the registration table that the sender's targets reflect, 0
            before the first read.
        messages: The messages.
    """

    __slots__ = (
        "entry",
        "recipient",
        "session",
        "leaving",
        "floor_version",
        "roster_revision",
        "messages",
    )

    def __init__(
        self,
        *,
        entry: str,
        recipient: str,
        session: int,
        leaving: bool,
        floor_version: int,
        roster_revision: int,
        messages: tuple[PeerMessage, ...],
    ) -> None:
        self.entry = entry
        self.recipient = recipient
        self.session = session
        self.leaving = leaving
        self.roster_revision = roster_revision
        self.floor_version = floor_version
        self.messages = messages


class SendAgentFrame:
    """Effect: send a frame to an agent."""

    __slots__ = ("agent", "frame")

    def __init__(self, *, agent: str, frame: EntryFrame) -> None:
        self.agent = agent
        self.frame = frame


class SendPeerFrame:
    """Effect: send a frame to another entry."""

    __slots__ = ("entry", "frame")

    def __init__(self, *, entry: str, frame: PeerFrame) -> None:
        self.entry = entry
        self.frame = frame


class AnswerCaller:
    """Effect: answer a waiting caller; `caller` is the caller's number at this entry."""

    __slots__ = ("caller", "answer")

    def __init__(self, *, caller: int, answer: Answer) -> None:
        self.caller = caller
        self.answer = answer


class AdoptFloorUpdate:
    """Effect: parse a floor document received from another entry and put it in force."""

    __slots__ = ("update",)

    def __init__(self, *, update: FloorUpdate) -> None:
        self.update = update


class MarkLedgerLost:
    """Effect: mark the ledger of an unreachable agent as lost.

    Attributes:
        agent: Name of the agent.
        incarnation: Incarnation whose ledger is marked.
        lost_at: Unix time in seconds until which the lost ledger may have recorded starts.
    """

    __slots__ = ("agent", "incarnation", "lost_at")

    def __init__(self, *, agent: str, incarnation: str, lost_at: float) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.lost_at = lost_at


class RemoveEntry:
    """Effect: remove the registration of an unreachable entry."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class ReadRoster:
    """Effect: read the roster (the list of registrations) immediately."""

    __slots__ = ()


# Both remove a registration from the roster.
Removal = MarkLedgerLost | RemoveEntry
Effect = SendAgentFrame | SendPeerFrame | AnswerCaller | ReadRoster | AdoptFloorUpdate | Removal
