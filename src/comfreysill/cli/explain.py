"""Command that explains the outcome of a request to the platform from log files."""

import pathlib
from typing import Any

from comfreysill.exceptions import RefusedError
from comfreysill.request_trace.holdings import build_document
from comfreysill.request_trace.records import Record, read_records
from comfreysill.request_trace.trace import RequestTrace, build_trace


def explain_request(request_id: str, files: list[pathlib.Path]) -> RequestTrace:
    """Reads log files and returns the trace of a request.

    Raises:
        UsageError: A file can't be read, or no file contains a log record.
        RefusedError: No log record concerns the request.
    """
    trace = build_trace(read_records(files), request_id)
    if not trace.related:
        raise RefusedError(
            message=f"{request_id}: {trace.cause}", hint="pass the logs of all entries"
        )
    return trace


def describe_record(record: Record, start_time: float) -> str:
    """Formats a record as one line: seconds since `start_time`, process, event and fields.

    The log level is left out.
    """
    shown_fields = {name: value for name, value in record.fields.items() if name != "level"}
    text = " ".join(f"{name}={value}" for name, value in shown_fields.items())
    return f"{record.time - start_time:+9.3f}  {record.process:20}  {record.event}  {text}"


def describe_trace(trace: RequestTrace) -> dict[str, Any]:
    """Returns the trace as a document for JSON output."""
    return {
        "request": trace.request_id,
        "cause": trace.cause,
        "holdings": [build_document(holding) for holding in trace.holdings],
        "lines": [
            {"time": r.time, "process": r.process, "event": r.event, **r.fields}
            for r in trace.context
        ],
    }
