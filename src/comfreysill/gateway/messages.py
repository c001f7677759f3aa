"""Messages to the state task of an entry on the platform, and its replies to callers."""

import asyncio

from comfreysill.crashes.report import CrashReport
from comfreysill.exchange.claims import ClaimRepliesFrame, ClaimsFrame
from comfreysill.exchange.messages import AgentFrame, Member
from comfreysill.mailbox import Mailbox
from comfreysill.placement.whereabouts import Whereabouts
from comfreysill.request.types import CallerWait, CancelOutcome, Specification, Verdict
from comfreysill.routes.table import RouteTable
from comfreysill.zones.closures import ZoneReading


class Reply:
    """Reply to a caller.

    Attributes:
        verdict: The verdict on its request.
        detail: Human-readable reason of the verdict, may be empty.
        retry_seconds: Whole seconds after which the caller may repeat the request, 0 for a final
            verdict.
    """

    __slots__ = ("verdict", "detail", "retry_seconds")

    def __init__(self, *, verdict: Verdict, detail: str = "", retry_seconds: int = 0) -> None:
        self.verdict = verdict
        self.detail = detail
        self.retry_seconds = retry_seconds


class CancelReply:
    """Reply to a caller that has cancelled a request.

    Attributes:
        outcome: The answer.
        retry_seconds: Whole seconds after which the caller may cancel it again, 0 if it need not.
    """

    __slots__ = ("outcome", "retry_seconds")

    def __init__(self, *, outcome: CancelOutcome, retry_seconds: int = 0) -> None:
        self.outcome = outcome
        self.retry_seconds = retry_seconds


class Submit:
    """A caller has submitted a request.

    Attributes:
        caller: Number of the caller at this entry.
        specification: The request.
        wait: How long the caller waits.
    """

    __slots__ = ("caller", "specification", "wait")

    def __init__(self, *, caller: int, specification: Specification, wait: CallerWait) -> None:
        self.caller = caller
        self.specification = specification
        self.wait = wait


class CallerDisconnected:
    """The caller with the number `caller`, of the request `request_id`, has disconnected."""

    __slots__ = ("caller", "request_id")

    def __init__(self, *, caller: int, request_id: str) -> None:
        self.caller = caller
        self.request_id = request_id


class Cancel:
    """The caller with the number `canceller` has cancelled a request."""

    __slots__ = ("canceller", "request_id")

    def __init__(self, *, canceller: int, request_id: str) -> None:
        self.canceller = canceller
        self.request_id = request_id


class Locate:
    """An operator asks where the tasks of a request would go.

    Attributes:
        target: The request, or the id of an open one.
        future: Future of the answer.
    """

    __slots__ = ("target", "future")

    def __init__(self, *, target: Specification | str, future: asyncio.Future[Whereabouts]) -> None:
        self.target = target
        self.future = future


class SessionOpened:
    """A session of the link to an agent at an address was opened; the state task numbers it."""

    __slots__ = ("agent", "address")

    def __init__(self, *, agent: str, address: str) -> None:
        self.agent = agent
        self.address = address


class SessionClosed:
    """A session of the link to an agent was closed or has failed, or could not be opened.

    `session` is the number of the newest session, 0 before the first.
    """

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class AgentFrameReceived:
    """A frame was received on the link to `agent`; the frame names its sender itself."""

    __slots__ = ("agent", "frame")

    def __init__(self, *, agent: str, frame: AgentFrame) -> None:
        self.agent = agent
        self.frame = frame


class PeerSessionOpened:
    """A session with the registrar at an address was opened; the state task numbers it."""

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address


class PeerRefused:
    """The address of another entry has refused a connection: no process listens there.

    Attributes:
        address: Address of the other entry.
    """

    __slots__ = ("address",)

    def __init__(self, *, address: str) -> None:
        self.address = address


class PeerSessionClosed:
    """A session with a registrar was closed or has failed, or could not be opened.

    `session` is the number of the newest session, 0 before the first.
    """

    __slots__ = ("address", "session")

    def __init__(self, *, address: str, session: int) -> None:
        self.address = address
        self.session = session


class ClaimRepliesReceived:
    """A frame was received from the registrar at an address."""

    __slots__ = ("address", "frame")

    def __init__(self, *, address: str, frame: ClaimRepliesFrame) -> None:
        self.address = address
        self.frame = frame


class ClaimsReceived:
    """A frame was received from a claimant.

    Attributes:
        frame: The frame.
        outbox: Frames to send on the same connection; None closes it.
    """

    __slots__ = ("frame", "outbox")

    def __init__(self, *, frame: ClaimsFrame, outbox: Mailbox[ClaimRepliesFrame | None]) -> None:
        self.frame = frame
        self.outbox = outbox


class ClaimantDisconnected:
    """The connection of a claimant, known by its `outbox`, has ended."""

    __slots__ = ("outbox",)

    def __init__(self, *, outbox: Mailbox[ClaimRepliesFrame | None]) -> None:
        self.outbox = outbox


class MembersDiscovered:
    """Members were read from the store, announced, or named by another entry.

    Attributes:
        members: The members.
        second_hand: True if another entry named them; they may be out of date.
    """

    __slots__ = ("members", "second_hand")

    def __init__(self, *, members: list[Member], second_hand: bool = False) -> None:
        self.members = members
        self.second_hand = second_hand


class MemberRemoved:
    """The row of an agent or entry was removed from the store."""

    __slots__ = ("name",)

    def __init__(self, *, name: str) -> None:
        self.name = name


class EntriesDiscovered:
    """Addresses of entries were read from the settings."""

    __slots__ = ("addresses",)

    def __init__(self, *, addresses: list[str]) -> None:
        self.addresses = addresses


class RoutesRead:
    """A routing document was read or fetched; `text` is its undecoded form for other entries."""

    __slots__ = ("table", "text")

    def __init__(self, *, table: RouteTable, text: bytes) -> None:
        self.table = table
        self.text = text


class CrashesRead:
    """Reports of crashes were read from the store."""

    __slots__ = ("reports",)

    def __init__(self, *, reports: list[CrashReport]) -> None:
        self.reports = reports


class ZonesRead:
    """The closed zones were read from the store."""

    __slots__ = ("reading",)

    def __init__(self, *, reading: ZoneReading) -> None:
        self.reading = reading


class Tick:
    """The periodic timer has fired."""

    __slots__ = ()


class ConcludeRequests:
    """The process is about to exit: every open request has to get its verdict."""

    __slots__ = ()


EntryStateMessage = (
    Submit
    | CallerDisconnected
    | Cancel
    | Locate
    | SessionOpened
    | SessionClosed
    | AgentFrameReceived
    | PeerSessionOpened
    | PeerRefused
    | PeerSessionClosed
    | ClaimRepliesReceived
    | ClaimsReceived
    | ClaimantDisconnected
    | MembersDiscovered
    | MemberRemoved
    | EntriesDiscovered
    | RoutesRead
    | CrashesRead
    | ZonesRead
    | Tick
    | ConcludeRequests
)
