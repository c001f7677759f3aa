"""What an entry does as a registrar: it keeps the claims of all entries, and its own."""

from comfreysill.claims.registry import (
    get_instance,
    receive_claim,
    receive_release,
    record_absence,
    record_frame,
    record_session,
    record_suspension,
    take_late_replies,
)
from comfreysill.exchange.claims import (
    CancellationReply,
    ClaimRepliesFrame,
    ClaimReply,
    ClaimsFrame,
    ClaimStatus,
)
from comfreysill.placement.cancelling import receive_cancellation, receive_cancellation_reply
from comfreysill.placement.claim_leases import is_complete
from comfreysill.placement.claims import hold_own_claim, receive_reply
from comfreysill.placement.effects import SendClaimReplies
from comfreysill.placement.state import EntryState, count, note_event


def receive_claims(state: EntryState, frame: ClaimsFrame, now: float) -> None:
    """Processes a frame from a claimant, as a registrar."""
    newest = state.claimants.get(frame.entry, 0)
    if frame.entry == state.name:
        # Claims that it makes at itself need no session; the reply tells it whom it has reached.
        state.claimants[frame.entry] = frame.session
        _reply(state, frame.entry, [], [], now)
        return
    is_new = frame.opening and frame.session > newest
    if not is_new and frame.session != newest:
        count(state, "frames_stale")
        return
    # Before the frame is known to open a session: the claims in it are those that may be missing.
    was_complete = is_complete(state, now)
    for release in frame.releases:
        receive_release(state.registry, frame.entry, release, now)
    if is_new:
        _open_session(state, frame, now)
    record_frame(state.registry, frame.entry, now)
    if frame.sent_at:
        state.echoes[frame.entry] = frame.sent_at
    cancellations = [
        receive_cancellation(state, frame.entry, item, now) for item in frame.cancellations
    ]
    cancellations = [reply for reply in cancellations if reply.number]
    if frame.closing:
        record_suspension(state.registry, frame.entry, now)
        return
    for item in frame.claims:
        hold_own_claim(state, item.request_id, now)
    replies = [
        receive_claim(state.registry, frame.entry, item, now, was_complete) for item in frame.claims
    ]
    for reply in replies:
        if reply.status != ClaimStatus.GRANTED:
            note_event(
                state,
                "claim contested",
                request=reply.request_id,
                entry=frame.entry,
                holder=reply.holder,
                status=reply.status.name,
            )
    if replies or cancellations or frame.opening or frame.sent_at:
        _reply(state, frame.entry, replies, cancellations, now)


def _open_session(state: EntryState, frame: ClaimsFrame, now: float) -> None:
    instance = get_instance(frame.entry)
    for entry in list(state.claimants):
        if get_instance(entry) == instance:
            del state.claimants[entry]
            state.echoes.pop(entry, None)
    state.claimants[frame.entry] = frame.session
    state.echoes.pop(frame.entry, None)
    request_ids = {item.request_id for item in frame.claims}
    record_session(state.registry, frame.entry, request_ids, now)


def _reply(
    state: EntryState,
    entry: str,
    replies: list[ClaimReply],
    cancellations: list[CancellationReply],
    now: float,
) -> None:
    session = state.claimants.get(entry, 0)
    if session:
        frame = ClaimRepliesFrame(
            entry=state.name,
            session=session,
            replies=replies,
            cancellations=cancellations,
            echo=state.echoes.get(entry, 0.0),
            complete=is_complete(state, now),
        )
        state.effects.append(SendClaimReplies(entry=entry, frame=frame))


def close_claimant_session(state: EntryState, entry: str, session: int, now: float) -> None:
    """Records that the session of a claimant was closed."""
    if state.claimants.get(entry) == session:
        del state.claimants[entry]
        state.echoes.pop(entry, None)
        record_absence(state.registry, entry, now)


def deliver_late_replies(state: EntryState, now: float) -> None:
    """Hands on the replies to claims and cancellings that had to wait."""
    for item in take_late_replies(state.registry):
        is_claim = isinstance(item.reply, ClaimReply)
        if item.entry != state.name:
            replies = ([item.reply], []) if is_claim else ([], [item.reply])
            _reply(state, item.entry, *replies, now)
        elif is_claim:
            receive_reply(state, "", item.reply, now)
        else:
            receive_cancellation_reply(state, "", state.name, item.reply, now)
