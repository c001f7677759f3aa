"""Room that is kept for the first request of a queue, whose tasks fit into no gap.

Small tasks fit into each gap that opens, so that a large one could be passed over for ever. For a
short time the target with the most room is kept for it; tasks that end before that time is over may
still use it.
"""

from comfreysill.placement.orders import Candidate
from comfreysill.placement.room import HeadReservation, ServiceRoom
from comfreysill.request.request import Request
from comfreysill.request.types import Step

# A target is kept for so long, once for each request.
RESERVATION_SECONDS = 0.1


def reserve_for_head(
    room: ServiceRoom, request: Request, candidates: list[Candidate], now: float
) -> None:
    """Keeps a target for a request that waits first, if none of its tasks fits where others would.

    It is kept no longer than the request can be on time.
    """
    largest = max(candidates, key=lambda candidate: candidate.cpu, default=None)
    request_id = request.specification.request_id
    is_kept = room.reservation is not None and now < room.reservation.expires_at
    was_kept = room.reservation is not None and room.reservation.request_id == request_id
    if largest is None or largest.cpu <= 0 or is_kept or was_kept:
        return
    steps = request.specification.steps
    if any(steps[number].cpu <= largest.cpu for number, tasks in request.pending.items() if tasks):
        return
    room.reservation = HeadReservation(
        request_id=request_id,
        agent=largest.agent.name,
        expires_at=min(now + RESERVATION_SECONDS, request.due_at - request.critical_path),
    )


def select_unreserved(
    room: ServiceRoom, request: Request, step: Step, candidates: list[Candidate], now: float
) -> list[Candidate]:
    """Returns the candidates that the tasks of a step may use beside what is kept."""
    reservation = room.reservation
    if reservation is None or now >= reservation.expires_at:
        return candidates
    if reservation.request_id == request.specification.request_id:
        return candidates
    return [
        candidate
        for candidate in candidates
        if candidate.agent.name != reservation.agent
        or now + step.estimate * candidate.agent.load.slowness <= reservation.expires_at
    ]
