"""When requests have arrived at this process, as far as it can tell.

Two things bound the time before which a request can't have been sent: the polls of the event loop,
and the connection, whose age the kernel may tell. The second bound is exact where the process was
paused and its kernel was not.
"""

import socket
import struct

from comfreysill.clock import measure_suspension, read_clocks
from comfreysill.polls import PollTimes, find_earliest_arrival

# Fields of `struct tcp_info` of Linux: the milliseconds since data was last sent, which count from
# the handshake on a connection without any, and the number of bytes received.
TCP_INFO_BYTES = 136
LAST_DATA_SENT_OFFSET = 44
BYTES_RECEIVED_OFFSET = 128
# Resolution of these milliseconds, in seconds, where the kernel counts them in hundredths.
KERNEL_TICK_SECONDS = 0.01
# The kernel is asked only about requests that may have waited for longer than this.
MIN_QUESTIONED_SECONDS = 0.25
# Differences of the clocks below this are none.
MIN_SUSPENSION_SECONDS = 0.01


class Arrival:
    """When a request has arrived at this process.

    Attributes:
        sent_after: Boot-clock time in seconds before which it can't have been sent.
        read_at: Boot-clock time in seconds at which its first byte was read.
        connected_at: Boot-clock time in seconds at which its connection was accepted, None if the
            connection has carried an earlier request, or if that isn't known.
    """

    __slots__ = ("sent_after", "read_at", "connected_at")

    def __init__(
        self, *, sent_after: float, read_at: float, connected_at: float | None = None
    ) -> None:
        self.sent_after = sent_after
        self.read_at = read_at
        self.connected_at = connected_at


def measure_arrival(
    poll_times: PollTimes, connection: socket.socket, connected_at: float | None = None
) -> Arrival:
    """Returns the arrival of a request whose first byte has just been read from a connection.

    For `connected_at` see `Arrival`.
    """
    now = read_clocks()
    earliest = find_earliest_arrival(poll_times, now)
    sent_after = earliest.boot
    if now.boot - sent_after > MIN_QUESTIONED_SECONDS:
        idle_seconds = measure_idle_time(connection)
        # The kernel's count stands still while the instance is suspended.
        if idle_seconds >= 0 and measure_suspension(earliest, now) < MIN_SUSPENSION_SECONDS:
            sent_after = max(sent_after, now.boot - idle_seconds)
    return Arrival(sent_after=sent_after, read_at=now.boot, connected_at=connected_at)


def measure_idle_time(connection: socket.socket) -> float:
    """Returns the seconds since this side has sent data on a connection, or has opened it if none.

    A client sends its request after that: it waits for one response before it sends the next
    request. Returns -1 if the kernel doesn't tell: an emulated one may leave fields empty, such as
    that of the bytes received, of which there is one at least when this is called.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (AttributeError, OSError):
        return -1.0
    if len(info) < TCP_INFO_BYTES:
        return -1.0
    (bytes_received,) = struct.unpack_from("=Q", info, BYTES_RECEIVED_OFFSET)
    if not bytes_received:
        return -1.0
    (idle_ms,) = struct.unpack_from("=I", info, LAST_DATA_SENT_OFFSET)
    return idle_ms / 1000 + KERNEL_TICK_SECONDS
