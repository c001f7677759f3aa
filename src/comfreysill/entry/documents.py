"""JSON documents exchanged with callers: submissions, answers and problem details."""

import base64
import math
from datetime import UTC, datetime
from typing import Any

import fastjsonschema
import orjson
import xxhash
from result import Err, Ok, Result

from comfreysill.job.types import (
    Answer,
    JobKey,
    Reason,
    Submission,
    TaskClass,
    TaskSpec,
    Verdict,
)

MAX_PAYLOAD_CHARACTERS = 65_536
MAX_TASKS = 2_000

NAME_PATTERN = "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
SUBMISSION_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["class", "deadline", "service", "tasks"],
    "properties": {
        "class": {"enum": ["urgent", "normal", "bulk"]},
        "deadline": {"type": "number", "exclusiveMinimum": 0},
        "issued_at": {"type": "number", "exclusiveMinimum": 0},
        "service": {"type": "string", "pattern": NAME_PATTERN},
        "tasks": {
            "type": "array",
            "minItems": 1,
            "maxItems": MAX_TASKS,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["payload"],
                "properties": {
                    "payload": {"type": "string", "maxLength": MAX_PAYLOAD_CHARACTERS},
                    "run_time": {"type": "number", "exclusiveMinimum": 0, "maximum": 3600},
                    "size_mb": {"type": "integer", "minimum": 0, "maximum": 1_048_576},
                    "idempotent": {"type": "boolean"},
                },
            },
        },
    },
}
DEFAULT_RUN_TIME_SECONDS = 0.5

_validate_submission = fastjsonschema.compile(SUBMISSION_SCHEMA)

STATUS_BY_REASON = {
    Reason.EXPIRED: 504,
    Reason.HORIZON: 422,
    Reason.CONFLICT: 409,
    Reason.QUEUE_FULL: 429,
    Reason.NO_TARGET: 422,
    Reason.TASK_FAILED: 502,
    Reason.LOST: 502,
    Reason.CANCELLED: 410,
    Reason.NOT_READY: 503,
    Reason.QUOTA: 429,
    Reason.UNKNOWN_TEAM: 403,
    Reason.TOO_LARGE: 422,
    Reason.UNMEETABLE: 422,
    Reason.STOPPING: 503,
}


def parse_submission(team: str, job_id: str, body: bytes) -> Result[Submission, str]:
    """Validates and parses a submission.

    The digest covers the parsed content, so that a resubmission may differ in whitespace and in
    the order of keys.

    Returns:
        The submission, or a message that says what is wrong and where.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Err(f"the body is not valid JSON: {error}")
    try:
        _validate_submission(document)
    except fastjsonschema.JsonSchemaException as error:
        return Err(error.message.replace("data", "job", 1))
    if not math.isfinite(document["deadline"]):
        return Err("job.deadline must be finite")
    content = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    submission = Submission(
        key=JobKey(team=team, job_id=job_id),
        digest=xxhash.xxh3_128_digest(content),
        task_class=TaskClass[document["class"].upper()],
        deadline=float(document["deadline"]),
        service=document["service"],
        tasks=tuple(_parse_task(task) for task in document["tasks"]),
        issued_at=float(document.get("issued_at", 0.0)),
    )
    return Ok(submission)


def format_answer(answer: Answer) -> dict[str, Any]:
    """Formats a complete answer; a result that isn't valid UTF-8 becomes an object with base64."""
    return {
        "team": answer.key.team,
        "id": answer.key.job_id,
        "status": "complete",
        "verdict": format_verdict(answer.verdict),
        "results": [_format_result(result) for result in answer.results],
    }


def format_problem(answer: Answer) -> dict[str, Any]:
    """Formats a failed answer as problem details (RFC 9457).

    Members beyond the standard are the verdict, team and ID and, unless 0, `retry_at`.
    """
    problem = {
        "type": f"urn:comfreysill:{answer.reason.name.lower().replace('_', '-')}",
        "title": answer.reason.name.lower().replace("_", " "),
        "status": STATUS_BY_REASON.get(answer.reason, 500),
        "detail": answer.detail,
        "verdict": format_verdict(answer.verdict),
        "team": answer.key.team,
        "id": answer.key.job_id,
    }
    if answer.retry_at:
        problem["retry_at"] = answer.retry_at
    return problem


def format_verdict(verdict: Verdict) -> str:
    """Returns the verdict in the form that callers receive."""
    return verdict.name.lower().replace("_", " ")


def format_retry_after(retry_at: float) -> str:
    """Formats a Unix time in seconds as an HTTP date, rounded up."""
    moment = datetime.fromtimestamp(math.ceil(retry_at), UTC)
    return moment.strftime("%a, %d %b %Y %H:%M:%S GMT")


def _parse_task(task: dict[str, Any]) -> TaskSpec:
    return TaskSpec(
        payload=task["payload"].encode(),
        run_time=float(task.get("run_time", DEFAULT_RUN_TIME_SECONDS)),
        size_mb=task.get("size_mb", 0),
        idempotent=task.get("idempotent", False),
    )


def _format_result(result: bytes) -> Any:
    try:
        return result.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(result).decode()}
