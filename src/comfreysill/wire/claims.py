"""Conversion of the frames in `comfreysill.exchange.claims` to and from their protobuf form."""

import math

from comfreysill.exchange.claims import (
    Cancellation,
    CancellationReply,
    CancellationStatus,
    ClaimRelease,
    ClaimRepliesFrame,
    ClaimReply,
    ClaimRequest,
    ClaimsFrame,
    ClaimStatus,
)
from comfreysill.request.types import FINAL_VERDICTS, Verdict
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.errors import FrameError, decode_enum
from comfreysill.wire.fields import check_name, check_number

MIN_SECONDS = 0.001
# Maximum number of claims and releases in a frame.
MAX_CLAIMS = 20_000
# 0 stands for no verdict; the others are their values plus this.
VERDICT_OFFSET = 1


def encode_claims(frame: ClaimsFrame) -> pb.Claims:
    """Encodes a frame from a claimant to a registrar."""
    return pb.Claims(
        entry=frame.entry,
        session=frame.session,
        opening=frame.opening,
        claims=[_encode_claim(claim) for claim in frame.claims],
        releases=[
            pb.Release(
                request_id=release.request_id,
                number=release.number,
                verdict=_encode_verdict(release.verdict),
            )
            for release in frame.releases
        ],
        cancellations=[
            pb.Cancellation(request_id=item.request_id, number=item.number, seconds=item.seconds)
            for item in frame.cancellations
        ],
        closing=frame.closing,
        sent_at=frame.sent_at,
    )


def _encode_claim(claim: ClaimRequest) -> pb.Claim:
    # 0 stands for an unknown time.
    seconds = max(claim.seconds, MIN_SECONDS) if claim.seconds < math.inf else 0.0
    return pb.Claim(
        request_id=claim.request_id, number=claim.number, seconds=seconds, settled=claim.settled
    )


def decode_claims(message: pb.Claims) -> ClaimsFrame:
    """Decodes a frame from a claimant to a registrar.

    Raises:
        FrameError: A field is out of range.
    """
    if len(message.claims) + len(message.releases) > MAX_CLAIMS:
        raise FrameError(f"claims: {len(message.claims) + len(message.releases)}")
    return ClaimsFrame(
        entry=check_name(message.entry, "entry"),
        session=message.session,
        opening=message.opening,
        claims=[_decode_claim(claim) for claim in message.claims],
        releases=[
            ClaimRelease(
                request_id=check_name(release.request_id, "releases.request_id"),
                number=release.number,
                verdict=_decode_verdict(release.verdict, "releases.verdict"),
            )
            for release in message.releases
        ],
        cancellations=[
            Cancellation(
                request_id=check_name(item.request_id, "cancellations.request_id"),
                number=item.number,
                seconds=check_number(item.seconds, "cancellations.seconds"),
            )
            for item in message.cancellations
        ],
        closing=message.closing,
        sent_at=check_number(message.sent_at, "sent_at"),
    )


def _decode_claim(message: pb.Claim) -> ClaimRequest:
    seconds = check_number(message.seconds, "claims.seconds")
    return ClaimRequest(
        request_id=check_name(message.request_id, "claims.request_id"),
        number=message.number,
        seconds=seconds or math.inf,
        settled=message.settled,
    )


def encode_replies(frame: ClaimRepliesFrame) -> pb.ClaimReplies:
    """Encodes a frame from a registrar to a claimant."""
    return pb.ClaimReplies(
        entry=frame.entry,
        session=frame.session,
        replies=[
            pb.ClaimReply(
                request_id=reply.request_id,
                number=reply.number,
                status=int(reply.status),
                holder=reply.holder,
                verdict=_encode_verdict(reply.verdict),
                seconds=reply.seconds,
            )
            for reply in frame.replies
        ],
        cancellations=[
            pb.CancellationReply(
                request_id=reply.request_id,
                number=reply.number,
                status=int(reply.status),
                holder=reply.holder,
            )
            for reply in frame.cancellations
        ],
        echo=frame.echo,
        complete=frame.complete,
    )


def decode_replies(message: pb.ClaimReplies) -> ClaimRepliesFrame:
    """Decodes a frame from a registrar to a claimant.

    Raises:
        FrameError: A field is out of range.
    """
    return ClaimRepliesFrame(
        entry=check_name(message.entry, "entry"),
        session=message.session,
        replies=[_decode_reply(reply) for reply in message.replies],
        cancellations=[_decode_cancellation_reply(reply) for reply in message.cancellations],
        echo=check_number(message.echo, "echo"),
        complete=message.complete,
    )


def _decode_cancellation_reply(message: pb.CancellationReply) -> CancellationReply:
    status = decode_enum(CancellationStatus, message.status, "cancellations.status")
    if (status == CancellationStatus.HANDED_ON) != bool(message.holder):
        raise FrameError(f"cancellations.holder: {message.holder!r:.80} with {status.name}")
    holder = check_name(message.holder, "cancellations.holder") if message.holder else ""
    return CancellationReply(
        request_id=check_name(message.request_id, "cancellations.request_id"),
        number=message.number,
        status=status,
        holder=holder,
    )


def _decode_reply(message: pb.ClaimReply) -> ClaimReply:
    status = decode_enum(ClaimStatus, message.status, "replies.status")
    verdict = _decode_verdict(message.verdict, "replies.verdict")
    if (status == ClaimStatus.ENDED) != (verdict is not None):
        raise FrameError(f"replies.verdict: {message.verdict} with {status.name}")
    return ClaimReply(
        request_id=check_name(message.request_id, "replies.request_id"),
        number=message.number,
        status=status,
        holder=check_name(message.holder, "replies.holder") if message.holder else "",
        verdict=verdict,
        seconds=check_number(message.seconds, "replies.seconds"),
    )


def _encode_verdict(verdict: Verdict | None) -> int:
    return 0 if verdict is None else int(verdict) + VERDICT_OFFSET


def _decode_verdict(value: int, field: str) -> Verdict | None:
    """Returns a final verdict, None for none.

    Raises:
        FrameError: The verdict is unknown or not final.
    """
    if not value:
        return None
    verdict = decode_enum(Verdict, value - VERDICT_OFFSET, field)
    if verdict not in FINAL_VERDICTS:
        raise FrameError(f"{field}: {verdict.name} is not final")
    return verdict
