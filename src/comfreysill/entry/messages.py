"""Messages to the asyncio task that owns the dispatcher."""

import asyncio

from comfreysill.dispatch.messages import PeerFrame
from comfreysill.floor.document import Floor
from comfreysill.job.types import Answer, JobKey, Submission, TaskClass
from comfreysill.platform.registry import Roster
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
    """A session with an agent was opened; `session` is its number."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class AgentDisconnected:
    """A session with an agent was closed, or could not be opened; `session` is its number."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class AgentFrameReceived:
    """A frame was received from an agent."""

    __slots__ = ("frame",)

    def __init__(self, *, frame: AgentFrame) -> None:
        self.frame = frame


class AgentConnectionRefused:
    """An agent's address refused a connection that was tried at `tried_at`, in Unix seconds."""

    __slots__ = ("agent", "tried_at")

    def __init__(self, *, agent: str, tried_at: float) -> None:
        self.agent = agent
        self.tried_at = tried_at


class PeerConnectionRefused:
    """Another entry's address refused a connection."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class PeerConnected:
    """The connection over which frames are sent to another entry was opened."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class PeerDisconnected:
    """The connection over which frames are sent to another entry was closed, or not opened."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class PeerFrameReceived:
    """A frame was received from another entry."""

    __slots__ = ("frame",)

    def __init__(self, *, frame: PeerFrame) -> None:
        self.frame = frame


class RosterRead:
    """A read of the roster, all registered entries and agents, succeeded or failed.

    Attributes:
        roster: The roster, None if the read failed.
        started_at: Unix time in seconds at which the read began.
    """

    __slots__ = ("roster", "started_at")

    def __init__(self, *, roster: Roster | None, started_at: float) -> None:
        self.roster = roster
        self.started_at = started_at


class CancelTeam:
    """An operator cancels a team's jobs.

    Attributes:
        team: Name of the team.
        task_class: Class of the jobs to cancel, None for all classes.
        reply: Receives the number of jobs cancelled at this entry.
    """

    __slots__ = ("team", "task_class", "reply")

    def __init__(
        self, *, team: str, task_class: TaskClass | None, reply: "asyncio.Future[int]"
    ) -> None:
        self.team = team
        self.task_class = task_class
        self.reply = reply


class SetTargetDraining:
    """An operator drains or resumes a target; `reply` receives whether its agent is reachable."""

    __slots__ = ("agent", "draining", "reply")

    def __init__(self, *, agent: str, draining: bool, reply: "asyncio.Future[bool]") -> None:
        self.agent = agent
        self.draining = draining
        self.reply = reply


class FloorRead:
    """A new floor document was read from the store; `text` is its JSON form."""

    __slots__ = ("floor", "text")

    def __init__(self, *, floor: Floor, text: bytes) -> None:
        self.floor = floor
        self.text = text


class Tick:
    """A periodic timer fired."""

    __slots__ = ()


class Shutdown:
    """The entry was asked to stop: it releases its partitions and answers its callers."""

    __slots__ = ()


DispatcherMessage = (
    Submit
    | Cancel
    | CancelTeam
    | SetTargetDraining
    | AgentConnected
    | AgentDisconnected
    | AgentConnectionRefused
    | AgentFrameReceived
    | PeerConnected
    | PeerDisconnected
    | PeerConnectionRefused
    | PeerFrameReceived
    | RosterRead
    | FloorRead
    | Tick
    | Shutdown
)
