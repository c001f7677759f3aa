"""Messages to the task that owns an agent's runs."""

from comfreysill.exchange.messages import AgentFrame, EntryFrame
from comfreysill.mailbox import Mailbox
from comfreysill.running.calls import CallReply, RenewReply, RunnerReport


class EntryReported:
    """A frame of an entry has come, on the link with that mailbox."""

    __slots__ = ("frame", "outbox")

    def __init__(self, *, frame: EntryFrame, outbox: Mailbox[AgentFrame | None]) -> None:
        self.frame = frame
        self.outbox = outbox


class LinkClosed:
    """A link to an entry is gone."""

    __slots__ = ("outbox",)

    def __init__(self, *, outbox: Mailbox[AgentFrame | None]) -> None:
        self.outbox = outbox


class RunnerReported:
    """The runner has reported."""

    __slots__ = ("report",)

    def __init__(self, *, report: RunnerReport) -> None:
        self.report = report


class RunnerLeft:
    """The runner says that it ends."""

    __slots__ = ("runner_id",)

    def __init__(self, *, runner_id: str) -> None:
        self.runner_id = runner_id


class RunnerReplied:
    """The runner has replied to a call, or the call is given up."""

    __slots__ = ("reply",)

    def __init__(self, *, reply: CallReply | RenewReply) -> None:
        self.reply = reply


class EntriesFound:
    """Addresses of entries were learned."""

    __slots__ = ("addresses",)

    def __init__(self, *, addresses: list[str]) -> None:
        self.addresses = addresses


class Tick:
    """Time has passed."""

    __slots__ = ()


class Stop:
    """The process ends: no new work is taken; `now` is set when all runs have to end."""

    __slots__ = ("at_once",)

    def __init__(self, *, at_once: bool) -> None:
        self.at_once = at_once


BookMessage = (
    EntryReported
    | LinkClosed
    | RunnerReported
    | RunnerLeft
    | RunnerReplied
    | EntriesFound
    | Tick
    | Stop
)
