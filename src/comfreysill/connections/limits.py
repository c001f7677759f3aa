"""Limits of a connection, and of all connections of a process together."""

KIB = 1_024
MIB = 1_024 * KIB
# Share of the process's memory for messages that are being received and answers that aren't read.
HELD_SHARE = 1 / 8
# The same for what the kernel has received for all connections and isn't read, and its bounds for
# each of them. Without a bound it grows to some megabytes with what is sent.
RECEIVED_SHARE = 1 / 12
MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES = 8 * KIB, 64 * KIB
# Descriptors that a platform may reserve for files, out of the limit of the process.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors: for clients, and for those that wait to be accepted. The rest is
# for connections to other processes, and for those that are accepted before others are closed.
CLIENTS_SHARE = 1 / 2
QUEUE_SHARE = 1 / 8
MIN_CLIENTS, MIN_QUEUED = 16, 16
MAX_CLIENTS, MAX_QUEUED = 16_384, 2_048
# The same for the links of other processes, out of the descriptors that clients don't take.
LINKS_SHARE = 1 / 5
MIN_LINKS, MAX_LINKS = 16, 4_096
LINKS_HELD_SHARE = 1 / 32
DEFAULT_MEMORY_BYTES = 512 * MIB
# Estimated memory of a request that is received before those ahead of it are answered.
REQUEST_BYTES = 4 * KIB


class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        head_bytes: Maximum size of the head of a request.
        head_lines: Maximum number of its header lines.
        url_bytes: Maximum size of its URL.
        body_bytes: Maximum size of a body.
        framing_bytes: Maximum size of what surrounds the data of a chunked body, beyond eight times
            the data: chunk sizes, extensions and trailers.
        trailer_lines: Maximum number of trailer lines.
        empty_bytes: Maximum size of empty lines before a request.
        requests_ahead: Maximum number of requests received while an earlier one is unanswered.
        discarded_bytes: Maximum size of what is read and thrown away after a final answer.
        unread_bytes: Size of answers that wait to be read from which on no more are sent.
        head_seconds: Maximum time in which a head has to arrive.
        body_seconds: Maximum time in which a body has to arrive.
        idle_seconds: Maximum time between requests, or before the first one.
        unread_seconds: Maximum time for which answers of that size, or the last ones of a
            connection, may wait to be read.
        discarding_seconds: Maximum time for which data is thrown away after a refusal.
    """

    __slots__ = (
        "head_bytes",
        "head_lines",
        "url_bytes",
        "body_bytes",
        "framing_bytes",
        "trailer_lines",
        "empty_bytes",
        "requests_ahead",
        "discarded_bytes",
        "unread_bytes",
        "head_seconds",
        "body_seconds",
        "idle_seconds",
        "unread_seconds",
        "discarding_seconds",
    )

    def __init__(
        self,
        *,
        head_bytes: int = 32 * KIB,
        head_lines: int = 128,
        url_bytes: int = 16 * KIB,
        body_bytes: int = 16 * MIB,
        framing_bytes: int = 16 * KIB,
        trailer_lines: int = 64,
        empty_bytes: int = 4 * KIB,
        requests_ahead: int = 8,
        discarded_bytes: int = 256 * KIB,
        unread_bytes: int = 16 * KIB,
        head_seconds: float = 10.0,
        body_seconds: float = 30.0,
        idle_seconds: float = 75.0,
        unread_seconds: float = 30.0,
        discarding_seconds: float = 2.0,
    ) -> None:
        self.head_bytes = head_bytes
        self.head_lines = head_lines
        self.url_bytes = url_bytes
        self.body_bytes = body_bytes
        self.framing_bytes = framing_bytes
        self.trailer_lines = trailer_lines
        self.empty_bytes = empty_bytes
        self.requests_ahead = requests_ahead
        self.discarded_bytes = discarded_bytes
        self.unread_bytes = unread_bytes
        self.head_seconds = head_seconds
        self.body_seconds = body_seconds
        self.idle_seconds = idle_seconds
        self.unread_seconds = unread_seconds
        self.discarding_seconds = discarding_seconds


class LinkLimits:
    """Limits of one link, which another process opens (HTTP/2).

    Attributes:
        head_bytes: Maximum size of the head of a call.
        control_frames: Maximum number of frames without data, beyond those allowed each second.
        control_frames_per_second: Number of frames without data that are allowed each second.
        opening_seconds: Maximum time until the first call.
    """

    __slots__ = ("head_bytes", "control_frames", "control_frames_per_second", "opening_seconds")

    def __init__(
        self,
        *,
        head_bytes: int = 16 * KIB,
        control_frames: int = 128,
        control_frames_per_second: float = 16.0,
        opening_seconds: float = 10.0,
    ) -> None:
        self.head_bytes = head_bytes
        self.control_frames = control_frames
        self.control_frames_per_second = control_frames_per_second
        self.opening_seconds = opening_seconds


class ProcessLimits:
    """Limits of all connections of one kind of a process together.

    Attributes:
        connections: Maximum number of open connections.
        queued: Length of the queue of connections that wait to be accepted.
        held_bytes: Maximum size of all messages that are being received, and of all answers that
            wait to be read by their clients.
        receive_bytes: Maximum size of what the kernel keeps for a connection until it is read.
    """

    __slots__ = ("connections", "queued", "held_bytes", "receive_bytes")

    def __init__(
        self,
        *,
        connections: int,
        queued: int,
        held_bytes: int,
        receive_bytes: int = MAX_RECEIVE_BYTES,
    ) -> None:
        self.connections = connections
        self.queued = queued
        self.held_bytes = held_bytes
        self.receive_bytes = receive_bytes


def derive_process_limits(
    max_descriptors: int, memory_bytes: int = DEFAULT_MEMORY_BYTES
) -> ProcessLimits:
    """Derives the limits from what the process may use.

    Args:
        max_descriptors: Maximum number of open descriptors of the process.
        memory_bytes: Maximum memory of the process, 0 if it isn't known.
    """
    sockets = max_descriptors - FILE_DESCRIPTORS
    connections = min(max(int(sockets * CLIENTS_SHARE), MIN_CLIENTS), MAX_CLIENTS)
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    receive_bytes = int(memory_bytes * RECEIVED_SHARE / connections)
    return ProcessLimits(
        connections=connections,
        queued=min(max(int(sockets * QUEUE_SHARE), MIN_QUEUED), MAX_QUEUED),
        held_bytes=int(memory_bytes * HELD_SHARE),
        receive_bytes=min(max(receive_bytes, MIN_RECEIVE_BYTES), MAX_RECEIVE_BYTES),
    )


def derive_links_limits(
    max_descriptors: int, memory_bytes: int = DEFAULT_MEMORY_BYTES
) -> ProcessLimits:
    """Derives the limits of all links from what the process may use.

    Args:
        max_descriptors: Maximum number of open descriptors of the process.
        memory_bytes: Maximum memory of the process, 0 if it isn't known.
    """
    sockets = max_descriptors - FILE_DESCRIPTORS
    connections = min(max(int(sockets * LINKS_SHARE), MIN_LINKS), MAX_LINKS)
    return ProcessLimits(
        connections=connections,
        queued=connections,
        held_bytes=int((memory_bytes or DEFAULT_MEMORY_BYTES) * LINKS_HELD_SHARE),
    )
