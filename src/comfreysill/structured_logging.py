"""Logging of entries and agents on the platform: rate-limited JSON lines on standard output."""

import json
import logging
import os
import time

import msgspec

from comfreysill.clock import measure_unix_offset, read_boot_clock

STDOUT_FD = 1
LINES_PER_SECOND = 200
BURST_LINES = 400


class JsonLineHandler(logging.Handler):
    """Writes records as JSON lines, rate-limited by a token bucket.

    Records beyond the rate, unless they are errors, and records whose write would block are dropped
    and counted.

    Attributes:
        process: Name of the process, written on each line.
        tokens: Number of lines that may be written now; negative after errors beyond the rate.
        refilled_at: Monotonic time in seconds of the last refill.
        dropped: Number of lines dropped since the last line that was written.
        unix_offset: Seconds to add to the boot clock to get Unix time, measured once: the times of
            a process's lines never go back, even if its time of day does.
    """

    __slots__ = ("process", "tokens", "refilled_at", "dropped", "unix_offset")

    def __init__(self, *, process: str) -> None:
        super().__init__()
        self.process = process
        self.tokens = float(BURST_LINES)
        self.refilled_at = time.monotonic()
        self.dropped = 0
        self.unix_offset = measure_unix_offset()

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops and counts it."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1 and record.levelno < logging.ERROR:
            self.dropped += 1
            return
        self.tokens -= 1
        self._write(record)

    def _write(self, record: logging.LogRecord) -> None:
        line = {
            "time": round(read_boot_clock() + self.unix_offset, 3),
            "level": record.levelname.lower(),
            "process": self.process,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if self.dropped:
            line["dropped_before"] = self.dropped
        if record.exc_info:
            line["traceback"] = self._format_traceback(record)
        try:
            os.write(STDOUT_FD, _encode_line(line) + b"\n")
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1

    def _format_traceback(self, record: logging.LogRecord) -> str:
        """Returns the traceback of a record as text."""
        return logging.Formatter().formatException(record.exc_info)


def _encode_line(line: dict[str, object]) -> bytes:
    """Encodes a line; text that is not valid Unicode is escaped."""
    try:
        return msgspec.json.encode(line, enc_hook=str)
    except UnicodeEncodeError:
        return json.dumps(line, default=str).encode()


def configure_structured_logging(process: str) -> None:
    """Configures logging of this process to standard output, which is set to non-blocking."""
    os.set_blocking(STDOUT_FD, False)
    root = logging.getLogger()
    root.handlers[:] = [JsonLineHandler(process=process)]
    root.setLevel(logging.INFO)
    for name in ("uvicorn.access", "uvicorn.error", "grpclib.server"):
        logging.getLogger(name).setLevel(logging.ERROR)
