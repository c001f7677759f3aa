"""Decodes the bodies of requests, which the platform calls jobs, into specifications."""

import enum
from typing import Any

import orjson
from result import Err, Ok, Result

from comfreysill.request.types import Specification, Step
from comfreysill.routes.table import Route


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


UNSUPPORTED_STEP_FIELDS = ("gang", "long-running", "fills")


def decode_submission(
    request_id: str, route: Route, body: bytes
) -> Result[Specification, RejectedSubmission]:
    """Decodes the body of a request for a route."""
    try:
        document = orjson.loads(body)
        unsupported = _find_unsupported_feature(document, route)
        if unsupported:
            return Err(RejectedSubmission(rejection=Rejection.UNSUPPORTED, detail=unsupported))
        steps = tuple(_decode_step(step) for step in document["steps"])
        payload = document.get("spec", "")
        if not steps or not isinstance(payload, str) or not _is_ordered(steps):
            raise ValueError("no steps, or steps out of order")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        detail = f"{type(error).__name__} {error}"
        return Err(RejectedSubmission(rejection=Rejection.INVALID, detail=detail))
    return Ok(
        Specification(
            request_id=request_id,
            route=route.name,
            service=route.service,
            payload=payload,
            steps=steps,
            priority=route.priority,
            max_attempts=route.max_attempts,
            stretch=route.stretch,
            slack_seconds=route.slack_seconds,
        )
    )


def _find_unsupported_feature(document: dict[str, Any], route: Route) -> str:
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


def _is_ordered(steps: tuple[Step, ...]) -> bool:
    return all(0 <= before < number for number, step in enumerate(steps) for before in step.after)


def _decode_step(document: dict[str, Any]) -> Step:
    count = int(document["count"])
    if count < 1:
        raise ValueError("a step without tasks")
    return Step(
        count=count,
        cpu=int(document.get("cpu", 0)),
        memory_mb=int(document.get("mem-mb", 0)),
        gpus=int(document.get("gpus", 0)),
        estimate=float(document.get("estimate-ms", 0)) / 1000,
        after=tuple(int(number) for number in document.get("after") or ()),
        label=str(document.get("requires") or ""),
        rack=str(document.get("data-rack") or ""),
        # Maximum number of tasks of the step on one target.
        per_target=int(document.get("anti-affinity") or 0),
    )
