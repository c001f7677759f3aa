"""Messages to the task that owns the dispatcher."""

import asyncio

from comfreysill.dispatch.messages import PeerFrame
from comfreysill.floor.document import Floor
from comfreysill.job.types import Answer, JobKey, Submission, TaskClass
from comfreysill.platform.registry import Members
from comfreysill.target.frames import AgentFrame


class Submit:
    """A caller's submission; the answer is set on `reply`."""

    __slots__ = ("submission", "reply")

    def __init__(self, *, submission: Submission, reply: "asyncio.Future[Answer]") -> None:
        self.submission = submission
        self.reply = reply


class Cancel:
    """A caller cancels a job."""

    __slots__ = ("key",)

    def __init__(self, *, key: JobKey) -> None:
        self.key = key


class AgentConnected:
    """A link to an agent is open."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class AgentDisconnected:
    """A link to an agent is gone."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class AgentReported:
    """A frame of an agent."""

    __slots__ = ("frame",)

    def __init__(self, *, frame: AgentFrame) -> None:
        self.frame = frame


class AgentRefused:
    """An agent's address refused a connection at `tried_at`, in Unix seconds."""

    __slots__ = ("agent", "tried_at")

    def __init__(self, *, agent: str, tried_at: float) -> None:
        self.agent = agent
        self.tried_at = tried_at


class PeerRefused:
    """Another entry's address refused a connection."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class PeerConnected:
    """The link to another entry is open."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class PeerDisconnected:
    """The link to another entry is gone."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class PeerReported:
    """A frame of another entry."""

    __slots__ = ("frame",)

    def __init__(self, *, frame: PeerFrame) -> None:
        self.frame = frame


class MembersRead:
    """The list of registrations was read; `members` is None when the read failed.

    `started_at` is the Unix time in seconds at which the read began.
    """

    __slots__ = ("members", "started_at")

    def __init__(self, *, members: Members | None, started_at: float) -> None:
        self.members = members
        self.started_at = started_at


class CancelTeam:
    """An operator cancels a team's jobs; the number cancelled here is set on `reply`."""

    __slots__ = ("team", "task_class", "reply")

    def __init__(
        self, *, team: str, task_class: TaskClass | None, reply: "asyncio.Future[int]"
    ) -> None:
        self.team = team
        self.task_class = task_class
        self.reply = reply


class DrainTarget:
    """An operator drains a target or takes it back; whether it is known is set on `reply`."""

    __slots__ = ("agent", "draining", "reply")

    def __init__(self, *, agent: str, draining: bool, reply: "asyncio.Future[bool]") -> None:
        self.agent = agent
        self.draining = draining
        self.reply = reply


class FloorRead:
    """A floor document was read from the platform; `text` is its JSON form."""

    __slots__ = ("floor", "text")

    def __init__(self, *, floor: Floor, text: bytes) -> None:
        self.floor = floor
        self.text = text


class Tick:
    """Time to look at what is due."""

    __slots__ = ()


class Leave:
    """The entry is asked to stop."""

    __slots__ = ()


DispatcherMessage = (
    Submit
    | Cancel
    | CancelTeam
    | DrainTarget
    | AgentConnected
    | AgentDisconnected
    | AgentRefused
    | AgentReported
    | PeerConnected
    | PeerDisconnected
    | PeerRefused
    | PeerReported
    | MembersRead
    | FloorRead
    | Tick
    | Leave
)
