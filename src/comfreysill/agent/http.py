"""HTTP interface of an agent of the job API: the runner's announcements, health and metrics."""

import time
from typing import Any

import falcon
import falcon.asgi
import msgspec
from result import Err, Ok, Result

from comfreysill.address import parse_address
from comfreysill.agent.actor import Actor
from comfreysill.agent.messages import RunnerAnnounced, RunnerStopping
from comfreysill.metrics import Metrics, render_metrics
from comfreysill.platform.documents import decode_document
from comfreysill.schemas import find_problems

RUNNER_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "port", "slots", "services"],
    "properties": {
        "host": {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "slots": {"type": "integer", "minimum": 1, "maximum": 4096},
        "connections": {"type": "integer", "minimum": 1, "maximum": 65535},
        "services": {
            "type": "array",
            "minItems": 1,
            "items": {"type": "string", "minLength": 1, "maxLength": 63},
        },
    },
}
DEFAULT_CONNECTIONS = 60
_DECODER = msgspec.json.Decoder()


class RunnerResource:
    """Announcement of the runner beside this agent."""

    __slots__ = ("actor",)

    def __init__(self, *, actor: Actor) -> None:
        self.actor = actor

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Accepts an announcement; the agent drains once it expires without being renewed."""
        media_type = (request.content_type or falcon.MEDIA_JSON).partition(";")[0]
        if media_type.strip().lower() not in (falcon.MEDIA_JSON, "*/*"):
            raise falcon.HTTPUnsupportedMediaType
        document = decode_document(_DECODER, await request.stream.read())
        if isinstance(document, Err):
            raise falcon.HTTPBadRequest(description=document.err_value)
        announcement = _check_announcement(document.ok_value)
        if isinstance(announcement, Err):
            raise falcon.HTTPUnprocessableEntity(description=announcement.err_value)
        self.actor.inbox.post(announcement.ok_value)
        response.status = falcon.HTTP_204

    async def on_delete(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Drains the agent because the runner is stopping."""
        self.actor.inbox.post(RunnerStopping())
        response.status = falcon.HTTP_204

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Returns the numbers of running and queued tasks, and whether the agent is draining.

        A runner that is stopping can wait for the end of these tasks.
        """
        ledger = self.actor.ledger
        response.media = {
            "running": ledger.running,
            "queued": ledger.queued,
            "draining": ledger.draining,
        }


class HealthResource:
    """Health and readiness."""

    __slots__ = ("actor",)

    def __init__(self, *, actor: Actor) -> None:
        self.actor = actor

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Returns 200 while the process runs."""
        response.media = {"status": "alive"}

    async def on_get_ready(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Returns 200 while the agent accepts work, otherwise 503."""
        ready = self.actor.runner is not None and not self.actor.ledger.draining
        response.media = {"ready": ready}
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503


class MetricsResource:
    """Metrics of the agent."""

    __slots__ = ("actor", "metrics")

    def __init__(self, *, actor: Actor, metrics: Metrics) -> None:
        self.actor = actor
        self.metrics = metrics

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Renders the metrics."""
        ledger = self.actor.ledger
        gauges = {
            "running": ledger.running,
            "queued": ledger.queued,
            "slots": ledger.slots,
            "ledger_records": ledger.record_count,
            "ledger_result_bytes": ledger.result_bytes,
            "links": len(self.actor.sessions),
            "floor_version": ledger.floor_version,
        }
        accept = request.get_header("accept") or ""
        counters = {**ledger.counters, "entries_rejected": self.actor.rejections.total}
        body, headers = render_metrics(self.metrics, counters, gauges, accept)
        response.data = body
        response.content_type = headers.get("Content-Type", falcon.MEDIA_TEXT)


def build_app(actor: Actor, metrics: Metrics) -> falcon.asgi.App:
    """Builds the agent's HTTP application."""
    app = falcon.asgi.App()
    health = HealthResource(actor=actor)
    app.add_route("/v1/runner", RunnerResource(actor=actor))
    app.add_route("/health", health)
    app.add_route("/ready", health, suffix="ready")
    app.add_route("/metrics", MetricsResource(actor=actor, metrics=metrics))
    return app


def _check_announcement(document: Any) -> Result[RunnerAnnounced, str]:
    problems = find_problems(document, RUNNER_SCHEMA)
    if problems:
        return Err("; ".join(str(problem) for problem in problems))
    try:
        return Ok(_parse_runner(document))
    except ValueError as error:
        return Err(str(error))


def _parse_runner(document: dict[str, Any]) -> RunnerAnnounced:
    # The schema takes 80.0 as an integer, and digits of any script in a host.
    address = parse_address(f"{document['host']}:{int(document['port'])}")
    return RunnerAnnounced(
        host=address.host,
        port=address.port,
        slots=int(document["slots"]),
        connections=int(document.get("connections", DEFAULT_CONNECTIONS)),
        services=frozenset(document["services"]),
        received_at=time.time(),
    )
