"""Times at which an event loop has polled its sockets.

What a process reads has arrived since an earlier poll that didn't report it yet. So these times
bound how long a message may have waited unread while the process was paused or busy, or accepted no
connections.
"""

import asyncio
import selectors
import socket
from collections import deque

from comfreysill.clock import ClockReading, read_clocks

# Polls of asyncio from the one before a connection is accepted to the one that reports its first
# bytes: reporting the listening socket, creating the transport, adding its reader, and one spare.
POLLS_BEFORE_READ = 6


class PollTimes:
    """Times of the newest polls, and how long a listening socket wasn't among the polled ones.

    Attributes:
        started_at: Starts of the newest polls, the earliest first.
        count: Number of polls so far.
        listener: File descriptor of the listening socket, -1 if none is watched.
        unpolled_since: Time since which the listening socket wasn't polled before it was last
            registered, None if it always was.
        unpolled_until: Number of the last poll that may report what came before that registration.
    """

    __slots__ = ("started_at", "count", "listener", "unpolled_since", "unpolled_until")

    def __init__(self) -> None:
        self.started_at: deque[ClockReading] = deque(maxlen=POLLS_BEFORE_READ)
        self.count = 0
        self.listener = -1
        self.unpolled_since: ClockReading | None = None
        self.unpolled_until = 0


class TimedSelector(selectors.DefaultSelector):
    """Selector that records its polls.

    The start of a poll counts, not its end: what arrives in the course of a poll may be reported by
    the next one only.
    """

    __slots__ = ("poll_times",)

    def __init__(self, *, poll_times: PollTimes) -> None:
        super().__init__()
        self.poll_times = poll_times

    def select(self, timeout: float | None = None) -> list:
        """Polls the registered sockets; see `selectors.BaseSelector.select`."""
        self.poll_times.started_at.append(read_clocks())
        self.poll_times.count += 1
        return super().select(timeout)

    def register(self, fileobj, events, data=None) -> selectors.SelectorKey:
        """Adds a socket to the polled ones; see `selectors.BaseSelector.register`."""
        key = super().register(fileobj, events, data)
        if key.fd == self.poll_times.listener:
            self.poll_times.unpolled_until = self.poll_times.count + POLLS_BEFORE_READ
        return key

    def unregister(self, fileobj) -> selectors.SelectorKey:
        """Removes a socket from the polled ones; see `selectors.BaseSelector.unregister`.

        The listening socket is removed for a time when the process has no descriptors left.
        """
        key = super().unregister(fileobj)
        if key.fd == self.poll_times.listener:
            self.poll_times.unpolled_since = self.poll_times.started_at[-1]
        return key


def build_timed_loop(poll_times: PollTimes) -> asyncio.AbstractEventLoop:
    """Builds an event loop that records its polls in `poll_times`."""
    return asyncio.SelectorEventLoop(TimedSelector(poll_times=poll_times))


def watch_listener(poll_times: PollTimes, listener: socket.socket, opened_at: ClockReading) -> None:
    """Takes into account the times in which a listening socket isn't polled.

    Args:
        poll_times: Polls of the event loop that will accept its connections.
        listener: The listening socket, which isn't polled yet.
        opened_at: Time before which it didn't listen.
    """
    poll_times.listener = listener.fileno()
    poll_times.unpolled_since = opened_at


def forget_listener(poll_times: PollTimes) -> None:
    """Ends what `watch_listener` has begun; has to precede the closing of the socket."""
    poll_times.listener = -1


def find_earliest_arrival(poll_times: PollTimes, now: ClockReading) -> ClockReading:
    """Returns the time since which what is read now may have waited."""
    if poll_times.unpolled_since is not None and poll_times.count <= poll_times.unpolled_until:
        return poll_times.unpolled_since
    return poll_times.started_at[0] if poll_times.started_at else now
