"""HTTP interface of an entry of the job API: callers' jobs, health, status and metrics."""

import asyncio
import re
import time

import falcon
import falcon.asgi
import orjson
from result import Err

from comfreysill.dispatch.jobs import find_job
from comfreysill.dispatch.state import Dispatcher
from comfreysill.entry.access import AccessMiddleware
from comfreysill.entry.actor import Actor
from comfreysill.entry.documents import (
    NAME_PATTERN,
    format_answer,
    format_problem,
    format_retry_after,
    format_verdict,
    parse_submission,
)
from comfreysill.entry.messages import Cancel, Submit
from comfreysill.job.job import find_verdict
from comfreysill.job.types import Answer, JobKey, Verdict
from comfreysill.metrics import Metrics, render_metrics

MAX_BODY_BYTES = 16 * 1024 * 1024
PROBLEM_TYPE = "application/problem+json"

_NAME = re.compile(NAME_PATTERN)


class JobResource:
    """One job of a team."""

    __slots__ = ("actor",)

    def __init__(self, *, actor: Actor) -> None:
        self.actor = actor

    async def on_put(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        team: str,
        job_id: str,
    ) -> None:
        """Submits a job and waits for its answer, complete or failed."""
        _check_names(team, job_id)
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise falcon.HTTPContentTooLarge(description=f"at most {MAX_BODY_BYTES} bytes")
        body = await request.stream.read()
        parsed = parse_submission(team, job_id, body)
        if isinstance(parsed, Err):
            _write_invalid_submission(response, parsed.err_value)
            return
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.actor.inbox.post(Submit(submission=parsed.ok_value, reply=reply))
        _write_answer(response, await reply)

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        team: str,
        job_id: str,
    ) -> None:
        """Returns the answer or the progress of a job.

        Only the entry that owns the job's partition has them. For a job that this entry doesn't
        have, returns 0 tasks and the verdict "may have run" if a caller waits here for its answer,
        else 404.
        """
        _check_names(team, job_id)
        key = JobKey(team=team, job_id=job_id)
        job = find_job(self.actor.dispatcher, key)
        if job is not None and job.answer is not None:
            _write_answer(response, job.answer)
            return
        if job is None and key not in self.actor.dispatcher.pending_submissions:
            raise falcon.HTTPNotFound(description="this entry doesn't know the job")
        verdict = find_verdict(job) if job is not None else Verdict.MAY_HAVE_RUN
        task_count = len(job.submission.tasks) if job is not None else 0
        response.media = {
            "team": team,
            "id": job_id,
            "status": "running",
            "verdict": format_verdict(verdict),
            "tasks": task_count,
            "done": task_count - job.unfinished if job is not None else 0,
        }

    async def on_delete(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        team: str,
        job_id: str,
    ) -> None:
        """Cancels a job; callers waiting for it receive a failed answer."""
        _check_names(team, job_id)
        self.actor.inbox.post(Cancel(key=JobKey(team=team, job_id=job_id)))
        response.status = falcon.HTTP_202


class HealthResource:
    """Health and readiness."""

    __slots__ = ("dispatcher",)

    def __init__(self, *, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Returns 200 while the process runs."""
        response.media = {"status": "alive"}

    async def on_get_ready(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Returns 200 while the entry can start the tasks of new jobs, otherwise 503."""
        dispatcher = self.dispatcher
        any_target_reachable = any(target.handshake_done for target in dispatcher.targets.values())
        all_partitions_open = all(
            owned_partition.open for owned_partition in dispatcher.owned_partitions.values()
        )
        ready = bool(dispatcher.roster_read_at) and any_target_reachable and all_partitions_open
        ready = ready and bool(dispatcher.floor.version)
        ready = ready and not dispatcher.leaving
        response.media = {"ready": ready}
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503


class StatusResource:
    """State of the entry for operators."""

    __slots__ = ("dispatcher",)

    def __init__(self, *, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Returns counts of partitions, jobs and tasks, and lists other entries and targets."""
        dispatcher = self.dispatcher
        now = time.time()
        response.media = {
            "entry": dispatcher.name,
            "floor_version": dispatcher.floor.version,
            "partitions": len(dispatcher.owned_partitions),
            "partitions_open": sum(
                partition.open for partition in dispatcher.owned_partitions.values()
            ),
            "jobs": dispatcher.job_count,
            "queued_tasks": dispatcher.queued_tasks,
            "entries": [
                {"name": peer.name, "heard_seconds_ago": now - peer.last_received_at}
                for peer in dispatcher.peers.values()
            ],
            "targets": [
                {
                    "name": target.name,
                    "zone": target.registration.zone,
                    "services": sorted(target.registration.services),
                    "connected": target.handshake_done,
                    "slots": target.load.slots,
                    "running": target.load.running,
                    "queued": target.load.queued,
                    "draining": target.load.draining,
                    "slowness": round(target.slowness, 3),
                }
                for target in dispatcher.targets.values()
            ],
        }


class MetricsResource:
    """Metrics of the entry."""

    __slots__ = ("actor", "metrics")

    def __init__(self, *, actor: Actor, metrics: Metrics) -> None:
        self.actor = actor
        self.metrics = metrics

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Renders the metrics."""
        dispatcher = self.actor.dispatcher
        counters = {**dispatcher.counters, "entries_rejected": self.actor.rejections.total}
        gauges = {
            "jobs": dispatcher.job_count,
            "queued_tasks": dispatcher.queued_tasks,
            "receipts": len(dispatcher.pending_submissions),
            "partitions": len(dispatcher.owned_partitions),
            "targets": len(dispatcher.targets),
            "targets_connected": sum(t.handshake_done for t in dispatcher.targets.values()),
            "floor_version": dispatcher.floor.version,
        }
        accept = request.get_header("accept") or ""
        body, headers = render_metrics(self.metrics, counters, gauges, accept)
        response.data = body
        response.content_type = headers.get("Content-Type", falcon.MEDIA_TEXT)


def build_app(actor: Actor, metrics: Metrics) -> falcon.asgi.App:
    """Builds the entry's HTTP application."""
    dispatcher = actor.dispatcher
    app = falcon.asgi.App(middleware=[AccessMiddleware(dispatcher=dispatcher)])
    health = HealthResource(dispatcher=dispatcher)
    app.add_route("/v1/teams/{team}/jobs/{job_id}", JobResource(actor=actor))
    app.add_route("/v1/status", StatusResource(dispatcher=dispatcher))
    app.add_route("/health", health)
    app.add_route("/ready", health, suffix="ready")
    app.add_route("/metrics", MetricsResource(actor=actor, metrics=metrics))
    return app


def _check_names(team: str, job_id: str) -> None:
    for name, value in (("team", team), ("id", job_id)):
        if _NAME.match(value) is None:
            raise falcon.HTTPUnprocessableEntity(
                title="bad name",
                description=f"{name} must match {NAME_PATTERN}",
            )


def _write_invalid_submission(response: falcon.asgi.Response, detail: str) -> None:
    response.status = falcon.HTTP_422
    response.content_type = PROBLEM_TYPE
    response.data = orjson.dumps(
        {
            "type": "urn:comfreysill:bad-submission",
            "title": "bad submission",
            "status": 422,
            "detail": detail,
            "verdict": format_verdict(Verdict.NOT_RUN),
        }
    )


def _write_answer(response: falcon.asgi.Response, answer: Answer) -> None:
    if answer.complete:
        response.content_type = falcon.MEDIA_JSON
        response.data = orjson.dumps(format_answer(answer))
        return
    problem = format_problem(answer)
    response.status = problem["status"]
    response.content_type = PROBLEM_TYPE
    response.data = orjson.dumps(problem)
    if answer.retry_at:
        response.set_header("Retry-After", format_retry_after(answer.retry_at))
