"""Decoding of log records from the output of entries and agents on the platform."""

import pathlib
from collections.abc import Iterable
from typing import Any

import orjson

from comfreysill.exceptions import UsageError


class Record:
    """One log record.

    Attributes:
        time: Unix time in seconds on the clock of the process.
        process: Name of the process.
        event: Text of the event.
        fields: All other keys of the record.
    """

    __slots__ = ("time", "process", "event", "fields")

    def __init__(self, *, time: float, process: str, event: str, fields: dict[str, Any]) -> None:
        self.time = time
        self.process = process
        self.event = event
        self.fields = fields


def decode_line(line: bytes) -> Record | None:
    """Decodes a line, ignoring any prefix before the JSON object.

    Returns:
        The record, or None if the line is not a log record of a process.
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
    """Returns the log records of files, ordered by time.

    Raises:
        UsageError: A file can't be read, or no file contains a log record.
    """
    records = []
    for path in paths:
        try:
            with path.open("rb") as lines:
                records += filter(None, map(decode_line, lines))
        except OSError as error:
            raise UsageError(message=f"{path}: {error.strerror}") from error
    if not records:
        hint = "pass files with the standard output of entries and agents"
        raise UsageError(message="no log records found", hint=hint)
    records.sort(key=lambda record: record.time)
    return records
