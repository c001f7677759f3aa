"""Other entries as one entry sees them, and the claims that it has made at them."""

import enum
import math
import zlib

from comfreysill.exchange.claims import (
    Cancellation,
    CancellationStatus,
    ClaimRelease,
    ClaimRequest,
)
from comfreysill.request.request import Request
from comfreysill.request.types import Verdict

# A peer that could not be reached for so long is no longer counted on.
PEER_FAILURE_SECONDS = 5.0


class Peer:
    """Another entry, which keeps claims for this one.

    Attributes:
        address: Address of its services, `host:port`.
        name: Name of its instance, empty before its first frame.
        session: Number of the newest session of the link, 0 before the first; the sessions of all
            links of this entry are numbered together.
        duplicate: True if the same entry is reached at another address, and no link is kept here.
        connected: True while the session is open.
        usable: True from the first frame of a session until it ends or a reply is long overdue;
            the next reply makes it usable again.
        refused: True if its address has refused a connection since the last session, so that no
            process listens there.
        owes_since: Boot-clock time in seconds of the first claim or cancelling sent since its last
            frame, infinite if there was none.
        opened_at: Boot-clock time in seconds at which the newest session was opened, 0 before the
            first.
        unreachable_since: Boot-clock time in seconds since which it is not usable, 0 while it is.
        asked_at: Boot-clock time in seconds of the last frame sent to it that it has to answer, 0
            before the first.
        heartbeat_due: True if a frame is to be sent though there is nothing to tell.
        confirmed_at: Boot-clock time in seconds at which the newest frame that it has answered was
            sent, 0 before the first; see `claim_leases`.
        confirmed_since: Boot-clock time in seconds since when its answers have come without a gap
            in which claims may have ended.
        complete: Whether it knows all claims that it may have granted, by its newest frame.
        claims: Claims for the next frame, by number.
        releases: Ended claims for the next frame; those with a verdict are kept for a next session
            while there is none.
        cancellations: Cancelled requests for the next frame.
    """

    __slots__ = (
        "address",
        "name",
        "session",
        "duplicate",
        "connected",
        "usable",
        "refused",
        "owes_since",
        "opened_at",
        "unreachable_since",
        "asked_at",
        "heartbeat_due",
        "confirmed_at",
        "confirmed_since",
        "complete",
        "claims",
        "releases",
        "cancellations",
    )

    def __init__(self, *, address: str, now: float) -> None:
        self.address = address
        self.name = ""
        self.session = 0
        self.duplicate = False
        self.connected = False
        self.usable = False
        self.refused = False
        self.owes_since = math.inf
        self.opened_at = 0.0
        self.unreachable_since = now
        self.asked_at = 0.0
        self.heartbeat_due = False
        self.confirmed_at = 0.0
        self.confirmed_since = 0.0
        self.complete = False
        self.claims: dict[int, ClaimRequest] = {}
        self.releases: list[ClaimRelease] = []
        self.cancellations: list[Cancellation] = []


class ReplicaState(enum.IntEnum):
    """State of a claim at one registrar.

    WITHDRAWN is one that is released there until the claim is granted at a registrar before it, so
    that two claimants never wait for each other. LOST is one whose registrar is out of reach.
    """

    PENDING = 0
    GRANTED = 1
    HELD = 2
    WITHDRAWN = 3
    LOST = 4


class Replica:
    """A claim at one of its registrars.

    Attributes:
        address: Address of the registrar, empty for this entry itself.
        number: Number of the claim there; it rises from claim to claim.
        state: State of the claim there.
        sent_at: Boot-clock time in seconds at which it was made there, 0 before; once granted,
            that of the newest frame that the registrar had received by then.
        timeout_at: Boot-clock time in seconds at which it becomes LOST; infinite while its
            registrar is known to have it.
    """

    __slots__ = ("address", "number", "state", "sent_at", "timeout_at")

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.number = 0
        self.state = ReplicaState.PENDING
        self.sent_at = 0.0
        self.timeout_at = math.inf


class OwnClaim:
    """A claim of this entry.

    Attributes:
        request: The request.
        begun: True once its registrars were chosen.
        replicas: The claim at its registrars, in the order in which all entries rank them.
        settled: True once this entry may place the request's tasks.
        settled_at: Boot-clock time in seconds at which it last became so, 0 before.
        contested: True if another entry had the claim when it was made.
        made_at: Boot-clock time in seconds at which it was begun, 0 before.
        renewed_until: Boot-clock time in seconds until which the answers of all entries are waited
            for, 0 if they weren't all asked.
        awaited_until: Boot-clock times in seconds until which other entries wait for the request,
            by address of the registrar that tells.
    """

    __slots__ = (
        "request",
        "begun",
        "replicas",
        "settled",
        "settled_at",
        "contested",
        "made_at",
        "renewed_until",
        "awaited_until",
    )

    def __init__(self, *, request: Request) -> None:
        self.request = request
        self.begun = False
        self.replicas: list[Replica] = []
        self.settled = False
        self.settled_at = 0.0
        self.contested = False
        self.made_at = 0.0
        self.renewed_until = 0.0
        self.awaited_until: dict[str, float] = {}


class RemoteEnd:
    """The end of a request by what another entry has done with it.

    Attributes:
        request: The request.
        verdict: Its verdict here.
        detail: Human-readable reason.
    """

    __slots__ = ("request", "verdict", "detail")

    def __init__(self, *, request: Request, verdict: Verdict, detail: str) -> None:
        self.request = request
        self.verdict = verdict
        self.detail = detail


class OwnCancellation:
    """The cancelling of a request at this entry, until those that cancel it are answered.

    Attributes:
        request_id: Id of the request.
        number: Number of the cancelling.
        cancellers: Numbers of the callers that wait for the answer.
        begun_at: Boot-clock time in seconds at which it was begun.
        heard: Addresses of the entries that have replied, empty for this entry itself.
        status: The highest status of a reply that names no other entry.
        ended_by: Names of the entries at which the request has ended.
        holders: Names of the entries that hold the request's claim, by the address of the
            registrar that has told of it.
    """

    __slots__ = (
        "request_id",
        "number",
        "cancellers",
        "begun_at",
        "heard",
        "status",
        "ended_by",
        "holders",
    )

    def __init__(self, *, request_id: str, number: int, begun_at: float) -> None:
        self.request_id = request_id
        self.number = number
        self.cancellers: list[int] = []
        self.begun_at = begun_at
        self.heard: set[str] = set()
        self.status = CancellationStatus.UNKNOWN
        self.ended_by: set[str] = set()
        self.holders: dict[str, str] = {}


def is_failing(peer: Peer, now: float) -> bool:
    """Returns whether a peer could not be reached for PEER_FAILURE_SECONDS."""
    return not peer.usable and now - peer.unreachable_since > PEER_FAILURE_SECONDS


def rank_peer(address: str) -> int:
    """Returns the rank of an address in the choice of the entries that keep claims."""
    return zlib.crc32(address.encode())


def rank_registrar(instance: str, request_id: str) -> int:
    """Returns the rank of an instance in the choice of the registrars of a request."""
    return zlib.crc32(f"{instance} {request_id}".encode())
