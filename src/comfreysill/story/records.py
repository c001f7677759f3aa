"""Log lines of the processes, decoded."""

import pathlib
from collections.abc import Iterable
from typing import Any

import orjson

from comfreysill.exceptions import UsageError


class Record:
    """One log line.

    Attributes:
        time: Unix time in seconds, by the clock of the process.
        process: Name of the process.
        event: What happened.
        fields: All else that the line says.
    """

    __slots__ = ("time", "process", "event", "fields")

    def __init__(self, *, time: float, process: str, event: str, fields: dict[str, Any]) -> None:
        self.time = time
        self.process = process
        self.event = event
        self.fields = fields


def decode_line(line: bytes) -> Record | None:
    """Decodes a line; what stands before the JSON object is passed over.

    Returns:
        None for a line that is no log line of a process.
    """
    start = line.find(b"{")
    if start < 0:
        return None
    try:
        document = orjson.loads(line[start:])
        return Record(
            time=float(document.pop("time")),
            process=str(document.pop("process")),
            event=str(document.pop("event")),
            fields=document,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def read_records(paths: Iterable[pathlib.Path]) -> list[Record]:
    """Returns the log lines of files, ordered by time.

    Raises:
        UsageError: A file can't be read, or none has a log line.
    """
    records = []
    for path in paths:
        try:
            with path.open("rb") as lines:
                records += filter(None, map(decode_line, lines))
        except OSError as error:
            raise UsageError(message=f"{path}: {error.strerror}") from error
    if not records:
        hint = "name files that hold what entries and agents write to standard output"
        raise UsageError(message="no log line found", hint=hint)
    records.sort(key=lambda record: record.time)
    return records
