"""Messages to the asyncio task that owns the state of an agent on the platform."""

from comfreysill.exchange.messages import AgentFrame, EntryFrame
from comfreysill.execution.calls import CallReply, RenewReply, RunnerReport
from comfreysill.mailbox import Mailbox


class EntryFrameReceived:
    """A frame was received from an entry; `outbox` is the mailbox of its session."""

    __slots__ = ("frame", "outbox")

    def __init__(self, *, frame: EntryFrame, outbox: Mailbox[AgentFrame | None]) -> None:
        self.frame = frame
        self.outbox = outbox


class SessionClosed:
    """A session with an entry was closed; `outbox` is its mailbox."""

    __slots__ = ("outbox",)

    def __init__(self, *, outbox: Mailbox[AgentFrame | None]) -> None:
        self.outbox = outbox


class RunnerReportReceived:
    """A report of the runner was received."""

    __slots__ = ("report",)

    def __init__(self, *, report: RunnerReport) -> None:
        self.report = report


class RunnerDeregistered:
    """The runner has deregistered."""

    __slots__ = ("runner_id",)

    def __init__(self, *, runner_id: str) -> None:
        self.runner_id = runner_id


class RunnerCallFinished:
    """The runner has replied to a call, or the call has timed out or failed."""

    __slots__ = ("reply",)

    def __init__(self, *, reply: CallReply | RenewReply) -> None:
        self.reply = reply


class EntriesDiscovered:
    """Addresses of entries were read from the settings."""

    __slots__ = ("addresses",)

    def __init__(self, *, addresses: list[str]) -> None:
        self.addresses = addresses


class Tick:
    """Periodic tick for time-based checks."""

    __slots__ = ()


class Stop:
    """The process shuts down: no new work is accepted; `immediate` also stops all runs."""

    __slots__ = ("immediate",)

    def __init__(self, *, immediate: bool) -> None:
        self.immediate = immediate


AgentStateMessage = (
    EntryFrameReceived
    | SessionClosed
    | RunnerReportReceived
    | RunnerDeregistered
    | RunnerCallFinished
    | EntriesDiscovered
    | Tick
    | Stop
)
