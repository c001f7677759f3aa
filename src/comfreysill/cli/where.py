"""Command that asks an entry on the platform where the tasks of a request would go."""

import asyncio
import pathlib
import urllib.parse
from typing import Any

import orjson

from comfreysill.cli.client import check_reply, request_once
from comfreysill.cli.tables import print_table
from comfreysill.exceptions import UsageError

WHERE_PATH = "/where"
PLACE_COLUMNS = ("target", "tasks", "run s", "free cpu", "zone", "near", "load age s", "why not")


class Question:
    """HTTP method, path with query, and document of a question; None for no document."""

    __slots__ = ("method", "path", "document")

    def __init__(self, *, method: str, path: str, document: Any = None) -> None:
        self.method = method
        self.path = path
        self.document = document


def build_question(
    *,
    job: str | None,
    file: pathlib.Path | None,
    route: str | None,
    step: dict[str, Any],
) -> Question:
    """Builds the question from the options of the command; `step` has None for those not given.

    Raises:
        UsageError: Options are missing or exclude each other, or the file can't be read.
    """
    given = {name: str(value) for name, value in step.items() if value is not None}
    if job is not None:
        _forbid("--job", {"file": file, "route": route, **given})
        return Question(method="GET", path=_build_path({"job": job}))
    if not route:
        raise UsageError(message="--route: missing", hint="give --route NAME, or --job ID")
    if file is not None:
        _forbid("--file", given)
        path = _build_path({"route": route})
        return Question(method="POST", path=path, document=_read_document(file))
    for name in ("cpu", "memory_mb", "estimate", "count"):
        if name not in given:
            raise UsageError(message=f"--{name}: missing", hint="or describe the request by --file")
    return Question(method="GET", path=_build_path({"route": route, **given}))


def ask(entry: str, question: Question) -> dict[str, Any]:
    """Asks the entry with a metrics address; returns its answer.

    Raises:
        UnreachableError: It did not answer, or not with JSON.
        RefusedError: It refused the question.
    """
    address = entry if "://" in entry else f"http://{entry}"
    request = request_once(address, question.method, question.path, question.document)
    return check_reply(asyncio.run(request))


def print_answer(document: dict[str, Any]) -> None:
    """Prints what would happen to the request, and a table for each step."""
    print(describe_answer(document))
    if document["placed"]:
        rows = [task.values() for task in document["placed"]]
        print_table("Placed", ("task", "target", "ends in s"), rows)
    for step in document["steps"]:
        print_table(describe_step(step), PLACE_COLUMNS, list_place_rows(step))


def list_place_rows(step: dict[str, Any]) -> list[tuple[Any, ...]]:
    """Returns the rows of a step's table: candidates in order, then the excluded agents."""
    rows = [
        (
            place["agent"],
            place["tasks"],
            f"{place['run_seconds']:.3f}",
            place["cpu"],
            place["zone"],
            "near" if place["near"] else "far",
            _format_age(place["load_age"]),
            place["reason"],
        )
        for place in step["candidates"]
    ]
    for excluded in step["excluded"]:
        age = _format_age(excluded["load_age"])
        rows.append((excluded["agent"], "-", "-", "-", "-", "-", age, excluded["reason"]))
    return rows


def describe_step(step: dict[str, Any]) -> str:
    """Returns the title of a step's table."""
    title = f"Step {step['step']}: {step['tasks']} task(s), {step['unplaced']} without a place now"
    if step["after"]:
        title += f", after {', '.join(map(str, step['after']))}"
    if step["suspects"]:
        title += f", {step['suspects']} more to be isolated"
    if step["waiting"]:
        title += f", {step['waiting']} waiting for a near place"
    if step["may_wait"]:
        title += ", may wait for a near place"
    return title


def describe_answer(document: dict[str, Any]) -> str:
    """Returns what would happen to the request as a whole, in one line."""
    reason = f": {document['reason']}" if document["reason"] else ""
    if not document["known"]:
        return f"{document['job']} is unknown{reason}"
    if document["refused"]:
        retry = f"; retry after {document['retry_after']} s" if document["retry_after"] else ""
        return f"would be refused now{reason}{retry}"
    text = f"would wait{reason}" if reason else "may be placed now"
    if document["refused_in"] is not None:
        text += f"; refused in {document['refused_in']:.3f} s unless it begins before"
    return f"{text}; {document['queued_ahead']} other request(s) queued"


def _forbid(option: str, others: dict[str, Any]) -> None:
    for name, value in others.items():
        if value is not None:
            raise UsageError(message=f"--{name}: not allowed with {option}")


def _build_path(parameters: dict[str, str]) -> str:
    return f"{WHERE_PATH}?{urllib.parse.urlencode(parameters)}"


def _read_document(file: pathlib.Path) -> Any:
    try:
        return orjson.loads(file.read_bytes())
    except OSError as error:
        raise UsageError(message=f"--file {file}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise UsageError(message=f"--file {file}: not JSON ({error})") from error


def _format_age(seconds: float | None) -> str:
    return "unknown" if seconds is None else f"{seconds:.3f}"
