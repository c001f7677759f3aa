"""Cancelling of requests at any entry.

The caller that cancels a request may reach another entry than the one that has it. So the entry
that is asked tells all entries that it is linked to. Each of them ends the request if it has it,
keeps the cancelling in mind, and as a registrar hands it on to the holder of the claim.
"""

from comfreysill.claims import registry
from comfreysill.claims.cancellations import CANCELLATION_SECONDS, list_newest
from comfreysill.exchange.claims import Cancellation, CancellationReply, CancellationStatus
from comfreysill.placement.effects import SendCancelReply
from comfreysill.placement.peers import (
    OwnCancellation,
    OwnClaim,
    Peer,
    RemoteEnd,
    ReplicaState,
    is_failing,
)
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.request.types import CancelOutcome, Verdict

# An entry that hasn't replied for this long counts as out of reach.
REPLY_TIMEOUT_SECONDS = 0.2
# The entry that holds the claim of a cancelled request has to confirm within this time.
CONFIRMATION_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
# A new link repeats at most so many cancellings, the newest.
MAX_REPEATED = 2_000


def begin_cancellation(state: EntryState, canceller: int, request_id: str, now: float) -> None:
    """Cancels a request at all entries; its caller, the number `canceller`, is answered later."""
    count(state, "cancellings")
    cancellation = state.cancellations.get(request_id)
    if cancellation is not None:
        cancellation.cancellers.append(canceller)
        return
    state.last_claim_number += 1
    cancellation = OwnCancellation(
        request_id=request_id, number=state.last_claim_number, begun_at=now
    )
    cancellation.cancellers.append(canceller)
    state.cancellations[request_id] = cancellation
    for peer in state.peers.values():
        _tell_peer(peer, cancellation)
    reply = receive_cancellation(state, state.name, _build_message(cancellation), now)
    _apply_reply(cancellation, "", state.name, reply)
    _answer(state, cancellation, now)


def _tell_peer(peer: Peer, cancellation: OwnCancellation) -> None:
    if peer.connected:
        peer.cancellations.append(_build_message(cancellation))


def _build_message(cancellation: OwnCancellation) -> Cancellation:
    return Cancellation(
        request_id=cancellation.request_id,
        number=cancellation.number,
        seconds=CANCELLATION_SECONDS,
    )


def tell_new_peer(state: EntryState, peer: Peer) -> None:
    """Tells an entry that can be reached from now on of the cancellings that aren't answered."""
    for cancellation in state.cancellations.values():
        if peer.address not in cancellation.heard:
            _tell_peer(peer, cancellation)


def list_known_cancellations(state: EntryState, now: float) -> list[Cancellation]:
    """Returns the cancellings to repeat to an entry with which a session begins."""
    return [
        Cancellation(request_id=request_id, number=0, seconds=seconds)
        for request_id, seconds in list_newest(state.registry.cancelled, now, MAX_REPEATED)
    ]


def receive_cancellation(
    state: EntryState, entry: str, cancellation: Cancellation, now: float
) -> CancellationReply:
    """Processes the cancelling of a request at an entry: the request ends here, if it is open.

    Returns:
        The reply to send at once.
    """
    request_id = cancellation.request_id
    reply = registry.receive_cancellation(state.registry, entry, cancellation, now)
    status = _end_request(state, request_id)
    if reply.holder == state.name:
        reply.status, reply.holder = status, ""
    elif not reply.holder:
        reply.status = max(reply.status, status)
    if reply.status != CancellationStatus.UNKNOWN:
        note_event(
            state,
            "cancelling received",
            request=request_id,
            entry=entry,
            status=reply.status.name,
            holder=reply.holder,
        )
    return reply


def _end_request(state: EntryState, request_id: str) -> CancellationStatus:
    """Ends a cancelled request before the next placement; returns what was known of it."""
    request = state.requests.get(request_id)
    if request is None:
        cached = state.cached.get(request_id)
        if cached is None:
            return CancellationStatus.UNKNOWN
        was_cancelled = cached.verdict == Verdict.CANCELLED
        return CancellationStatus.KNOWN if was_cancelled else CancellationStatus.ENDED
    if request.verdict is not None:
        is_result = request.verdict in (Verdict.COMPLETED, Verdict.FAILED)
        return CancellationStatus.ENDED if is_result else CancellationStatus.KNOWN
    end = RemoteEnd(request=request, verdict=Verdict.CANCELLED, detail="it was cancelled")
    state.remote_ends.append(end)
    claim = state.claims.get(request_id)
    is_holder = claim is not None and claim.settled and _is_granted_elsewhere(claim)
    return CancellationStatus.ENDED if is_holder else CancellationStatus.KNOWN


def _is_granted_elsewhere(claim: OwnClaim) -> bool:
    """Returns whether another entry has granted a claim, so that no third one has the request."""
    return any(
        replica.address and replica.state == ReplicaState.GRANTED for replica in claim.replicas
    )


def receive_cancellation_reply(
    state: EntryState, address: str, entry: str, reply: CancellationReply, now: float
) -> None:
    """Processes the reply of the entry at an address, which is empty for this entry itself.

    Args:
        state: The entry's state.
        address: Address of the entry that replies.
        entry: Its name.
        reply: The reply.
        now: Boot-clock time in seconds.
    """
    cancellation = state.cancellations.get(reply.request_id)
    if cancellation is None or cancellation.number != reply.number:
        return
    if address in cancellation.heard and address not in cancellation.holders:
        return
    _apply_reply(cancellation, address, entry, reply)
    _answer(state, cancellation, now)


def _apply_reply(
    cancellation: OwnCancellation, address: str, entry: str, reply: CancellationReply
) -> None:
    cancellation.heard.add(address)
    if reply.status == CancellationStatus.HANDED_ON:
        cancellation.holders[address] = reply.holder
        return
    cancellation.holders.pop(address, None)
    cancellation.status = max(cancellation.status, reply.status)
    if reply.status != CancellationStatus.UNKNOWN:
        cancellation.ended_by.add(entry)


def expire_cancellings(state: EntryState, now: float) -> None:
    """Answers the callers that have cancelled a request and waited long enough for all entries."""
    for cancellation in list(state.cancellations.values()):
        _answer(state, cancellation, now)


def _answer(state: EntryState, cancellation: OwnCancellation, now: float) -> None:
    """Answers those that cancel a request, if all is known or it is time."""
    elapsed = now - cancellation.begun_at
    unheard = [
        peer
        for peer in state.peers.values()
        if not (peer.duplicate or peer.address in cancellation.heard or is_failing(peer, now))
    ]
    # An entry that has just started doesn't know the others yet.
    is_heard_by_all = bool(state.linking_until) and not unheard
    is_confirmed = cancellation.ended_by.issuperset(cancellation.holders.values())
    is_early = elapsed < REPLY_TIMEOUT_SECONDS or now < state.linking_until
    is_ended = cancellation.status == CancellationStatus.ENDED
    if is_early and not is_heard_by_all and (not is_ended or any(p.usable for p in unheard)):
        return
    if not is_confirmed and elapsed < CONFIRMATION_SECONDS:
        return
    del state.cancellations[cancellation.request_id]
    outcome = _choose_outcome(cancellation, is_heard_by_all, is_confirmed)
    retry_at = now + RETRY_AFTER_SECONDS if outcome == CancelOutcome.UNCERTAIN else 0.0
    if outcome != CancelOutcome.ENDED:
        count(state, f"cancellings_{outcome.name.lower()}")
    note_event(
        state,
        "cancelling answered",
        request=cancellation.request_id,
        outcome=outcome.name,
        age=round(elapsed, 3),
        holders=sorted(set(cancellation.holders.values())),
        unheard=sorted(peer.address for peer in unheard),
    )
    for canceller in cancellation.cancellers:
        state.effects.append(
            SendCancelReply(canceller=canceller, outcome=outcome, retry_at=retry_at)
        )


def _choose_outcome(
    cancellation: OwnCancellation, is_heard_by_all: bool, is_confirmed: bool
) -> CancelOutcome:
    if not is_confirmed:
        return CancelOutcome.UNCERTAIN
    if cancellation.status == CancellationStatus.ENDED:
        return CancelOutcome.ENDED
    if not is_heard_by_all:
        return CancelOutcome.UNCERTAIN
    is_known = cancellation.status == CancellationStatus.KNOWN or cancellation.holders
    return CancelOutcome.ENDED if is_known else CancelOutcome.UNKNOWN
