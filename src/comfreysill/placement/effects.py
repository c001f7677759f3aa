"""Effects of an entry's decisions, for its process to carry out."""

from comfreysill.exchange.claims import ClaimRepliesFrame, ClaimsFrame
from comfreysill.exchange.messages import EntryFrame
from comfreysill.request.types import CancelOutcome, Verdict


class SendVerdict:
    """Effect: sends a caller the verdict on its request.

    Attributes:
        caller: Number of the caller, in the order in which callers arrived at the entry.
        verdict: The verdict.
        detail: Human-readable reason.
        retry_at: Boot-clock time in seconds from which the caller may repeat the request, 0 for a
            final verdict.
    """

    __slots__ = ("caller", "verdict", "detail", "retry_at")

    def __init__(
        self, *, caller: int, verdict: Verdict, detail: str = "", retry_at: float = 0.0
    ) -> None:
        self.caller = caller
        self.verdict = verdict
        self.detail = detail
        self.retry_at = retry_at


class SendCancelReply:
    """Effect: answers a caller that has cancelled a request.

    Attributes:
        canceller: Number of the caller.
        outcome: The answer.
        retry_at: Boot-clock time in seconds from which it may cancel the request again, 0 unless
            the outcome is UNCERTAIN.
    """

    __slots__ = ("canceller", "outcome", "retry_at")

    def __init__(self, *, canceller: int, outcome: CancelOutcome, retry_at: float = 0.0) -> None:
        self.canceller = canceller
        self.outcome = outcome
        self.retry_at = retry_at


class SendFrame:
    """Effect: sends a frame to an agent."""

    __slots__ = ("agent", "frame")

    def __init__(self, *, agent: str, frame: EntryFrame) -> None:
        self.agent = agent
        self.frame = frame


class CloseSession:
    """Effect: closes a session that timed out; the link is then reconnected."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class OpenLink:
    """Effect: connects a link to an agent; it is reconnected after each failure."""

    __slots__ = ("agent", "address")

    def __init__(self, *, agent: str, address: str) -> None:
        self.agent = agent
        self.address = address


class RemoveLink:
    """Effect: disconnects the link to an agent without reconnecting it."""

    __slots__ = ("agent",)

    def __init__(self, *, agent: str) -> None:
        self.agent = agent


class FetchRoutes:
    """Effect: fetches the routing document from another entry."""

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address


class OpenPeerLink:
    """Effect: connects a link to another entry; it is reconnected after each failure."""

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address


class RemovePeerLink:
    """Effect: disconnects the link to another entry without reconnecting it."""

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address


class ClosePeerSession:
    """Effect: closes a session with another entry that timed out; the link is then reconnected."""

    __slots__ = ("address", "session")

    def __init__(self, *, address: str, session: int) -> None:
        self.address = address
        self.session = session


class SendClaims:
    """Effect: sends a frame to the registrar at an address."""

    __slots__ = ("address", "frame")

    def __init__(self, *, address: str, frame: ClaimsFrame) -> None:
        self.address = address
        self.frame = frame


class SendClaimReplies:
    """Effect: sends a frame to a claimant, on its newest session; `entry` is its name."""

    __slots__ = ("entry", "frame")

    def __init__(self, *, entry: str, frame: ClaimRepliesFrame) -> None:
        self.entry = entry
        self.frame = frame


Effect = (
    SendVerdict
    | SendCancelReply
    | SendFrame
    | CloseSession
    | OpenLink
    | RemoveLink
    | FetchRoutes
    | OpenPeerLink
    | RemovePeerLink
    | ClosePeerSession
    | SendClaims
    | SendClaimReplies
)
