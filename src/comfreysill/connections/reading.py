"""What a connection has received of its current message, and whether that is within the limits.

A parser reports events: begins, lines, data and ends. Bytes without an event are counted as quiet:
an unfinished line, empty lines, a chunk extension.
"""

import enum
from collections.abc import Collection

from comfreysill.connections.limits import REQUEST_BYTES, ConnectionLimits
from comfreysill.connections.reasons import Reason

# Bytes of a header line beside its name and value.
LINE_BYTES = 4
# A message is large above one of these: its size, and its number of lines and parts of data.
LARGE_BYTES = 16_384
LARGE_PARTS = 192
# A chunk of one byte takes five bytes beside it.
FRAMING_BYTES_PER_BYTE = 8


class Phase(enum.Enum):
    """Part of a message that is being received."""

    BETWEEN = "between"
    HEAD = "head"
    BODY = "body"
    DISCARDING = "discarding"


class Reading:
    """Progress of a connection.

    Attributes:
        phase: What is being received.
        transitions: Number of changes of the phase so far.
        parts: Lines and parts of data of the current message.
        eventful: Whether the parser has reported an event since the last read began.
        quiet_bytes: Bytes since the last event.
        head_bytes: Bytes of the current head.
        lines: Lines of the current head, or of the current trailers.
        data_bytes: Data of the current body.
        framing_bytes: Bytes of the current body that aren't data.
        discarded_bytes: Bytes of the current body, or after a refusal, that were thrown away.
        data_before: `data_bytes` when the last read began, -1 if it began in another phase.
    """

    __slots__ = (
        "phase",
        "transitions",
        "parts",
        "eventful",
        "quiet_bytes",
        "head_bytes",
        "lines",
        "data_bytes",
        "framing_bytes",
        "discarded_bytes",
        "data_before",
    )

    def __init__(self) -> None:
        self.phase = Phase.BETWEEN
        self.transitions = 0
        self.parts = 0
        self.eventful = False
        self.quiet_bytes = 0
        self.head_bytes = 0
        self.lines = 0
        self.data_bytes = 0
        self.framing_bytes = 0
        self.discarded_bytes = 0
        self.data_before = -1


def enter_phase(reading: Reading, phase: Phase) -> None:
    """Begins a phase."""
    reading.phase = phase
    reading.transitions += 1
    reading.eventful = True
    reading.quiet_bytes = 0
    reading.lines = 0
    if phase is Phase.HEAD:
        reading.head_bytes = 0
        reading.parts = 0
    reading.data_bytes = reading.framing_bytes = reading.discarded_bytes = 0


def count_url(reading: Reading, limits: ConnectionLimits, size: int) -> Reason | None:
    """Counts a part of a URL."""
    reading.eventful = True
    reading.head_bytes += size
    return Reason.URL_BYTES if reading.head_bytes > limits.url_bytes else None


def count_line(reading: Reading, limits: ConnectionLimits, size: int) -> Reason | None:
    """Counts a header line or a trailer line; `size` is that of its name and value."""
    reading.eventful = True
    reading.parts += 1
    reading.lines += 1
    if reading.phase is Phase.BODY:
        return Reason.TRAILER_LINES if reading.lines > limits.trailer_lines else None
    reading.head_bytes += size + LINE_BYTES
    if reading.head_bytes > limits.head_bytes:
        return Reason.HEAD_BYTES
    return Reason.HEAD_LINES if reading.lines > limits.head_lines else None


def count_data(reading: Reading, limits: ConnectionLimits, size: int) -> Reason | None:
    """Counts data of a body that is kept."""
    reading.eventful = True
    reading.parts += 1
    reading.data_bytes += size
    return Reason.BODY_BYTES if reading.data_bytes > limits.body_bytes else None


def count_discarded(reading: Reading, limits: ConnectionLimits, size: int) -> Reason | None:
    """Counts what is thrown away, as the request has been answered or refused."""
    reading.eventful = True
    reading.parts += 1
    reading.discarded_bytes += size
    return Reason.DISCARDED if reading.discarded_bytes > limits.discarded_bytes else None


def begin_read(reading: Reading) -> None:
    """Precedes the events of the bytes that were read."""
    reading.eventful = False
    reading.data_before = -1
    if reading.phase is Phase.BODY:
        reading.data_before = reading.data_bytes + reading.discarded_bytes


def end_read(reading: Reading, limits: ConnectionLimits, size: int) -> Reason | None:
    """Follows the events of `size` bytes that were read."""
    reading.quiet_bytes = 0 if reading.eventful else reading.quiet_bytes + size
    if reading.phase is Phase.BODY:
        if reading.data_before >= 0:
            data = reading.data_bytes + reading.discarded_bytes - reading.data_before
            reading.framing_bytes += size - data
        allowed = limits.framing_bytes + FRAMING_BYTES_PER_BYTE * reading.data_bytes
        return Reason.FRAMING_BYTES if reading.framing_bytes > allowed else None
    if reading.phase is Phase.HEAD:
        total = reading.head_bytes + reading.quiet_bytes
        return Reason.HEAD_BYTES if total > limits.head_bytes else None
    return Reason.EMPTY_BYTES if reading.quiet_bytes > limits.empty_bytes else None


def is_large(reading: Reading) -> bool:
    """Returns whether the current message, or what is thrown away, is large."""
    size = reading.head_bytes + reading.data_bytes + reading.discarded_bytes
    return size > LARGE_BYTES or reading.parts > LARGE_PARTS


def measure_held(reading: Reading, ahead_bytes: Collection[int]) -> int:
    """Returns the bytes that a connection holds of messages that aren't complete or not begun.

    Args:
        reading: What it has received of its current message.
        ahead_bytes: Sizes of the bodies of complete requests that wait for earlier ones.
    """
    ahead = sum(ahead_bytes) + len(ahead_bytes) * REQUEST_BYTES
    if reading.phase is Phase.HEAD:
        return ahead + reading.head_bytes + reading.quiet_bytes
    return ahead + (reading.data_bytes if reading.phase is Phase.BODY else 0)
