"""Priority queues of requests with pending tasks, at an entry on the platform."""

import heapq

from comfreysill.placement.admission import get_room, is_enabled, note_queued
from comfreysill.placement.state import EntryState
from comfreysill.request.request import Request, count_pending_tasks, has_pending

# Bands of a queue: requests that can still meet their latency objective precede late ones.
ON_TIME = 0
LATE = 1
# A result later than this multiple of the latency objective is of no use to the caller.
MAX_OBJECTIVE_FACTOR = 3.0
# With more tasks left than this, a request would keep others out for long.
MAX_PENDING_TASKS = 100
# Precedes 0, the highest priority of a route.
BEGUN_PRIORITY = -1
# Number of distinct priorities in each band of the demand rank.
PRIORITIES_PER_BAND = 100


def push_request(state: EntryState, request: Request, now: float) -> None:
    """Adds a request with pending tasks to the queue of its service.

    Requests that can still meet their objective come first, then those of higher priority, then
    those that are due earlier. Whether one can is judged when it is added, by the declared run
    times. A request that has begun precedes all others, so that the work already done for it is not
    wasted. But if its end is of no use any more and many of its tasks are left, which would keep
    others out, it follows those that can be on time. For what admission changes see
    `_choose_priority`.
    """
    if request.queued or not has_pending(request):
        return
    request.queued = True
    note_queued(state.admission, request, now)
    state.enqueue_count += 1
    queue = state.queues.setdefault(request.specification.service, [])
    heapq.heappush(queue, (*_rank_request(state, request, now), state.enqueue_count, request))


def _rank_request(state: EntryState, request: Request, now: float) -> tuple[int, int, float]:
    band = choose_band(request, now)
    priority = BEGUN_PRIORITY if request.begun else _choose_priority(state, request)
    return band, priority, request.due_at


def _choose_priority(state: EntryState, request: Request) -> int:
    """Returns the priority by which a request is placed.

    Routes that get less than their least share of the room are placed like those of the highest
    priority, until they get it.
    """
    specification = request.specification
    if not is_enabled(state.admission):
        return specification.priority
    room = get_room(state.admission, specification.service)
    return 0 if specification.route in room.short_routes else specification.priority


def reorder_queue(
    state: EntryState, queue: list[tuple[int, int, float, int, Request]], now: float
) -> None:
    """Orders a queue anew after the ranks of its requests may have changed."""
    queue[:] = [(*_rank_request(state, item[4], now), item[3], item[4]) for item in queue]
    heapq.heapify(queue)


def choose_band(request: Request, now: float) -> int:
    """Returns the band of a request that is queued now."""
    if now + request.critical_path <= request.due_at:
        return ON_TIME
    is_kept_out = is_useless(request, now) and count_pending_tasks(request) > MAX_PENDING_TASKS
    return ON_TIME if request.begun and not is_kept_out else LATE


def is_useless(request: Request, now: float) -> bool:
    """Returns whether the end of a request is too late to be of use to its callers."""
    objective = request.due_at - request.received_at
    return now > request.received_at + MAX_OBJECTIVE_FACTOR * objective


def rank_demand(state: EntryState) -> int:
    """Returns the rank of the most urgent queued request.

    1 is the most urgent of all; 0 means that no request is queued. A request that got its verdict
    in the queue counts until it is popped.
    """
    heads = [queue[0] for queue in state.queues.values() if queue]
    if not heads:
        return 0
    band, priority = min(head[:2] for head in heads)
    return 1 + band * PRIORITIES_PER_BAND + min(priority - BEGUN_PRIORITY, PRIORITIES_PER_BAND - 1)


def pop_request(queue: list[tuple[int, int, float, int, Request]]) -> tuple | None:
    """Pops the first heap item whose request has pending tasks; None if there is none.

    Items before it are discarded.
    """
    while queue:
        item = heapq.heappop(queue)
        item[4].queued = False
        if has_pending(item[4]):
            return item
    return None
