"""Access to the HTTP interface: a team's key for its jobs, an operator's key for the rest."""

from typing import Any

import falcon
import falcon.asgi

from comfreysill.dispatch.state import Dispatcher
from comfreysill.keys import matches_any

OPEN_PATHS = frozenset({"/health", "/ready", "/metrics"})
SCHEME = "Bearer "
CHALLENGE = ("Bearer",)


class Access:
    """Middleware that checks the key of each request against the floor document in force.

    A team without keys and a floor without operators are open to anybody.
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
        """Refuses a request whose key doesn't fit its path."""
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
            description="a key is needed: Authorization: Bearer KEY", challenges=CHALLENGE
        )


def read_key(request: falcon.asgi.Request) -> str:
    """Returns the key that a request carries, empty for none."""
    header = request.get_header("Authorization") or ""
    return header.removeprefix(SCHEME) if header.startswith(SCHEME) else ""


def find_operator(dispatcher: Dispatcher, key: str) -> str | None:
    """Returns the name of the operator whose key it is, None for nobody's."""
    if not key:
        return None
    for name, keys in dispatcher.floor.operators.items():
        if matches_any(key, keys):
            return name
    return None
