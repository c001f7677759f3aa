"""Messages between entries, and the effects that the dispatcher asks its process for."""

from comfreysill.job.types import Answer, JobKey, Submission, TaskClass
from comfreysill.partition.epoch import Epoch
from comfreysill.partition.owned import RecoveredTask
from comfreysill.target.frames import EntryFrame
from comfreysill.target.messages import (
    FloorUpdate,
)


class Forward:
    """Hands a submission to the owner of its partition."""

    __slots__ = ("submission",)

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission


class Answered:
    """Returns the answer of a forwarded submission."""

    __slots__ = ("answer",)

    def __init__(self, *, answer: Answer) -> None:
        self.answer = answer


class NotOwner:
    """Says that a forwarded submission or cancellation was not taken."""

    __slots__ = ("key",)

    def __init__(self, *, key: JobKey) -> None:
        self.key = key


class CancelJob:
    """Asks the owner to cancel a job."""

    __slots__ = ("key",)

    def __init__(self, *, key: JobKey) -> None:
        self.key = key


class CancelWave:
    """Asks an entry to cancel a team's jobs; `task_class` None stands for all classes."""

    __slots__ = ("team", "task_class")

    def __init__(self, *, team: str, task_class: TaskClass | None) -> None:
        self.team = team
        self.task_class = task_class


class HandedTask:
    """What the former owner knew of one task; `index` is its position in the job."""

    __slots__ = ("index", "task")

    def __init__(self, *, index: int, task: RecoveredTask) -> None:
        self.index = index
        self.task = task


class HandedJob:
    """One job in a handover."""

    __slots__ = ("key", "digest", "tasks")

    def __init__(self, *, key: JobKey, digest: bytes, tasks: tuple[HandedTask, ...]) -> None:
        self.key = key
        self.digest = digest
        self.tasks = tasks


class Handover:
    """Tells the next owner of a partition all that the former one knew about its jobs.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the former owner.
        known_since: Unix time in seconds; the former owner knows every job issued later.
        jobs: The jobs.
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
        entry: Incarnation name of the sender.
        recipient: Incarnation name of the entry that the frame is for.
        session: Number of the sender's link, raised with each connection.
        leaving: True when the sender gives up its partitions.
        floor_version: Version of the floor document in force at the sender.
        roster_revision: Revision of the table up to which the sender knows the targets.
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


class SendFrame:
    """Effect: send a frame on the open link to an agent."""

    __slots__ = ("agent", "frame")

    def __init__(self, *, agent: str, frame: EntryFrame) -> None:
        self.agent = agent
        self.frame = frame


class SendPeer:
    """Effect: send a frame to another entry."""

    __slots__ = ("entry", "frame")

    def __init__(self, *, entry: str, frame: PeerFrame) -> None:
        self.entry = entry
        self.frame = frame


class AnswerCaller:
    """Effect: give a waiting caller its answer."""

    __slots__ = ("caller", "answer")

    def __init__(self, *, caller: int, answer: Answer) -> None:
        self.caller = caller
        self.answer = answer


class CheckFloor:
    """Effect: parse and check a floor document that another entry has in force."""

    __slots__ = ("update",)

    def __init__(self, *, update: FloorUpdate) -> None:
        self.update = update


class MarkLost:
    """Effect: mark an agent's incarnation as gone; `lost_at` in Unix seconds ends its ledger."""

    __slots__ = ("agent", "incarnation", "lost_at")

    def __init__(self, *, agent: str, incarnation: str, lost_at: float) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.lost_at = lost_at


class RemoveEntry:
    """Effect: remove the registration of an entry that is gone."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class ReadRoster:
    """Effect: read the list of registrations from the platform at once."""

    __slots__ = ()


Removal = MarkLost | RemoveEntry
Effect = SendFrame | SendPeer | AnswerCaller | ReadRoster | CheckFloor | Removal
