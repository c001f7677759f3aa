"""The claims that a registrar keeps: one holder for each request, and who waits for its release.

A registrar keeps them in memory alone. A claim whose holder is out of reach lasts until nothing can
run any more of what the holder has placed.
"""

import math

from comfreysill.claims.cancellations import (
    expire_cancellations,
    is_cancelled,
    keep_cancellation,
)
from comfreysill.claims.claim import (
    AddressedReply,
    Canceller,
    Claim,
    Claimant,
    ClaimRegistry,
    EndedClaim,
)
from comfreysill.exchange.claims import (
    Cancellation,
    CancellationReply,
    CancellationStatus,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
)
from comfreysill.request.types import Verdict

# The final verdict of a request is kept this long for claims that come after its end.
ENDED_CLAIM_SECONDS = 10.0
# Holders aren't told of less than this that others wait longer.
MIN_EXTENSION_SECONDS = 0.1
# Holders are told that others wait for so long at the most.
MAX_WAIT_SECONDS = 3600.0


def receive_claim(
    registry: ClaimRegistry,
    entry: str,
    request: ClaimRequest,
    now: float,
    is_complete: bool = True,
) -> ClaimReply:
    """Processes a claim; returns the reply to send at once.

    Unless the registry `is_complete`, an entry that may have placed tasks of the request takes its
    claim over from one to which it was granted since.
    """
    request_id = request.request_id
    expires_at = now + request.seconds
    claimant = Claimant(
        entry=entry,
        number=request.number,
        expires_at=expires_at,
        provisional=not is_complete and not request.settled,
    )
    claim = registry.claims.get(request_id)
    if claim is None:
        ended = registry.ended.get(request_id)
        if ended is not None and ended.expires_at > now:
            return _build_reply(claimant, request_id, ClaimStatus.ENDED, verdict=ended.verdict)
    if is_cancelled(registry.cancelled, request_id, now):
        return _build_reply(claimant, request_id, ClaimStatus.ENDED, verdict=Verdict.CANCELLED)
    if claim is None:
        registry.claims[request_id] = Claim(holder=claimant)
        return _build_reply(claimant, request_id, ClaimStatus.GRANTED)
    if claim.holder.entry == entry:
        claimant.expires_at = max(expires_at, claim.holder.expires_at)
        claim.holder = claimant
        return _build_reply(claimant, request_id, ClaimStatus.GRANTED)
    if claim.holder.provisional and request.settled and not is_complete:
        _replace_holder(registry, request_id, claim, claimant)
        return _build_reply(claimant, request_id, ClaimStatus.GRANTED)
    awaited_until = max((waiter.expires_at for waiter in claim.waiters), default=now)
    _put_waiter(claim, claimant)
    if expires_at > awaited_until + MIN_EXTENSION_SECONDS:
        _notify_holder(registry, request_id, claim, now)
    return _build_reply(claimant, request_id, ClaimStatus.HELD, holder=claim.holder.entry)


def _replace_holder(
    registry: ClaimRegistry, request_id: str, claim: Claim, claimant: Claimant
) -> None:
    """Lets the holder of a claim wait for the claimant that had it before."""
    replaced, claim.holder = claim.holder, claimant
    claim.waiters = [waiter for waiter in claim.waiters if waiter.entry != claimant.entry]
    claim.waiters.insert(0, replaced)
    _queue_reply(registry, replaced, request_id, ClaimStatus.HELD, holder=claimant.entry)


def receive_release(registry: ClaimRegistry, entry: str, release: ClaimRelease, now: float) -> None:
    """Processes the end of a claim; queues the replies to those that wait for it."""
    if release.verdict == Verdict.CANCELLED:
        keep_cancellation(registry.cancelled, release.request_id, now)
    claim = registry.claims.get(release.request_id)
    if claim is None:
        _record_end(registry, release, now)
        return
    _remove_waiter(registry, release.request_id, entry, release.number, now)
    if claim.holder.entry != entry or claim.holder.number > release.number:
        return
    if release.verdict is None:
        _grant_next(registry, release.request_id, claim, now)
        return
    del registry.claims[release.request_id]
    _answer_cancellers(registry, release.request_id, claim)
    _record_end(registry, release, now)
    for waiter in claim.waiters:
        _queue_reply(
            registry, waiter, release.request_id, ClaimStatus.ENDED, verdict=release.verdict
        )


def _record_end(registry: ClaimRegistry, release: ClaimRelease, now: float) -> None:
    """Keeps the verdict of a release, if it has a final one."""
    if release.verdict is None:
        return
    expires_at = now + ENDED_CLAIM_SECONDS
    ended = EndedClaim(verdict=release.verdict, expires_at=expires_at)
    registry.ended[release.request_id] = ended
    registry.ended_ids.append(release.request_id)


def receive_cancellation(
    registry: ClaimRegistry, entry: str, cancellation: Cancellation, now: float
) -> CancellationReply:
    """Processes the cancelling of a request; returns the reply to send at once.

    The holder of its claim and all that wait for it are told that it has ended.
    """
    request_id = cancellation.request_id
    keep_cancellation(registry.cancelled, request_id, now, cancellation.seconds)
    claim = registry.claims.get(request_id)
    if claim is None:
        ended = registry.ended.get(request_id)
        status = CancellationStatus.UNKNOWN
        if ended is not None and ended.expires_at > now:
            was_cancelled = ended.verdict == Verdict.CANCELLED
            status = CancellationStatus.KNOWN if was_cancelled else CancellationStatus.ENDED
        return CancellationReply(request_id=request_id, number=cancellation.number, status=status)
    for claimant in (claim.holder, *claim.waiters):
        _queue_reply(registry, claimant, request_id, ClaimStatus.ENDED, verdict=Verdict.CANCELLED)
    claim.waiters.clear()
    if cancellation.number:
        claim.cancellers.append(Canceller(entry=entry, number=cancellation.number))
    return CancellationReply(
        request_id=request_id,
        number=cancellation.number,
        status=CancellationStatus.HANDED_ON,
        holder=claim.holder.entry,
    )


def record_session(registry: ClaimRegistry, entry: str, request_ids: set[str], now: float) -> None:
    """Records a new session of a claimant, and ends the claims that it doesn't repeat.

    Earlier lifetimes of its process have ended.

    Args:
        registry: The registry.
        entry: Name of the claimant.
        request_ids: Ids of the requests that it claims.
        now: Boot-clock time in seconds.
    """
    instance = get_instance(entry)
    holders = {claim.holder.entry for claim in registry.claims.values()}
    for other in sorted(holders | registry.heard_at.keys()):
        if other != entry and get_instance(other) == instance:
            if other not in registry.absent_since:
                # It may have closed its session before its process ended.
                record_frame(registry, other, now)
            record_absence(registry, other, now)
    registry.absent_since.pop(entry, None)
    record_frame(registry, entry, now)
    for request_id, claim in list(registry.claims.items()):
        if request_id in request_ids:
            continue
        _remove_waiter(registry, request_id, entry, math.inf, now)
        if claim.holder.entry == entry:
            _grant_next(registry, request_id, claim, now)


def record_frame(registry: ClaimRegistry, entry: str, now: float) -> None:
    """Records that a claimant was heard in its open session."""
    registry.heard_at[entry] = now


def record_absence(registry: ClaimRegistry, entry: str, now: float) -> None:
    """Records that the session of a claimant was closed, as its process ended or is cut off."""
    if registry.heard_at.pop(entry, None) is None:
        return
    registry.absent_since[entry] = now
    for request_id in registry.claims:
        _remove_waiter(registry, request_id, entry, math.inf, now)


def record_suspension(registry: ClaimRegistry, entry: str, now: float) -> None:
    """Records that a claimant closes its session though its process goes on.

    Its claims last until nothing of the submissions may run.
    """
    registry.heard_at.pop(entry, None)
    for request_id in registry.claims:
        _remove_waiter(registry, request_id, entry, math.inf, now)


def expire_claims(registry: ClaimRegistry, now: float, expiry_seconds: float) -> None:
    """Ends the claims of holders of which nothing can run any more, and forgets old verdicts.

    Args:
        registry: The registry.
        now: Boot-clock time in seconds.
        expiry_seconds: Seconds from the end of an entry until nothing runs of what it has placed.
    """
    for request_id, claim in list(registry.claims.items()):
        if now >= _find_end(registry, claim.holder, expiry_seconds):
            _grant_next(registry, request_id, claim, now)
    _forget_absent(registry, now, expiry_seconds)
    _forget_ended(registry, now)
    expire_cancellations(registry.cancelled, now)


def _find_end(registry: ClaimRegistry, holder: Claimant, expiry_seconds: float) -> float:
    """Returns the boot-clock time in seconds after which nothing of a holder runs.

    A silent holder may run on for a caller that waits, unless its process is known to have ended.
    """
    absent_since = registry.absent_since.get(holder.entry, math.inf)
    if holder.expires_at == math.inf:
        absent_since = min(absent_since, registry.heard_at.get(holder.entry, math.inf))
    return min(holder.expires_at, absent_since + expiry_seconds)


def take_late_replies(registry: ClaimRegistry) -> list[AddressedReply]:
    """Returns the queued replies, and removes them."""
    replies, registry.late_replies = registry.late_replies, []
    return replies


def _forget_absent(registry: ClaimRegistry, now: float, expiry_seconds: float) -> None:
    """Forgets absent claimants whose claims have expired."""
    for entry, absent_since in list(registry.absent_since.items()):
        if now >= absent_since + expiry_seconds:
            del registry.absent_since[entry]


def _forget_ended(registry: ClaimRegistry, now: float) -> None:
    while registry.ended_ids:
        ended = registry.ended.get(registry.ended_ids[0])
        if ended is not None and ended.expires_at > now:
            return
        registry.ended.pop(registry.ended_ids.popleft(), None)


def get_instance(entry: str) -> str:
    """Returns the name of an entry's instance; the entry's name is `instance@lifetime`."""
    return entry.partition("@")[0]


def _answer_cancellers(registry: ClaimRegistry, request_id: str, claim: Claim) -> None:
    """Queues the replies to those that cancel a request whose holder has ended."""
    for canceller in claim.cancellers:
        reply = CancellationReply(
            request_id=request_id, number=canceller.number, status=CancellationStatus.KNOWN
        )
        registry.late_replies.append(AddressedReply(entry=canceller.entry, reply=reply))
    claim.cancellers.clear()


def _grant_next(registry: ClaimRegistry, request_id: str, claim: Claim, now: float) -> None:
    _answer_cancellers(registry, request_id, claim)
    if not claim.waiters:
        del registry.claims[request_id]
        return
    claim.holder = claim.waiters.pop(0)
    _queue_reply(registry, claim.holder, request_id, ClaimStatus.GRANTED)
    if claim.waiters:
        _notify_holder(registry, request_id, claim, now)


def _remove_waiter(
    registry: ClaimRegistry, request_id: str, entry: str, number: float, now: float
) -> None:
    claim = registry.claims[request_id]
    if _discard_waiter(claim, entry, number):
        _notify_holder(registry, request_id, claim, now)


def _put_waiter(claim: Claim, claimant: Claimant) -> None:
    """Adds a waiter, or replaces it at its place."""
    for position, waiter in enumerate(claim.waiters):
        if waiter.entry == claimant.entry:
            claim.waiters[position] = claimant
            return
    claim.waiters.append(claimant)


def _discard_waiter(claim: Claim, entry: str, number: float) -> bool:
    """Removes the claims of an entry up to a number; returns whether there were any."""
    kept = [waiter for waiter in claim.waiters if waiter.entry != entry or waiter.number > number]
    is_changed = len(kept) < len(claim.waiters)
    claim.waiters = kept
    return is_changed


def _notify_holder(registry: ClaimRegistry, request_id: str, claim: Claim, now: float) -> None:
    """Queues how long others wait for the request, for its holder."""
    expires_at = max((waiter.expires_at for waiter in claim.waiters), default=now)
    seconds = min(max(0.0, expires_at - now), MAX_WAIT_SECONDS)
    reply = ClaimReply(
        request_id=request_id,
        number=claim.holder.number,
        status=ClaimStatus.AWAITED,
        seconds=seconds,
    )
    registry.late_replies.append(AddressedReply(entry=claim.holder.entry, reply=reply))


def _queue_reply(
    registry: ClaimRegistry,
    claimant: Claimant,
    request_id: str,
    status: ClaimStatus,
    holder: str = "",
    verdict: Verdict | None = None,
) -> None:
    reply = _build_reply(claimant, request_id, status, holder, verdict)
    registry.late_replies.append(AddressedReply(entry=claimant.entry, reply=reply))


def _build_reply(
    claimant: Claimant,
    request_id: str,
    status: ClaimStatus,
    holder: str = "",
    verdict: Verdict | None = None,
) -> ClaimReply:
    return ClaimReply(
        request_id=request_id,
        number=claimant.number,
        status=status,
        holder=holder,
        verdict=verdict,
    )
