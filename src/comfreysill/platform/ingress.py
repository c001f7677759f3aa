"""HTTP interface for callers, translated to operations of an entry on the platform."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from result import Err

from comfreysill.gateway.messages import CancelReply, Reply
from comfreysill.platform.bodies import read_body
from comfreysill.platform.documents import encode_document
from comfreysill.platform.submission import (
    REQUEST_ID_PATTERN,
    RejectedSubmission,
    Rejection,
    decode_submission,
)
from comfreysill.request.types import CallerWait, CancelOutcome, Specification, Verdict
from comfreysill.routes.table import Route, RouteTable, find_route
from comfreysill.servers import ARRIVAL_EXTENSION
from comfreysill.turns import Turns, take_turn

# Name of the header with the time in milliseconds for which the caller waits.
WAIT_HEADER = b"x-deadline-ms"
# Longer waits count as unknown, like values that can't be read.
MAX_WAIT_MS = 86_400_000.0
# Submissions up to this size are decoded without waiting for a turn.
SMALL_BODY_BYTES = 4_096
STATE_NAMES = {
    Verdict.COMPLETED: "completed",
    Verdict.FAILED: "failed",
    Verdict.CANCELLED: "cancelled",
}


class EntryOperations:
    """Operations of the entry that the HTTP interface uses.

    Attributes:
        get_routes: Returns the current route table.
        submit: Submits a request; returns the number of its caller and a future reply.
        report_disconnect: Reports that the caller with this number, of the request with this id,
            has disconnected.
        find_state: Returns `queued`, `running`, a cached final verdict, or None for an unknown
            request id.
        cancel: Cancels a request; returns the future reply.
        count_waiting: Returns the number of requests of a route for which no task was placed yet.
        is_closing: Returns whether responses have to close their connections.
        turns: Turns for decoding large submissions.
    """

    __slots__ = (
        "get_routes",
        "submit",
        "report_disconnect",
        "find_state",
        "cancel",
        "count_waiting",
        "is_closing",
        "turns",
    )

    def __init__(
        self,
        *,
        get_routes: Callable[[], RouteTable],
        submit: Callable[[Specification, CallerWait], tuple[int, asyncio.Future[Reply]]],
        report_disconnect: Callable[[int, str], None],
        find_state: Callable[[str], "str | Verdict | None"],
        cancel: Callable[[str], asyncio.Future[CancelReply]],
        count_waiting: Callable[[str], int],
        is_closing: Callable[[], bool],
        turns: Turns,
    ) -> None:
        self.get_routes = get_routes
        self.submit = submit
        self.report_disconnect = report_disconnect
        self.find_state = find_state
        self.cancel = cancel
        self.count_waiting = count_waiting
        self.is_closing = is_closing
        self.turns = turns


def build_callers_app(operations: EntryOperations) -> Callable[..., Any]:
    """Builds the ASGI application that serves callers."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        table = operations.get_routes()
        path = scope["path"]
        if not table.version:
            await _send_json(
                operations, send, 503, {"error": "no configuration yet"}, retry_after_seconds=1
            )
            return
        route = find_route(table, _read_host(scope), path)
        if route is None:
            await _send_json(operations, send, 404, {"error": "no such queue"})
            return
        request_id = path[len(route.prefix) :]
        if scope["method"] == "POST" and request_id:
            wait = read_wait(scope)
            await _serve_submission(operations, table, route, request_id, wait, receive, send)
        else:
            await _serve_query(operations, scope["method"], route, request_id, send)

    return serve


def build_readiness_app(is_ready: Callable[[], bool]) -> Callable[..., Any]:
    """Builds the ASGI application that the load balancer polls for readiness."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await _send_response(send, 200 if is_ready() else 503, b"{}", [])

    return serve


def _read_host(scope: dict[str, Any]) -> str:
    return _read_header(scope, b"host").partition(":")[0]


def _read_header(scope: dict[str, Any], name: bytes) -> str:
    """Returns the value of a header, empty if there is none; `name` is in lower case."""
    for other_name, value in scope["headers"]:
        if other_name == name:
            return value.decode("latin-1")
    return ""


def read_wait(scope: dict[str, Any]) -> CallerWait:
    """Returns how long the caller of a submission waits, by its header and its time of arrival."""
    arrival = scope["extensions"][ARRIVAL_EXTENSION]
    wait_seconds = _parse_wait(_read_header(scope, WAIT_HEADER))
    return CallerWait(
        sent_after=arrival.sent_after,
        read_at=arrival.read_at,
        ends_at=arrival.read_at + wait_seconds,
        connected_at=arrival.connected_at,
    )


def _parse_wait(text: str) -> float:
    """Returns a wait in seconds, infinite if the header is missing or not a usable number."""
    try:
        wait_ms = float(text)
    except ValueError:
        return math.inf
    return wait_ms / 1000 if 0 < wait_ms <= MAX_WAIT_MS else math.inf


async def _serve_submission(
    operations: EntryOperations,
    table: RouteTable,
    route: Route,
    request_id: str,
    wait: CallerWait,
    receive: Any,
    send: Any,
) -> None:
    body = await read_body(receive, table.max_body_bytes)
    if body is None:
        await _send_json(operations, send, 413, {"error": "the body is too large"})
        return
    if len(body) > SMALL_BODY_BYTES and not await take_turn(operations.turns, len(body)):
        await _send_crowded(operations, send, request_id)
        return
    decoded = decode_submission(request_id, route, body)
    if isinstance(decoded, Err):
        await _send_rejection(operations, send, decoded.err_value)
        return
    caller_number, reply = operations.submit(decoded.ok_value, wait)
    # Neither is kept while the caller waits; the entry accounts for the request alone.
    del body, decoded
    disconnected = asyncio.ensure_future(_await_disconnect(receive))
    await asyncio.wait((reply, disconnected), return_when=asyncio.FIRST_COMPLETED)
    if disconnected.done():
        operations.report_disconnect(caller_number, request_id)
    disconnected.cancel()
    if reply.done():
        await _send_reply(operations, send, reply.result())


async def _send_crowded(operations: EntryOperations, send: Any, request_id: str) -> None:
    """Refuses a submission that isn't decoded; an earlier one of its id may run or have run."""
    status = 503 if operations.find_state(request_id) is None else 504
    document = {"error": "too many large submissions wait to be read"}
    await _send_json(operations, send, status, document, retry_after_seconds=1)


async def _send_rejection(
    operations: EntryOperations, send: Any, rejected: RejectedSubmission
) -> None:
    document = {"error": rejected.detail}
    if rejected.rejection == Rejection.UNSUPPORTED:
        await _send_json(operations, send, 503, document, retry_after_seconds=1)
    else:
        await _send_json(operations, send, 400, document)


async def _send_reply(operations: EntryOperations, send: Any, reply: Reply) -> None:
    state = STATE_NAMES.get(reply.verdict)
    if state is not None:
        await _send_json(operations, send, 200, {"state": state})
        return
    # Callers retry a job after a 504, and take a 503 as a guarantee that it never ran.
    status = 503 if reply.verdict == Verdict.NOT_RUN else 504
    await _send_json(
        operations, send, status, {"error": reply.detail}, retry_after_seconds=reply.retry_seconds
    )


async def _serve_query(
    operations: EntryOperations, method: str, route: Route, request_id: str, send: Any
) -> None:
    if not request_id and method == "GET":
        await _send_json(operations, send, 200, {"pending": operations.count_waiting(route.name)})
    elif request_id and method == "GET":
        state = operations.find_state(request_id)
        name = STATE_NAMES.get(state, state) if state is not None else None
        if name is None or isinstance(name, Verdict):
            await _send_json(operations, send, 410, {"error": "no such job"})
        else:
            await _send_json(operations, send, 200, {"state": name})
    elif request_id and method == "DELETE":
        await _serve_cancelling(operations, request_id, send)
    else:
        await _send_json(operations, send, 405, {"error": "no such call"})


async def _serve_cancelling(operations: EntryOperations, request_id: str, send: Any) -> None:
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        await _send_json(operations, send, 410, {"error": "no such job"})
        return
    reply = await operations.cancel(request_id)
    if reply.outcome == CancelOutcome.ENDED:
        await _send_json(operations, send, 200, {})
    elif reply.outcome == CancelOutcome.UNKNOWN:
        await _send_json(operations, send, 410, {"error": "no such job"})
    else:
        document = {"error": "the entry that has the job can't be reached; cancel it again"}
        await _send_json(operations, send, 503, document, retry_after_seconds=reply.retry_seconds)


async def _await_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_json(
    operations: EntryOperations,
    send: Any,
    status: int,
    document: dict[str, Any],
    retry_after_seconds: int = 0,
) -> None:
    headers = []
    if retry_after_seconds:
        headers.append((b"retry-after", str(retry_after_seconds).encode()))
    if operations.is_closing():
        headers.append((b"connection", b"close"))
    await _send_response(send, status, encode_document(document), headers)


async def _send_response(
    send: Any, status: int, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
