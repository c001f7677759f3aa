"""Messages to the asyncio task that owns the ledger."""

from comfreysill.mailbox import Mailbox
from comfreysill.target.frames import AgentFrame, EntryFrame
from comfreysill.target.ledger import Record
from comfreysill.target.messages import (
    Outcome,
)


class EntryFrameReceived:
    """A frame was received from an entry; `outbox` is that of its session."""

    __slots__ = ("frame", "outbox")

    def __init__(self, *, frame: EntryFrame, outbox: Mailbox[AgentFrame | None]) -> None:
        self.frame = frame
        self.outbox = outbox


class SessionClosed:
    """The session with an entry, identified by its outbox, was closed."""

    __slots__ = ("outbox",)

    def __init__(self, *, outbox: Mailbox[AgentFrame | None]) -> None:
        self.outbox = outbox


class RunnerAnnounced:
    """A runner announced itself or renewed its announcement.

    Attributes:
        host: IP address of the runner.
        port: TCP port of the runner.
        slots: Number of tasks that the runner runs concurrently.
        connections: Maximum number of connections to the runner.
        services: Services whose tasks the runner runs.
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
    """The runner is stopping: queued and new tasks are refused until it announces itself again."""

    __slots__ = ()


class RunEnded:
    """A call to the runner ended.

    Attributes:
        record: Record of the task.
        outcome: Outcome of the task, None if it certainly did not run.
        payload: Result of a finished task, or the error text of a failed one.
        run_seconds: Duration of the call in seconds.
    """

    __slots__ = ("record", "outcome", "payload", "run_seconds")

    def __init__(
        self, *, record: Record, outcome: Outcome | None, payload: bytes, run_seconds: float
    ) -> None:
        self.record = record
        self.outcome = outcome
        self.payload = payload
        self.run_seconds = run_seconds


class SetLedgerLostAt:
    """Sets when an earlier incarnation's ledger was lost, in Unix seconds, 0 for never."""

    __slots__ = ("lost_at",)

    def __init__(self, *, lost_at: float) -> None:
        self.lost_at = lost_at


class Tick:
    """A periodic timer fired."""

    __slots__ = ()


class Shutdown:
    """The agent was asked to stop: it drains, and exits once its running tasks have ended."""

    __slots__ = ()


LedgerMessage = (
    EntryFrameReceived
    | SessionClosed
    | RunnerAnnounced
    | RunnerStopping
    | RunEnded
    | SetLedgerLostAt
    | Tick
    | Shutdown
)
