"""Decodes the operator's configuration, the routing document, into a route table."""

from typing import Any

import orjson
from result import Err, Ok, Result

from comfreysill.routes.table import Route, RouteTable

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
DEFAULT_MAX_BODY_BYTES = 262_144


def decode_configuration(text: bytes) -> Result[RouteTable, str]:
    """Decodes a configuration; the error names the invalid field or value."""
    try:
        document = orjson.loads(text)
        routes = tuple(_decode_route(route) for route in document.get("routes") or ())
        limits = document.get("limits") or {}
        table = RouteTable(
            version=int(document["version"]),
            max_body_bytes=int(limits.get("max-body-bytes", DEFAULT_MAX_BODY_BYTES)),
            routes=routes,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"{type(error).__name__} {error}")
    return Ok(table)


def _decode_route(document: dict[str, Any]) -> Route:
    return Route(
        name=document["name"],
        host=document["host"],
        prefix=document["path-prefix"],
        service=document["service"],
        priority=int(document.get("priority", 0)),
        max_attempts=int(document.get("max-attempts", 1)),
        # The latency objective is this multiple of the longest chain of declared run times, plus
        # the slack below.
        stretch=float(document.get("stretch", 1.0)),
        # Seconds that the objective adds regardless of the run times.
        slack_seconds=float(document.get("target-latency-ms", 0)) / 1000,
        advised=bool(document.get("advice")),
    )
