"""Decodes the operator's configuration, the routing document, into a route table."""

from typing import Annotated, Any, Required, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from comfreysill.platform.documents import (
    Amount,
    DurationMs,
    Integer,
    Name,
    decode_document,
)
from comfreysill.routes.table import Route, RouteTable

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
DEFAULT_MAX_BODY_BYTES = 262_144
MAX_STRETCH = 1_000_000.0

RouteDocument = TypedDict(
    "RouteDocument",
    {
        "name": Required[Name],
        "host": Required[Name],
        "path-prefix": Required[Name],
        "service": Required[Name],
        "priority": Amount,
        "max-attempts": Amount,
        # The latency objective is this multiple of the longest chain of declared run times, plus
        # the duration below.
        "stretch": Annotated[float, Meta(ge=0, le=MAX_STRETCH)],
        "target-latency-ms": DurationMs,
        # Set if a service has to be asked which targets may run a step.
        "advice": Any,
    },
    total=False,
)
LimitsDocument = TypedDict("LimitsDocument", {"max-body-bytes": Amount}, total=False)
ConfigurationDocument = TypedDict(
    "ConfigurationDocument",
    {
        "version": Required[Integer],
        "routes": Required[list[RouteDocument]],
        "limits": LimitsDocument,
    },
    total=False,
)
_DECODER = msgspec.json.Decoder(ConfigurationDocument)


def decode_configuration(text: bytes) -> Result[RouteTable, str]:
    """Decodes a configuration; the error names the invalid field and the bound."""
    decoded = decode_document(_DECODER, text)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.ok_value
    limits = document.get("limits", {})
    return Ok(
        RouteTable(
            version=document["version"],
            max_body_bytes=limits.get("max-body-bytes", DEFAULT_MAX_BODY_BYTES),
            routes=tuple(_build_route(route) for route in document["routes"]),
        )
    )


def _build_route(document: RouteDocument) -> Route:
    return Route(
        name=document["name"],
        host=document["host"],
        prefix=document["path-prefix"],
        service=document["service"],
        priority=document.get("priority", 0),
        max_attempts=document.get("max-attempts", 1),
        stretch=document.get("stretch", 1.0),
        slack_seconds=document.get("target-latency-ms", 0.0) / 1000,
        advised=bool(document.get("advice")),
    )
