"""When callers that were turned away may come back, and which have come back.

Returns are spread over the time in which room is expected: each caller gets the time at which the
room for its request comes after that of those turned away before it. One that was turned away
before comes back as soon as anybody may, and isn't refused early again.
"""

import zlib
from collections import deque

# From a refusal to the first moment at which its caller may come back.
RETRY_AFTER_SECONDS = 1.0
# Callers that are refused at the same moment come back within this time of each other.
RETRY_SPREAD_SECONDS = 3.0
# For so long after its last refusal a request counts as turned away before.
TURNED_AWAY_SECONDS = 15.0
MAX_TURNED_AWAY = 10_000


class TurnedAway:
    """Requests that were turned away lately, and when room for them is expected.

    Attributes:
        expires_at: Boot-clock time in seconds until which each counts, by request id.
        expiries: Pairs of such a time and an id, in order.
        return_at: Boot-clock time in seconds at which the room for the next one is expected, by
            service.
    """

    __slots__ = ("expires_at", "expiries", "return_at")

    def __init__(self) -> None:
        self.expires_at: dict[str, float] = {}
        self.expiries: deque[tuple[float, str]] = deque()
        self.return_at: dict[str, float] = {}


def has_returned(turned_away: TurnedAway, request_id: str, now: float) -> bool:
    """Returns whether a request was turned away before."""
    return turned_away.expires_at.get(request_id, 0.0) > now


def note_turned_away(turned_away: TurnedAway, request_id: str, now: float) -> None:
    """Keeps a request that was turned away; drops expired ones, and the oldest of too many."""
    expires_at = now + TURNED_AWAY_SECONDS
    turned_away.expires_at[request_id] = expires_at
    turned_away.expiries.append((expires_at, request_id))
    while turned_away.expiries:
        oldest_at, oldest_id = turned_away.expiries[0]
        if oldest_at > now and len(turned_away.expiries) <= MAX_TURNED_AWAY:
            return
        turned_away.expiries.popleft()
        if turned_away.expires_at.get(oldest_id) == oldest_at:
            del turned_away.expires_at[oldest_id]


def book_return(turned_away: TurnedAway, service: str, seconds: float, now: float) -> float:
    """Returns the boot-clock time in seconds at which a caller may come back.

    Once the interval is full, it is filled again from its beginning.

    Args:
        turned_away: Those turned away before.
        service: Service of its request.
        seconds: Time in which the room that the request takes comes.
        now: Boot-clock time in seconds.
    """
    first = now + RETRY_AFTER_SECONDS
    return_at = max(first, turned_away.return_at.get(service, 0.0))
    if return_at >= first + RETRY_SPREAD_SECONDS:
        return_at = first
    turned_away.return_at[service] = return_at + seconds
    return return_at


def spread_return(request_id: str, now: float) -> float:
    """Returns a time to come back where nothing is known of the room.

    Its distance from now differs between requests and is the same for each try of one.
    """
    spread_seconds = zlib.crc32(request_id.encode()) % int(RETRY_SPREAD_SECONDS)
    return now + RETRY_AFTER_SECONDS + spread_seconds
