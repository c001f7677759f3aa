"""Times at which an event loop has polled its sockets.

What a process reads has arrived since an earlier poll that didn't report it yet. So these times
bound how long a message may have waited unread while the process was paused or busy.
"""

import asyncio
import selectors
from collections import deque

from comfreysill.clock import read_boot_clock

# Polls of asyncio from the one before a connection is accepted to the one that reports its first
# bytes: reporting the listening socket, creating the transport, adding its reader, and one spare.
POLLS_BEFORE_READ = 6


class PollTimes:
    """Times of the newest polls; `started_at` holds boot-clock seconds, the earliest first."""

    __slots__ = ("started_at",)

    def __init__(self) -> None:
        self.started_at: deque[float] = deque(maxlen=POLLS_BEFORE_READ)


class TimedSelector(selectors.DefaultSelector):
    """Selector that records when each poll has started.

    The start counts, not the end: what arrives in the course of a poll may be reported by the next
    one only.
    """

    __slots__ = ("poll_times",)

    def __init__(self, *, poll_times: PollTimes) -> None:
        super().__init__()
        self.poll_times = poll_times

    def select(self, timeout: float | None = None) -> list:
        """Polls the registered sockets; see `selectors.BaseSelector.select`."""
        self.poll_times.started_at.append(read_boot_clock())
        return super().select(timeout)


def build_timed_loop(poll_times: PollTimes) -> asyncio.AbstractEventLoop:
    """Builds an event loop that records its polls in `poll_times`."""
    return asyncio.SelectorEventLoop(TimedSelector(poll_times=poll_times))


def find_earliest_arrival(poll_times: PollTimes, now: float) -> float:
    """Returns the boot-clock time in seconds since which what is read now may have waited."""
    return poll_times.started_at[0] if poll_times.started_at else now
