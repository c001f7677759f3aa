"""Messages to the task that owns the ledger."""

from comfreysill.mailbox import Mailbox
from comfreysill.target.frames import AgentFrame, EntryFrame
from comfreysill.target.ledger import Record
from comfreysill.target.messages import (
    Outcome,
)


class LinkFrame:
    """A frame from an entry, with the mailbox of the link that it came on."""

    __slots__ = ("frame", "link")

    def __init__(self, *, frame: EntryFrame, link: Mailbox[AgentFrame | None]) -> None:
        self.frame = frame
        self.link = link


class LinkClosed:
    """A link to an entry is gone."""

    __slots__ = ("link",)

    def __init__(self, *, link: Mailbox[AgentFrame | None]) -> None:
        self.link = link


class RunnerAnnounced:
    """A runner announced itself or renewed its announcement.

    Attributes:
        host: IP address of the runner.
        port: TCP port of the runner.
        slots: How many tasks it runs at once.
        connections: How many connections it takes.
        services: Services whose tasks it runs.
        received_at: Unix time in seconds of the announcement.
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


class RunnerLeaving:
    """The runner takes no new work."""

    __slots__ = ()


class RunEnded:
    """A call to the runner ended; without an outcome the runner refused to run the task."""

    __slots__ = ("record", "outcome", "payload", "run_seconds")

    def __init__(
        self, *, record: Record, outcome: Outcome | None, payload: bytes, run_seconds: float
    ) -> None:
        self.record = record
        self.outcome = outcome
        self.payload = payload
        self.run_seconds = run_seconds


class LedgerLost:
    """The registration says when a former incarnation's ledger was lost."""

    __slots__ = ("lost_at",)

    def __init__(self, *, lost_at: float) -> None:
        self.lost_at = lost_at


class Tick:
    """Time to look at what is due."""

    __slots__ = ()


class Drain:
    """The agent is asked to stop; queued tasks go back to their owners."""

    __slots__ = ()


LedgerMessage = (
    LinkFrame | LinkClosed | RunnerAnnounced | RunnerLeaving | RunEnded | LedgerLost | Tick | Drain
)
