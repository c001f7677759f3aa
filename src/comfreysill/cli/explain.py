"""The command that explains what became of a request."""

import pathlib
from typing import Any

from comfreysill.exceptions import RefusedError
from comfreysill.story.records import Record, read_records
from comfreysill.story.story import RequestTrace, build_trace


def explain_request(request_id: str, files: list[pathlib.Path]) -> RequestTrace:
    """Reads logs and returns the story of a request.

    Raises:
        UsageError: The files have no log lines.
        RefusedError: No line is about the request.
    """
    story = build_trace(read_records(files), request_id)
    if not story.related:
        raise RefusedError(message=f"{request_id}: {story.cause}", hint="name all entries' logs")
    return story


def describe_record(record: Record, begins: float) -> str:
    """Returns a line for people: seconds since the begin, process, event and fields."""
    said = {name: value for name, value in record.fields.items() if name != "level"}
    rest = " ".join(f"{name}={value}" for name, value in said.items())
    return f"{record.time - begins:+9.3f}  {record.process:20}  {record.event}  {rest}"


def describe_trace(story: RequestTrace) -> dict[str, Any]:
    """Returns the story for programs."""
    return {
        "request": story.request_id,
        "cause": story.cause,
        "lines": [
            {"time": r.time, "process": r.process, "event": r.event, **r.fields}
            for r in story.context
        ],
    }
