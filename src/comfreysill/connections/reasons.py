"""Why a connection is closed, and what its client is told."""

import enum


class Reason(enum.Enum):
    """Why a connection is closed."""

    MALFORMED = "malformed"
    HEAD_BYTES = "head_bytes"
    HEAD_LINES = "head_lines"
    URL_BYTES = "url_bytes"
    BODY_BYTES = "body_bytes"
    FRAMING_BYTES = "framing_bytes"
    TRAILER_LINES = "trailer_lines"
    EMPTY_BYTES = "empty_bytes"
    REQUESTS_AHEAD = "requests_ahead"
    HEAD_SECONDS = "head_seconds"
    BODY_SECONDS = "body_seconds"
    IDLE_SECONDS = "idle_seconds"
    UNREAD_SECONDS = "unread_seconds"
    CONNECTIONS = "connections"
    HELD_BYTES = "held_bytes"
    DISCARDED = "discarded"
    CONTROL_FRAMES = "control_frames"


# Status of the answer; the others are closed without one.
STATUSES = {
    Reason.MALFORMED: 400,
    Reason.HEAD_BYTES: 431,
    Reason.HEAD_LINES: 431,
    Reason.URL_BYTES: 414,
    Reason.BODY_BYTES: 413,
    Reason.FRAMING_BYTES: 400,
    Reason.TRAILER_LINES: 431,
    Reason.EMPTY_BYTES: 400,
    Reason.REQUESTS_AHEAD: 429,
    Reason.HEAD_SECONDS: 408,
    Reason.BODY_SECONDS: 408,
    Reason.CONNECTIONS: 503,
    Reason.HELD_BYTES: 503,
}
# Statuses after which the same request may be sent again.
RETRIED_STATUSES = frozenset({429, 503})
