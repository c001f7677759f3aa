"""What a link has received of HTTP/2, and whether that is within the limits.

The frames are counted before the library sees them, as it answers or keeps each of them.
"""

import enum

from comfreysill.connections.limits import LinkLimits
from comfreysill.connections.reasons import Reason

OPENING_BYTES = len(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
FRAME_HEAD_BYTES = 9
# A call counts as this many frames without data.
CALL_COST = 4


class FrameType(enum.IntEnum):
    """Types of frames that are distinguished here."""

    DATA = 0
    HEADERS = 1
    CONTINUATION = 9


class FrameReading:
    """Progress of a link.

    Attributes:
        skipped_bytes: Bytes up to the head of the next frame that are still to come.
        frame_head: Received part of the head of a frame.
        head_bytes: Size of the current head of a call.
        control_frames: Number of frames without data since `counted_at`, less those allowed since.
        counted_at: Time in seconds at which `control_frames` was last reduced.
    """

    __slots__ = ("skipped_bytes", "frame_head", "head_bytes", "control_frames", "counted_at")

    def __init__(self, *, now: float) -> None:
        self.skipped_bytes = OPENING_BYTES
        self.frame_head = b""
        self.head_bytes = 0
        self.control_frames = 0.0
        self.counted_at = now


def read_frames(
    reading: FrameReading, limits: LinkLimits, data: bytes, now: float
) -> Reason | None:
    """Counts the frames that begin in what was read; returns the limit that they exceed.

    Args:
        reading: Progress of the link, which is updated.
        limits: Limits of the link.
        data: What was read.
        now: Time in seconds on a steady clock.
    """
    _allow_control_frames(reading, limits, now)
    position = 0
    while position < len(data):
        if reading.skipped_bytes:
            skipped = min(reading.skipped_bytes, len(data) - position)
            reading.skipped_bytes -= skipped
            position += skipped
            continue
        missing = FRAME_HEAD_BYTES - len(reading.frame_head)
        reading.frame_head += data[position : position + missing]
        position += missing
        if len(reading.frame_head) < FRAME_HEAD_BYTES:
            return None
        reason = _count_frame(reading, limits)
        if reason is not None:
            return reason
    return None


def _allow_control_frames(reading: FrameReading, limits: LinkLimits, now: float) -> None:
    allowed = (now - reading.counted_at) * limits.control_frames_per_second
    reading.control_frames = max(0.0, reading.control_frames - allowed)
    reading.counted_at = now


def _count_frame(reading: FrameReading, limits: LinkLimits) -> Reason | None:
    size = int.from_bytes(reading.frame_head[:3], "big")
    kind = reading.frame_head[3]
    reading.frame_head = b""
    reading.skipped_bytes = size
    if kind == FrameType.DATA and size:
        return None
    if kind == FrameType.HEADERS:
        reading.head_bytes = 0
    if kind in (FrameType.HEADERS, FrameType.CONTINUATION):
        reading.head_bytes += size
        if reading.head_bytes > limits.head_bytes:
            return Reason.HEAD_BYTES
    reading.control_frames += CALL_COST if kind == FrameType.HEADERS else 1
    return Reason.CONTROL_FRAMES if reading.control_frames > limits.control_frames else None
