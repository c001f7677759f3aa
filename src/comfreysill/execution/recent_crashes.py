"""Crashes of the runner that an agent keeps for its entries."""

from comfreysill.crashes.report import CrashReport


class RecentCrash:
    """A crash of the runner, kept for entries that don't know of it yet.

    Attributes:
        number: Sequence number among the crashes in the agent's lifetime, from 1.
        report: The report.
        expires_at: Boot-clock time in seconds from which it is no longer sent.
    """

    __slots__ = ("number", "report", "expires_at")

    def __init__(self, *, number: int, report: CrashReport, expires_at: float) -> None:
        self.number = number
        self.report = report
        self.expires_at = expires_at


class UnsettledCrash:
    """A crash of the runner while start calls had no reply yet.

    Attributes:
        crash_id: Id of the crash, empty until it has been reported.
        lifetime: Run of the runner's process that crashed.
        runs: Task and route of the runs that may have been there, by run number.
        open_starts: Task and route of the starts without a reply, by run number.
    """

    __slots__ = ("crash_id", "lifetime", "runs", "open_starts")

    def __init__(
        self,
        *,
        lifetime: str,
        runs: dict[int, tuple[str, str]],
        open_starts: dict[int, tuple[str, str]],
    ) -> None:
        self.crash_id = ""
        self.lifetime = lifetime
        self.runs = runs
        self.open_starts = open_starts
