"""Times from which no task of a request may run, as its callers have stopped waiting.

A caller sends a request again, perhaps to another entry, a fixed time after it has stopped waiting.
Nothing of the earlier submission may run by then, whether or not the end of its connection has been
seen here. The caller's wait began when it sent the request, which this entry may have read later.
"""

import heapq
import math

from comfreysill.exchange.messages import MAX_STOP_SECONDS
from comfreysill.placement.state import EntryState
from comfreysill.request.request import Request
from comfreysill.request.types import CallerWait

# Items of ended requests are removed once the heap is longer than this and than twice the number
# of open requests.
MIN_COMPACTED_DEADLINES = 256
# A request may seem to have lain unread for this long where nothing has paused.
MIN_HARMLESS_SECONDS = 0.25


def measure_excess(wait: CallerWait, retry_seconds: float) -> float:
    """Returns by how many seconds a request may have lain unread for longer than does no harm.

    Args:
        wait: The wait of its caller.
        retry_seconds: Seconds from the end of a caller's wait until it sends the request again.
    """
    harmless_seconds = max(MIN_HARMLESS_SECONDS, retry_seconds - MAX_STOP_SECONDS)
    return max(0.0, wait.read_at - wait.sent_after - harmless_seconds)


def compute_stop_at(wait: CallerWait, retry_seconds: float) -> float:
    """Returns the boot-clock time in seconds from which no task of a submission may run.

    A caller whose wait is unknown may have stopped waiting already if its request lay unread for
    too long; else the time is infinite.
    """
    excess_seconds = measure_excess(wait, retry_seconds)
    if excess_seconds and wait.ends_at == math.inf:
        return wait.read_at
    return wait.ends_at - excess_seconds


def extend_request(state: EntryState, request: Request, stop_at: float) -> None:
    """Lets a request run until its last caller has stopped waiting."""
    if stop_at > request.stop_at:
        request.stop_at = stop_at
        push_deadline(state, request)


def push_deadline(state: EntryState, request: Request) -> None:
    """Adds the `stop_at` of a request to the heap of deadlines, unless it is unknown."""
    if request.stop_at == math.inf:
        return
    state.deadline_count += 1
    heapq.heappush(state.deadlines, (request.stop_at, state.deadline_count, request))
    if len(state.deadlines) > max(MIN_COMPACTED_DEADLINES, 2 * len(state.requests)):
        _remove_ended(state)


def _remove_ended(state: EntryState) -> None:
    state.deadlines = [item for item in state.deadlines if item[2].verdict is None]
    heapq.heapify(state.deadlines)


def pop_overdue(state: EntryState, now: float) -> list[Request]:
    """Removes due items from the heap; returns the requests without a verdict that have to stop."""
    overdue = []
    while state.deadlines and state.deadlines[0][0] <= now:
        request = heapq.heappop(state.deadlines)[2]
        if request.verdict is None and request.stop_at <= now:
            overdue.append(request)
    return overdue
