"""Messages between entries, and the effects that the dispatcher asks its process for."""

from comfreysill.job.types import Answer, JobKey, Submission
from comfreysill.target.messages import EntryFrame, FloorUpdate


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


PeerMessage = Forward | Answered | NotOwner | CancelJob | FloorUpdate


class PeerFrame:
    """Messages from one entry to another; a frame without messages is a heartbeat.

    Attributes:
        entry: Incarnation name of the sender.
        session: Number of the sender's link, raised with each connection.
        leaving: True when the sender gives up its partitions.
        floor_version: Version of the floor document in force at the sender.
        roster_revision: Revision of the table up to which the sender knows the targets.
        messages: The messages.
    """

    __slots__ = ("entry", "session", "leaving", "floor_version", "roster_revision", "messages")

    def __init__(
        self,
        *,
        entry: str,
        session: int,
        leaving: bool,
        floor_version: int,
        roster_revision: int,
        messages: tuple[PeerMessage, ...],
    ) -> None:
        self.entry = entry
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


class ReadRoster:
    """Effect: read the list of registrations from the platform at once."""

    __slots__ = ()


Effect = SendFrame | SendPeer | AnswerCaller | ReadRoster
