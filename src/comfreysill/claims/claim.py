"""Claims, who holds them and who waits for them, as a registrar keeps them."""

import math
from collections import deque

from comfreysill.claims.cancellations import CancellationMemory
from comfreysill.exchange.claims import CancellationReply, ClaimReply
from comfreysill.request.types import Verdict


class Claimant:
    """An entry that claims a request.

    Attributes:
        entry: Name of the entry, `instance@lifetime`.
        number: Number of the claim at the entry.
        expires_at: Boot-clock time in seconds after which nothing runs of what it has placed,
            infinite if unknown.
        provisional: True if it was granted a claim that another one may hold, as the registrar
            didn't know all claims.
    """

    __slots__ = ("entry", "number", "expires_at", "provisional")

    def __init__(
        self, *, entry: str, number: int, expires_at: float, provisional: bool = False
    ) -> None:
        self.entry = entry
        self.number = number
        self.expires_at = expires_at
        self.provisional = provisional


class Canceller:
    """An entry with the name `entry` that cancels a request; `number` is that of its cancelling."""

    __slots__ = ("entry", "number")

    def __init__(self, *, entry: str, number: int) -> None:
        self.entry = entry
        self.number = number


class Claim:
    """The claim of one request.

    Attributes:
        holder: The claimant that may place the request's tasks.
        waiters: Claimants that wait for its release, in the order of their claims.
        cancellers: Entries that cancel the request and wait for its release.
    """

    __slots__ = ("holder", "waiters", "cancellers")

    def __init__(self, *, holder: Claimant) -> None:
        self.holder = holder
        self.waiters: list[Claimant] = []
        self.cancellers: list[Canceller] = []


class EndedClaim:
    """The final verdict of a request, kept until `expires_at` (boot clock in seconds)."""

    __slots__ = ("verdict", "expires_at")

    def __init__(self, *, verdict: Verdict, expires_at: float) -> None:
        self.verdict = verdict
        self.expires_at = expires_at


class AddressedReply:
    """A later reply to a claim or a cancelling, for the entry with the name `entry`."""

    __slots__ = ("entry", "reply")

    def __init__(self, *, entry: str, reply: ClaimReply | CancellationReply) -> None:
        self.entry = entry
        self.reply = reply


class ClaimRegistry:
    """The claims of one registrar, changed by the functions of this module.

    Attributes:
        claims: Open claims by request id.
        ended: Final verdicts by request id.
        ended_ids: Request ids of final verdicts, oldest first.
        cancelled: Requests that were cancelled; their claims are refused.
        heard_at: Boot-clock times in seconds of the last frames of claimants with an open session,
            by entry name.
        absent_since: Boot-clock times in seconds at which the sessions of claimants were closed, by
            entry name; entries with an open session are missing.
        late_replies: Replies to claims and cancellings that had to wait, for the process to send.
        complete_at: Boot-clock time in seconds from which nothing runs any more of claims that it
            doesn't know, as its process has just started or stood still; infinite before the first
            action of the process.
    """

    __slots__ = (
        "claims",
        "ended",
        "ended_ids",
        "cancelled",
        "heard_at",
        "absent_since",
        "late_replies",
        "complete_at",
    )

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}
        self.ended: dict[str, EndedClaim] = {}
        self.ended_ids: deque[str] = deque()
        self.cancelled = CancellationMemory()
        self.heard_at: dict[str, float] = {}
        self.absent_since: dict[str, float] = {}
        self.late_replies: list[AddressedReply] = []
        self.complete_at = math.inf
