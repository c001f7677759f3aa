"""HTTP endpoint `/where` beside the metrics of an entry; changes nothing there.

`GET /where?job=ID` asks for an open request, `GET /where?route=NAME&cpu=...` for one of a single
step, and `POST /where?route=NAME` for one whose body is that of a submission.
"""

import asyncio
import math
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from result import Err, Ok, Result

from comfreysill.gateway.where_document import build_document
from comfreysill.placement.whereabouts import Whereabouts
from comfreysill.platform.bodies import read_body
from comfreysill.platform.documents import MAX_AMOUNT
from comfreysill.platform.submission import (
    MAX_TASKS_PER_REQUEST,
    REQUEST_ID_PATTERN,
    decode_submission,
)
from comfreysill.request.types import Specification, Step
from comfreysill.routes.table import Route, RouteTable

WHERE_PATH = "/where"
# Id of a request that isn't sent.
UNSENT_ID = "a-request-that-is-not-sent"
MAX_BODY_BYTES = 256 << 10
MAX_QUERY_BYTES = 2_048
MAX_ESTIMATE_SECONDS = 86_400.0
MAX_DIGITS = 10
ANSWERS_PER_SECOND = 4.0
ANSWER_TIMEOUT_SECONDS = 2.0
_PARAMETERS = ("route", "cpu", "memory_mb", "estimate", "count", "rack", "label")


class RateLimit:
    """Limit of the rate of questions; as many as it allows in a second may come at once.

    Attributes:
        interval_seconds: Time between two questions in the long run.
        free_at: Boot-clock time in seconds at which all questions so far are paid for.
    """

    __slots__ = ("interval_seconds", "free_at")

    def __init__(self, *, per_second: float = ANSWERS_PER_SECOND) -> None:
        self.interval_seconds = 1 / per_second
        self.free_at = 0.0


def take_turn(limit: RateLimit, now: float) -> float:
    """Counts a question if it is allowed; returns the time in seconds until one is, else 0."""
    # All but one of a second's questions may be unpaid.
    allowed_at = limit.free_at - (1 - limit.interval_seconds)
    if now < allowed_at:
        return allowed_at - now
    limit.free_at = max(limit.free_at, now) + limit.interval_seconds
    return 0.0


def build_where_app(
    fallback: Callable[..., Any],
    get_routes: Callable[[], RouteTable],
    locate: Callable[[Specification | str], Awaitable[Whereabouts]],
    limit: RateLimit,
    read_clock: Callable[[], float],
) -> Callable[..., Any]:
    """Builds the ASGI application that answers `/where`; other paths are those of `fallback`."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["path"] != WHERE_PATH:
            await fallback(scope, receive, send)
            return
        if scope["method"] not in ("GET", "POST"):
            await _refuse(send, 405, "use GET or POST")
            return
        wait_seconds = take_turn(limit, read_clock())
        if wait_seconds:
            await _refuse(send, 429, "too many questions", math.ceil(wait_seconds))
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            await _refuse(send, 413, f"body: at most {MAX_BODY_BYTES} bytes are allowed")
            return
        decoded = decode_question(scope["method"], scope["query_string"], body, get_routes())
        if isinstance(decoded, Err):
            await _refuse(send, 400, decoded.err_value)
            return
        await _answer(send, locate, decoded.ok_value, read_clock)

    return serve


async def _answer(
    send: Any,
    locate: Callable[[Specification | str], Awaitable[Whereabouts]],
    target: Specification | str | Whereabouts,
    read_clock: Callable[[], float],
) -> None:
    if not isinstance(target, Whereabouts):
        try:
            target = await asyncio.wait_for(locate(target), ANSWER_TIMEOUT_SECONDS)
        except (TimeoutError, asyncio.CancelledError) as error:
            task = asyncio.current_task()
            if isinstance(error, asyncio.CancelledError) and task is not None and task.cancelling():
                raise
            await _refuse(send, 503, "the entry gave no answer", 1)
            return
    await _send(send, 200, build_document(target, read_clock()))


def decode_question(
    method: str, query: bytes, body: bytes, table: RouteTable
) -> Result[Specification | str | Whereabouts, str]:
    """Decodes a question.

    Returns:
        The request, the id of an open one, or the answer if its route is unknown; or the field at
        fault and why.
    """
    if len(query) > MAX_QUERY_BYTES:
        return Err(f"query: at most {MAX_QUERY_BYTES} bytes are allowed")
    pairs = urllib.parse.parse_qsl(query.decode("latin-1"), keep_blank_values=True)
    parameters = dict(pairs)
    if len(parameters) != len(pairs):
        return Err("query: a parameter is given twice")
    allowed = ("route",) if method == "POST" else ("job",) if "job" in parameters else _PARAMETERS
    for name in parameters:
        if name not in allowed:
            return Err(f"{name}: not allowed here, expected {', '.join(allowed)}")
    if "job" in parameters:
        if not REQUEST_ID_PATTERN.fullmatch(parameters["job"]):
            return Err(f"job: expected {REQUEST_ID_PATTERN.pattern}")
        return Ok(parameters["job"])
    if not parameters.get("route"):
        return Err("route: missing")
    route = _find_named(table, parameters["route"])
    if route is None:
        return Ok(_build_unknown_route(parameters["route"], table))
    if method == "POST":
        decoded = decode_submission(UNSENT_ID, route, body)
        return Err(decoded.err_value.detail) if isinstance(decoded, Err) else decoded
    return _build_specification(route, parameters)


def _find_named(table: RouteTable, name: str) -> Route | None:
    routes = (route for routes in table.by_host.values() for route in routes)
    return next((route for route in routes if route.name == name), None)


def _build_unknown_route(name: str, table: RouteTable) -> Whereabouts:
    answer = Whereabouts()
    answer.refused = True
    answer.reason = f"no route {name} in version {table.version} of the routes"
    return answer


def _build_specification(route: Route, parameters: dict[str, str]) -> Result[Specification, str]:
    amounts = {}
    for name, least, most in (
        ("cpu", 0, MAX_AMOUNT),
        ("memory_mb", 0, MAX_AMOUNT),
        ("count", 1, MAX_TASKS_PER_REQUEST),
    ):
        text = parameters.get(name, "")
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
        if not (is_number and least <= int(text) <= most):
            return Err(f"{name}: expected a whole number from {least} to {most}")
        amounts[name] = int(text)
    try:
        estimate = float(parameters.get("estimate", ""))
    except ValueError:
        estimate = math.nan
    if not 0 <= estimate <= MAX_ESTIMATE_SECONDS:
        return Err(f"estimate: expected seconds from 0 to {MAX_ESTIMATE_SECONDS:.0f}")
    step = Step(
        count=amounts["count"],
        cpu=amounts["cpu"],
        memory_mb=amounts["memory_mb"],
        estimate=estimate,
        label=parameters.get("label", ""),
        rack=parameters.get("rack", ""),
    )
    return Ok(
        Specification(
            request_id=UNSENT_ID,
            route=route.name,
            service=route.service,
            payload="",
            steps=(step,),
            priority=route.priority,
            max_attempts=route.max_attempts,
            stretch=route.stretch,
            slack_seconds=route.slack_seconds,
        )
    )


async def _refuse(send: Any, status: int, detail: str, retry_seconds: int = 0) -> None:
    await _send(send, status, {"detail": detail}, retry_seconds)


async def _send(send: Any, status: int, document: Any, retry_seconds: int = 0) -> None:
    body = orjson.dumps(document)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if retry_seconds:
        headers.append((b"retry-after", str(retry_seconds).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
