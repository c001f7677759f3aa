"""Cancelling of requests by their callers."""

from comfreysill.placement.effects import SendCancelReply
from comfreysill.placement.requests import conclude_request
from comfreysill.placement.state import EntryState
from comfreysill.request.types import CancelOutcome, Verdict


def begin_cancellation(state: EntryState, canceller: int, request_id: str, now: float) -> None:
    """Cancels a request; queues the answer to the caller with the number `canceller`."""
    request = state.requests.get(request_id)
    outcome = CancelOutcome.UNKNOWN if request is None else CancelOutcome.ENDED
    if request is not None:
        conclude_request(state, request, Verdict.CANCELLED, "it was cancelled", now)
    state.effects.append(SendCancelReply(canceller=canceller, outcome=outcome))
