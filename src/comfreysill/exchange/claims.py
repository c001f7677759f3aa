"""Messages between entries on the claims of requests.

A claimant asks a registrar for the claim of a request before it places the first task of it.
"""

import enum
from collections.abc import Sequence

from comfreysill.request.types import Verdict


class ClaimStatus(enum.IntEnum):
    """Status of a claim at a registrar.

    After HELD another reply to the same claim follows, once the holder has released the request.
    AWAITED tells the holder for how long others wait for the request.
    """

    GRANTED = 0
    HELD = 1
    ENDED = 2
    AWAITED = 3


class ClaimRequest:
    """A claim of a request.

    Attributes:
        request_id: Id of the request.
        number: Number of the claim at its claimant; it rises.
        seconds: Time in seconds after which nothing runs of the submission, infinite if unknown.
        settled: True if its claimant may have placed tasks of the request.
    """

    __slots__ = ("request_id", "number", "seconds", "settled")

    def __init__(
        self, *, request_id: str, number: int, seconds: float, settled: bool = False
    ) -> None:
        self.request_id = request_id
        self.number = number
        self.seconds = seconds
        self.settled = settled


class ClaimRelease:
    """The end of a claim: nothing runs any more of what its claimant has placed.

    Attributes:
        request_id: Id of the request.
        number: Number of the claim at its claimant.
        verdict: Final verdict of the request, None if it has ended without one.
    """

    __slots__ = ("request_id", "number", "verdict")

    def __init__(self, *, request_id: str, number: int, verdict: Verdict | None) -> None:
        self.request_id = request_id
        self.number = number
        self.verdict = verdict


class CancellationStatus(enum.IntEnum):
    """What an entry knows of a request that it is told to cancel.

    Attributes:
        UNKNOWN: It knows of no such request.
        KNOWN: It knows of it, and nothing of it is placed there any more.
        ENDED: The same, and no other entry has it: another one has granted its claim, or it has a
            result.
        HANDED_ON: Another entry holds its claim and was told; KNOWN follows when it is released.
    """

    UNKNOWN = 0
    KNOWN = 1
    ENDED = 2
    HANDED_ON = 3


class Cancellation:
    """A cancelled request.

    Attributes:
        request_id: Id of the request.
        number: Number of the cancelling at the sender, 0 if no reply is expected.
        seconds: Time in seconds for which it is kept in mind.
    """

    __slots__ = ("request_id", "number", "seconds")

    def __init__(self, *, request_id: str, number: int, seconds: float) -> None:
        self.request_id = request_id
        self.number = number
        self.seconds = seconds


class ClaimsFrame:
    """A frame from a claimant to a registrar.

    Attributes:
        entry: Name of the claimant, `instance@lifetime`.
        session: Number of the session; each connection is a new one.
        opening: True in the first frame of a session, which repeats the claimant's open claims.
        claims: Claims, in order.
        releases: Ended claims; they come before `claims`.
        cancellations: Cancelled requests; they come before `claims` and after `releases`.
        closing: True in the last frame of a session that the claimant closes while its process
            goes on.
        sent_at: Boot-clock time of the claimant in seconds at which it was built.
    """

    __slots__ = (
        "entry",
        "session",
        "opening",
        "claims",
        "releases",
        "cancellations",
        "closing",
        "sent_at",
    )

    def __init__(
        self,
        *,
        entry: str,
        session: int,
        opening: bool,
        claims: list[ClaimRequest],
        releases: list[ClaimRelease],
        cancellations: Sequence[Cancellation] = (),
        closing: bool = False,
        sent_at: float = 0.0,
    ) -> None:
        self.entry = entry
        self.session = session
        self.opening = opening
        self.claims = claims
        self.releases = releases
        self.cancellations = cancellations
        self.closing = closing
        self.sent_at = sent_at


class ClaimReply:
    """A registrar's reply to a claim.

    Attributes:
        request_id: Id of the request.
        number: Number of the claim at its claimant.
        status: Status of the claim.
        holder: Name of the entry that holds the claim, empty unless the status is HELD.
        verdict: Final verdict of the request, None unless the status is ENDED.
        seconds: Time in seconds after which nothing may run for those who wait, 0 if nobody does or
            the status isn't AWAITED.
    """

    __slots__ = ("request_id", "number", "status", "holder", "verdict", "seconds")

    def __init__(
        self,
        *,
        request_id: str,
        number: int,
        status: ClaimStatus,
        holder: str = "",
        verdict: Verdict | None = None,
        seconds: float = 0.0,
    ) -> None:
        self.request_id = request_id
        self.number = number
        self.status = status
        self.holder = holder
        self.verdict = verdict
        self.seconds = seconds


class CancellationReply:
    """An entry's reply to a cancelling.

    Attributes:
        request_id: Id of the request.
        number: Number of the cancelling at the entry that has told of it.
        status: What the replying entry knows of the request.
        holder: Name of the entry that holds the claim, empty unless the status is HANDED_ON.
    """

    __slots__ = ("request_id", "number", "status", "holder")

    def __init__(
        self, *, request_id: str, number: int, status: CancellationStatus, holder: str = ""
    ) -> None:
        self.request_id = request_id
        self.number = number
        self.status = status
        self.holder = holder


class ClaimRepliesFrame:
    """A frame from a registrar to a claimant; the first of a session answers the opening frame.

    Attributes:
        entry: Name of the registrar, `instance@lifetime`.
        session: Number of the claimant's session.
        replies: Replies to claims, in order.
        cancellations: Replies to cancellings, in order.
        echo: `sent_at` of the newest frame received in the session, 0 if none named it.
        complete: True if the registrar knows all claims that may have been granted before it
            started, or last stood still; see `ClaimRegistry`.
    """

    __slots__ = ("entry", "session", "replies", "cancellations", "echo", "complete")

    def __init__(
        self,
        *,
        entry: str,
        session: int,
        replies: list[ClaimReply],
        cancellations: Sequence[CancellationReply] = (),
        echo: float = 0.0,
        complete: bool = True,
    ) -> None:
        self.entry = entry
        self.session = session
        self.replies = replies
        self.cancellations = cancellations
        self.echo = echo
        self.complete = complete
