"""Order of the requests that have startable tasks."""

import heapq

from comfreysill.placing.state import EntryState
from comfreysill.request.request import Request, has_pending
from comfreysill.request.types import measure_chain

ON_TIME = 0
LATE = 1
BEGUN_PRIORITY = -1
# Distinct urgencies that agents are told of within a band.
PRIORITIES = 100


def push_request(state: EntryState, request: Request, now: float) -> None:
    """Puts a request with startable tasks into the queue of its service.

    Requests that can still meet their objective go before late ones, then the more urgent, then
    those that are due first. A request that has begun goes first in its band: what ran of it
    would be in vain otherwise.
    """
    if request.queued or not has_pending(request):
        return
    request.queued = True
    specification = request.specification
    chain = measure_chain(specification.steps)
    band = ON_TIME if request.begun or now + chain <= request.due_at else LATE
    priority = BEGUN_PRIORITY if request.begun else specification.priority
    state.order += 1
    queue = state.queues.setdefault(specification.service, [])
    heapq.heappush(queue, (band, priority, request.due_at, state.order, request))


def rank_demand(state: EntryState) -> int:
    """Returns the rank of the most urgent waiting request, 1 for the first; 0 while none waits."""
    heads = [queue[0] for queue in state.queues.values() if queue]
    if not heads:
        return 0
    band, priority = min(head[:2] for head in heads)
    return 1 + band * PRIORITIES + min(priority - BEGUN_PRIORITY, PRIORITIES - 1)


def pop_request(queue: list[tuple[int, int, float, int, Request]]) -> tuple | None:
    """Takes the first request that has startable tasks."""
    while queue:
        entry = heapq.heappop(queue)
        entry[4].queued = False
        if has_pending(entry[4]):
            return entry
    return None
