"""Cancelled requests that an entry keeps in mind, so that no later submission of them is run."""

from itertools import islice

# Longer than callers wait for an answer and then send a request again.
CANCELLATION_SECONDS = 120.0
# About 15 MB; at 1,000 cancellings a second the oldest is forgotten after 100 s.
MAX_CANCELLATIONS = 100_000


class CancellationMemory:
    """Cancelled requests, changed by the functions of this module.

    Attributes:
        expires_at: Boot-clock times in seconds at which they are forgotten, by request id; those
            kept first come first.
        dropped: Number of those that were forgotten before their time, as there were too many.
    """

    __slots__ = ("expires_at", "dropped")

    def __init__(self) -> None:
        self.expires_at: dict[str, float] = {}
        self.dropped = 0


def keep_cancellation(
    memory: CancellationMemory,
    request_id: str,
    now: float,
    seconds: float = CANCELLATION_SECONDS,
) -> None:
    """Keeps a cancelled request in mind for a time in seconds, CANCELLATION_SECONDS at most."""
    expires_at = now + min(seconds, CANCELLATION_SECONDS)
    expires_at = max(expires_at, memory.expires_at.pop(request_id, 0.0))
    memory.expires_at[request_id] = expires_at
    if len(memory.expires_at) > MAX_CANCELLATIONS:
        del memory.expires_at[next(iter(memory.expires_at))]
        memory.dropped += 1


def is_cancelled(memory: CancellationMemory, request_id: str, now: float) -> bool:
    """Returns whether a request was cancelled."""
    return memory.expires_at.get(request_id, now) > now


def list_newest(memory: CancellationMemory, now: float, limit: int) -> list[tuple[str, float]]:
    """Returns at most `limit` cancelled requests, as (request id, seconds to keep it)."""
    newest = islice(reversed(memory.expires_at.items()), limit)
    return [(request_id, expires_at - now) for request_id, expires_at in newest if expires_at > now]


def expire_cancellations(memory: CancellationMemory, now: float) -> None:
    """Forgets cancelled requests whose time is over."""
    while memory.expires_at:
        request_id = next(iter(memory.expires_at))
        if memory.expires_at[request_id] > now:
            return
        del memory.expires_at[request_id]
