"""Messages to the task that owns the ledger."""

from comfreysill.mailbox import Mailbox
from comfreysill.target.frames import AgentFrame, EntryFrame
from comfreysill.target.ledger import Record
from comfreysill.target.messages import (
    Outcome,
)


class EntryFrameReceived:
    """A frame from an entry, with the mailbox of the link on which it was received."""

    __slots__ = ("frame", "link")

    def __init__(self, *, frame: EntryFrame, link: Mailbox[AgentFrame | None]) -> None:
        self.frame = frame
        self.link = link


class LinkClosed:
    """A link to an entry was closed."""

    __slots__ = ("link",)

    def __init__(self, *, link: Mailbox[AgentFrame | None]) -> None:
        self.link = link


class RunnerAnnounced:
    """A runner announced itself or renewed its announcement.

    Attributes:
        host: IP address of the runner.
        port: TCP port of the runner.
        slots: Number of tasks that it runs concurrently.
        connections: Maximum number of connections to it.
        services: Services whose tasks it runs.
        received_at: Unix time in seconds at which the announcement was received.
    """

    __slots__ = ("host", "port", "slots", "connections", "services", "received_at")

    def __init__(
        self,
        *,
        host: str,
        port: int,
        slots: int,
        connections: int,
        services: frozenset[str],
        received_at: float,
    ) -> None:
        self.host = host
        self.port = port
        self.slots = slots
        self.connections = connections
        self.services = services
        self.received_at = received_at


class RunnerStopping:
    """The runner is stopping and accepts no new work."""

    __slots__ = ()


class RunEnded:
    """A call to the runner ended; `outcome` is None if the task certainly did not run."""

    __slots__ = ("record", "outcome", "payload", "run_seconds")

    def __init__(
        self, *, record: Record, outcome: Outcome | None, payload: bytes, run_seconds: float
    ) -> None:
        self.record = record
        self.outcome = outcome
        self.payload = payload
        self.run_seconds = run_seconds


class LedgerLost:
    """Reports when an earlier incarnation's ledger was lost, in Unix seconds, 0 for never."""

    __slots__ = ("lost_at",)

    def __init__(self, *, lost_at: float) -> None:
        self.lost_at = lost_at


class Tick:
    """A periodic timer fired."""

    __slots__ = ()


class Shutdown:
    """The process was asked to stop; queued tasks are returned to the owners of their jobs."""

    __slots__ = ()


LedgerMessage = (
    EntryFrameReceived
    | LinkClosed
    | RunnerAnnounced
    | RunnerStopping
    | RunEnded
    | LedgerLost
    | Tick
    | Shutdown
)
