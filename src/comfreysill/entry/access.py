"""Access control of the entry's HTTP interface by keys of teams and operators."""

from typing import Any

import falcon
import falcon.asgi

from comfreysill.dispatch.state import Dispatcher
from comfreysill.keys import matches_any

OPEN_PATHS = frozenset({"/health", "/ready", "/metrics"})
BEARER_PREFIX = "Bearer "
AUTH_CHALLENGES = ("Bearer",)


class AccessMiddleware:
    """Middleware that checks the key of each request against the floor document in force.

    Jobs need a key of their team or of an operator, other paths a key of an operator. No key is
    needed for a team without keys, for an unknown team (admission refuses its jobs), for operators'
    paths if no operators are configured, nor for `OPEN_PATHS`.
    """

    __slots__ = ("dispatcher",)

    def __init__(self, *, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def process_resource(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: Any,
        params: dict[str, str],
    ) -> None:
        """Rejects a request without a key that grants access to its path.

        Except for `OPEN_PATHS`, sets `request.context.operator` to the operator's name or None.

        Raises:
            falcon.HTTPUnauthorized: The key is missing or doesn't grant access.
        """
        if request.path in OPEN_PATHS:
            return
        floor = self.dispatcher.floor
        key = read_key(request)
        operator = find_operator(self.dispatcher, key)
        request.context.operator = operator
        if operator is not None:
            return
        if "team" in params:
            team = floor.teams.get(params["team"])
            if team is None or not team.keys or matches_any(key, team.keys):
                return
        elif not floor.operators:
            return
        raise falcon.HTTPUnauthorized(
            description="a key is needed: Authorization: Bearer KEY", challenges=AUTH_CHALLENGES
        )


def read_key(request: falcon.asgi.Request) -> str:
    """Returns the bearer token of a request, or an empty string if it has none."""
    header = request.get_header("Authorization") or ""
    return header.removeprefix(BEARER_PREFIX) if header.startswith(BEARER_PREFIX) else ""


def find_operator(dispatcher: Dispatcher, key: str) -> str | None:
    """Returns the name of the operator to whom a key belongs, or None."""
    if not key:
        return None
    for name, keys in dispatcher.floor.operators.items():
        if matches_any(key, keys):
            return name
    return None
