"""Decodes the bodies of requests, which the platform calls jobs, into specifications."""

import enum
import re
from typing import Annotated, Required, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from comfreysill.platform.documents import (
    Amount,
    DurationMs,
    Integer,
    OptionalName,
    decode_document,
)
from comfreysill.request.types import Specification, Step
from comfreysill.routes.table import Route

# The largest jobs have 970 tasks.
MAX_TASKS_PER_REQUEST = 2_000
MAX_STEPS_PER_REQUEST = 200
MAX_PAYLOAD_CHARS = 16_384
REQUEST_ID_PATTERN = re.compile(r"[0-9A-Za-z-]{1,64}")

StepDocument = TypedDict(
    "StepDocument",
    {
        "count": Required[Annotated[int, Meta(ge=1, le=MAX_TASKS_PER_REQUEST)]],
        "cpu": Amount,
        "mem-mb": Amount,
        "gpus": Amount,
        "estimate-ms": DurationMs,
        "after": Annotated[list[Amount], Meta(max_length=MAX_STEPS_PER_REQUEST)],
        "requires": OptionalName,
        "data-rack": OptionalName,
        # Maximum number of tasks of the step on one target.
        "anti-affinity": Amount,
        "gang": bool,
        "long-running": bool,
        "fills": bool,
    },
    total=False,
)
SubmissionDocument = TypedDict(
    "SubmissionDocument",
    {
        "spec": Annotated[str, Meta(max_length=MAX_PAYLOAD_CHARS)],
        "steps": Required[
            Annotated[list[StepDocument], Meta(min_length=1, max_length=MAX_STEPS_PER_REQUEST)]
        ],
        "best-effort": bool,
        "repeat-count": Integer,
    },
    total=False,
)
_DECODER = msgspec.json.Decoder(SubmissionDocument)

UNSUPPORTED_STEP_FIELDS = ("gang", "long-running", "fills")


class Rejection(enum.IntEnum):
    """Reason for rejecting a body: it is invalid, or it uses an unsupported feature."""

    INVALID = 0
    UNSUPPORTED = 1


class RejectedSubmission:
    """A rejected body; `detail` is sent to the caller."""

    __slots__ = ("rejection", "detail")

    def __init__(self, *, rejection: Rejection, detail: str) -> None:
        self.rejection = rejection
        self.detail = detail


def decode_submission(
    request_id: str, route: Route, body: bytes
) -> Result[Specification, RejectedSubmission]:
    """Decodes the body of a request for a route."""
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        return _reject(f"invalid request id, expected {REQUEST_ID_PATTERN.pattern}")
    decoded = decode_document(_DECODER, body)
    if isinstance(decoded, Err):
        return _reject(decoded.err_value)
    document = decoded.ok_value
    invalid = _find_invalid_combination(document["steps"])
    if invalid:
        return _reject(invalid)
    unsupported = _find_unsupported_feature(document, route)
    if unsupported:
        return Err(RejectedSubmission(rejection=Rejection.UNSUPPORTED, detail=unsupported))
    return Ok(
        Specification(
            request_id=request_id,
            route=route.name,
            service=route.service,
            payload=document.get("spec", ""),
            steps=tuple(_build_step(step) for step in document["steps"]),
            priority=route.priority,
            max_attempts=route.max_attempts,
            stretch=route.stretch,
            slack_seconds=route.slack_seconds,
        )
    )


def _reject(detail: str) -> Err[RejectedSubmission]:
    return Err(RejectedSubmission(rejection=Rejection.INVALID, detail=detail))


def _find_invalid_combination(steps: list[StepDocument]) -> str:
    """Returns the path and fault of steps that are invalid together, empty if there is none."""
    task_count = sum(step["count"] for step in steps)
    if task_count > MAX_TASKS_PER_REQUEST:
        return f"$.steps: {task_count} tasks, at most {MAX_TASKS_PER_REQUEST} are allowed"
    for number, step in enumerate(steps):
        if any(predecessor >= number for predecessor in step.get("after", ())):
            return f"$.steps[{number}].after: a step can depend on earlier steps only"
    return ""


def _find_unsupported_feature(document: SubmissionDocument, route: Route) -> str:
    if not document.get("best-effort"):
        return "jobs that have to be stored are not taken yet"
    if document.get("repeat-count"):
        return "repeated jobs are not taken yet"
    if route.advised:
        return "queues with an advisory service are not served yet"
    for step in document["steps"]:
        for field in UNSUPPORTED_STEP_FIELDS:
            if step.get(field):
                return f"steps with {field} are not taken yet"
    return ""


def _build_step(document: StepDocument) -> Step:
    return Step(
        count=document["count"],
        cpu=document.get("cpu", 0),
        memory_mb=document.get("mem-mb", 0),
        gpus=document.get("gpus", 0),
        estimate=document.get("estimate-ms", 0.0) / 1000,
        after=tuple(document.get("after", ())),
        label=document.get("requires", ""),
        rack=document.get("data-rack", ""),
        per_target=document.get("anti-affinity", 0),
    )
