"""Callers' calls over HTTP, translated to messages of the entry and back."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
from result import Err

from comfreysill.gateway.messages import Reply
from comfreysill.platform.bodies import read_body
from comfreysill.platform.submission import Rejection, decode_submission
from comfreysill.request.types import Specification, Verdict
from comfreysill.routes.table import Route, RouteTable, find_route

STATES = {Verdict.COMPLETED: "completed", Verdict.FAILED: "failed"}


class EntryOperations:
    """What the translation needs of the entry.

    Attributes:
        get_routes: Returns the routing document in force.
        submit: Hands a request in and returns its number and the future reply.
        report_disconnect: Says that the caller of a number has left.
        find_state: Returns `running`, a verdict, or None for an unknown request id.
        cancel: Cancels a request; returns whether it was known.
        count_waiting: Returns how many requests of a route haven't begun.
        is_closing: Tells whether connections have to be given up.
    """

    __slots__ = (
        "get_routes",
        "submit",
        "report_disconnect",
        "find_state",
        "cancel",
        "count_waiting",
        "is_closing",
    )

    def __init__(
        self,
        *,
        get_routes: Callable[[], RouteTable],
        submit: Callable[[Specification], tuple[int, asyncio.Future[Reply]]],
        report_disconnect: Callable[[int], None],
        find_state: Callable[[str], "str | Verdict | None"],
        cancel: Callable[[str], bool],
        count_waiting: Callable[[str], int],
        is_closing: Callable[[], bool],
    ) -> None:
        self.get_routes = get_routes
        self.submit = submit
        self.report_disconnect = report_disconnect
        self.find_state = find_state
        self.cancel = cancel
        self.count_waiting = count_waiting
        self.is_closing = is_closing


def build_callers_app(front: EntryOperations) -> Callable[..., Any]:
    """Builds the ASGI application that callers reach."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        table = front.get_routes()
        path = scope["path"]
        if not table.version:
            await _answer(front, send, 503, {"error": "no configuration yet"}, retry=1)
            return
        route = find_route(table, _read_host(scope), path)
        if route is None:
            await _answer(front, send, 404, {"error": "no such queue"})
            return
        request_id = path[len(route.prefix) :]
        if scope["method"] == "POST" and request_id:
            await _serve_submission(front, table, route, request_id, receive, send)
        else:
            await _serve_query(front, scope["method"], route, request_id, send)

    return serve


def build_readiness_app(is_ready: Callable[[], bool]) -> Callable[..., Any]:
    """Builds the ASGI application that the balancer asks."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await _send(send, 200 if is_ready() else 503, b"{}", [])

    return serve


def _read_host(scope: dict[str, Any]) -> str:
    for name, value in scope["headers"]:
        if name == b"host":
            return value.decode("latin-1").partition(":")[0]
    return ""


async def _serve_submission(
    front: EntryOperations,
    table: RouteTable,
    route: Route,
    request_id: str,
    receive: Any,
    send: Any,
) -> None:
    body = await read_body(receive, table.max_body_bytes)
    if body is None:
        await _answer(front, send, 413, {"error": "the body is too large"})
        return
    decoded = decode_submission(request_id, route, body)
    if isinstance(decoded, Err):
        error = decoded.err_value
        if error.rejection == Rejection.UNSUPPORTED:
            await _answer(front, send, 503, {"error": error.detail}, retry=1)
        else:
            await _answer(front, send, 400, {"error": error.detail})
        return
    number, reply = front.submit(decoded.ok_value)
    left = asyncio.ensure_future(_await_disconnect(receive))
    await asyncio.wait((reply, left), return_when=asyncio.FIRST_COMPLETED)
    left.cancel()
    if not reply.done():
        front.report_disconnect(number)
        return
    await _send_reply(front, send, reply.result())


async def _send_reply(front: EntryOperations, send: Any, reply: Reply) -> None:
    state = STATES.get(reply.verdict)
    if state is not None:
        await _answer(front, send, 200, {"state": state})
        return
    # A caller repeats a job after 504, but takes 503 as the word that it never ran.
    status = 503 if reply.verdict == Verdict.NOT_RUN else 504
    await _answer(front, send, status, {"error": reply.detail}, retry=reply.retry_seconds)


async def _serve_query(
    front: EntryOperations, method: str, route: Route, request_id: str, send: Any
) -> None:
    if not request_id and method == "GET":
        await _answer(front, send, 200, {"pending": front.count_waiting(route.name)})
    elif request_id and method == "GET":
        state = front.find_state(request_id)
        name = STATES.get(state, state) if state is not None else None
        if name is None or isinstance(name, Verdict):
            await _answer(front, send, 410, {"error": "no such job"})
        else:
            await _answer(front, send, 200, {"state": name})
    elif request_id and method == "DELETE":
        known = front.cancel(request_id)
        await _answer(front, send, 200 if known else 410, {})
    else:
        await _answer(front, send, 405, {"error": "no such call"})


async def _await_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _answer(
    front: EntryOperations, send: Any, status: int, document: dict[str, Any], retry: int = 0
) -> None:
    headers = []
    if retry:
        headers.append((b"retry-after", str(retry).encode()))
    if front.is_closing():
        headers.append((b"connection", b"close"))
    await _send(send, status, orjson.dumps(document), headers)


async def _send(send: Any, status: int, body: bytes, headers: list[tuple[bytes, bytes]]) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
