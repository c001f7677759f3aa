"""Form of a runner's report, and its decoding.

Other writers may send reports too. Such a report is told from the runner's own by its form: a field
is missing or has another type. So the fields that aren't used here are checked as well.
"""

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from comfreysill.address import parse_address
from comfreysill.execution.calls import RunnerLifetime, RunnerReport
from comfreysill.platform.documents import (
    Amount,
    ClockMs,
    DurationMs,
    Integer,
    Name,
    OptionalName,
    decode_document,
)

MAX_LABELS = 100

CapacityDocument = TypedDict("CapacityDocument", {"cpu": Amount, "mem-mb": Amount, "gpus": Amount})
# Beside each field is where the users' page names it.
ReportDocument = TypedDict(
    "ReportDocument",
    {
        # "The call includes":
        "service": Name,
        "address": OptionalName,
        "zone": OptionalName,
        "version": OptionalName,
        "slots": Amount,
        "state": Literal["ready", "draining"],
        "cold-left-ms": ClockMs,
        # A number that is far ahead would outdate all later reports.
        "seq": Amount,
        # "A runner's report about itself also contains":
        "capacity": CapacityDocument,
        "labels": Annotated[list[OptionalName], Meta(max_length=MAX_LABELS)],
        # "at the top level of all that it says of itself":
        "born": Integer,
        # In the example of a report:
        "clock-ms": ClockMs,
        # "While the runner drains, the report also contains":
        "remaining-ms": NotRequired[DurationMs],
        # "the runner identifies that machine":
        "machine": NotRequired[OptionalName],
    },
)
_REPORT_DECODER = msgspec.json.Decoder(ReportDocument)


def decode_report(runner_id: str, body: bytes) -> Result[RunnerReport, str]:
    """Decodes a report; the error names the invalid field and the bound."""
    decoded = decode_document(_REPORT_DECODER, body)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.ok_value
    try:
        parse_address(document["address"])
    except ValueError as error:
        return Err(str(error))
    capacity = document["capacity"]
    return Ok(
        RunnerReport(
            lifetime=RunnerLifetime(runner_id=runner_id, started_at_ms=document["born"]),
            service=document["service"],
            address=document["address"],
            zone=document["zone"],
            draining=document["state"] == "draining",
            sequence=document["seq"],
            cpu=capacity["cpu"],
            memory_mb=capacity["mem-mb"],
            gpus=capacity["gpus"],
            labels=tuple(document["labels"]),
        )
    )
