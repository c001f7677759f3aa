"""Structured logs on standard output: JSON lines, bounded, never waiting."""

import logging
import os
import time

import orjson

STDOUT = 1
LINES_PER_SECOND = 200
BURST_LINES = 400


class LineHandler(logging.Handler):
    """Writes records as JSON lines and drops them where they are too many.

    Attributes:
        process: Name of the process, which goes on each line.
        allowance: Lines that may be written now.
        filled_at: Monotonic time in seconds at which the allowance was counted.
        dropped: Lines dropped since the last one that was written.
    """

    __slots__ = ("process", "allowance", "filled_at", "dropped")

    def __init__(self, *, process: str) -> None:
        super().__init__()
        self.process = process
        self.allowance = float(BURST_LINES)
        self.filled_at = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        now = time.monotonic()
        gained = (now - self.filled_at) * LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + gained)
        self.filled_at = now
        if self.allowance < 1 and record.levelno < logging.ERROR:
            self.dropped += 1
            return
        self.allowance -= 1
        self._write(record)

    def _write(self, record: logging.LogRecord) -> None:
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "process": self.process,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if self.dropped:
            line["dropped_before"] = self.dropped
        if record.exc_info:
            line["traceback"] = self.formatException(record)
        try:
            os.write(STDOUT, orjson.dumps(line, default=str) + b"\n")
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1

    def formatException(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Returns the traceback of a record."""
        return logging.Formatter().formatException(record.exc_info)


def configure_structured_logging(process: str) -> None:
    """Sends log lines of this process to standard output."""
    os.set_blocking(STDOUT, False)
    root = logging.getLogger()
    root.handlers[:] = [LineHandler(process=process)]
    root.setLevel(logging.INFO)
    for name in ("uvicorn.access", "uvicorn.error", "grpclib.server"):
        logging.getLogger(name).setLevel(logging.ERROR)
