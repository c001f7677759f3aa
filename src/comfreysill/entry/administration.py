"""Administration API of an entry: floor document, cancellation of jobs, draining of targets."""

import asyncio
import time
from typing import Any

import falcon
import falcon.asgi
from result import Err

from comfreysill.entry.actor import Actor
from comfreysill.entry.floors import check_floor
from comfreysill.entry.messages import CancelTeam, SetTargetDraining
from comfreysill.exceptions import Problem
from comfreysill.floor.document import diff_documents
from comfreysill.job.types import TaskClass
from comfreysill.platform.floors import (
    FloorVersion,
    read_current,
    read_history,
    write_version,
)
from comfreysill.platform.store import StoreClient, StoreError, StoreFault
from comfreysill.schemas import find_problems

CHANGE_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["previous", "change_id", "author", "document"],
    "properties": {
        "previous": {"type": "integer", "minimum": 0},
        "change_id": {"type": "string", "minLength": 8, "maxLength": 64},
        "author": {"type": "string", "minLength": 1, "maxLength": 64},
        "document": {},
    },
}

CANCELLATION_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["team"],
    "properties": {
        "team": {"type": "string", "minLength": 1, "maxLength": 63},
        "class": {"enum": ["urgent", "normal", "bulk"]},
    },
}


class FloorResource:
    """The floor document in force.

    Attributes:
        store: Client of the store that keeps the versions.
        floor_changed: Set after each attempt to store a version, to reread the document.
    """

    __slots__ = ("store", "floor_changed")

    def __init__(self, *, store: StoreClient, floor_changed: asyncio.Event) -> None:
        self.store = store
        self.floor_changed = floor_changed

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Returns the version in force."""
        current = await read_current(self.store)
        if isinstance(current, Err):
            _write_store_error(response, current.err_value)
        elif current.ok_value is None:
            raise falcon.HTTPNotFound(description="no floor document was applied yet")
        else:
            response.media = format_version(current.ok_value)

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Stores a document as a new version, or rejects it as a whole."""
        change = await request.get_media()
        problems = find_problems(change, CHANGE_SCHEMA) or check_floor(change["document"])
        if problems:
            response.status = falcon.HTTP_422
            response.media = {
                "title": "bad floor document",
                "status": 422,
                "problems": [_format_problem(problem) for problem in problems],
            }
            return
        proposed = FloorVersion(
            version=0,
            change_id=change["change_id"],
            author=getattr(request.context, "operator", None) or change["author"],
            changed_at=time.time(),
            document=change["document"],
        )
        result = await write_version(self.store, change["previous"], proposed)
        self.floor_changed.set()
        if isinstance(result, Err):
            await self._write_change_error(response, result.err_value, change["document"])
        else:
            response.media = format_version(result.ok_value)

    async def _write_change_error(
        self, response: falcon.asgi.Response, error: StoreError, document: Any
    ) -> None:
        if error.fault != StoreFault.CONFLICT:
            _write_store_error(response, error)
            return
        current = await read_current(self.store)
        difference = []
        if not isinstance(current, Err) and current.ok_value is not None:
            difference = diff_documents(current.ok_value.document, document)
        response.status = falcon.HTTP_409
        response.media = {
            "title": "conflict",
            "status": 409,
            "detail": error.detail,
            "difference": difference,
        }


class HistoryResource:
    """All versions of the floor document."""

    __slots__ = ("store",)

    def __init__(self, *, store: StoreClient) -> None:
        self.store = store

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Lists the versions, oldest first."""
        history = await read_history(self.store)
        if isinstance(history, Err):
            _write_store_error(response, history.err_value)
        else:
            response.media = {"versions": [format_version(item) for item in history.ok_value]}


class VersionsResource:
    """Floor document versions that the other entries and the agents last reported to this entry."""

    __slots__ = ("actor",)

    def __init__(self, *, actor: Actor) -> None:
        self.actor = actor

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Lists the versions of this entry, the other entries and the agents."""
        dispatcher = self.actor.dispatcher
        versions = {dispatcher.name: dispatcher.floor.version}
        versions |= {peer.name: peer.floor_version for peer in dispatcher.peers.values()}
        versions |= {
            target.name: target.load.floor_version for target in dispatcher.targets.values()
        }
        response.media = {"versions": versions}


class CancellationResource:
    """Cancellation of a team's jobs."""

    __slots__ = ("actor",)

    def __init__(self, *, actor: Actor) -> None:
        self.actor = actor

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Cancels all jobs of a team, or those of one class, at every entry."""
        document = await request.get_media()
        problems = find_problems(document, CANCELLATION_SCHEMA)
        if problems:
            raise falcon.HTTPUnprocessableEntity(description=str(problems[0]))
        class_name = document.get("class")
        reply: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        message = CancelTeam(
            team=document["team"],
            task_class=TaskClass[class_name.upper()] if class_name else None,
            reply=reply,
        )
        self.actor.inbox.post(message)
        response.media = {"cancelled_here": await reply}
        response.status = falcon.HTTP_202


class DrainResource:
    """Draining of a target by an operator."""

    __slots__ = ("actor",)

    def __init__(self, *, actor: Actor) -> None:
        self.actor = actor

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, agent: str
    ) -> None:
        """Orders the agent of a target to refuse new tasks."""
        await self._set_draining(response, agent, draining=True)

    async def on_delete(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, agent: str
    ) -> None:
        """Orders the agent of a target to accept tasks again."""
        await self._set_draining(response, agent, draining=False)

    async def _set_draining(
        self, response: falcon.asgi.Response, agent: str, draining: bool
    ) -> None:
        reply: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.actor.inbox.post(SetTargetDraining(agent=agent, draining=draining, reply=reply))
        if not await reply:
            raise falcon.HTTPNotFound(description="no such target can be reached")
        response.status = falcon.HTTP_202


def add_routes(
    app: falcon.asgi.App, actor: Actor, store: StoreClient, floor_changed: asyncio.Event
) -> None:
    """Adds the administration API to an application."""
    app.add_route("/admin/v1/floor", FloorResource(store=store, floor_changed=floor_changed))
    app.add_route("/admin/v1/floor/history", HistoryResource(store=store))
    app.add_route("/admin/v1/cancellations", CancellationResource(actor=actor))
    app.add_route("/admin/v1/targets/{agent}/drain", DrainResource(actor=actor))
    app.add_route("/admin/v1/floor/versions", VersionsResource(actor=actor))


def format_version(version: FloorVersion) -> dict[str, Any]:
    """Formats a version of the floor document as JSON."""
    return {
        "version": version.version,
        "change_id": version.change_id,
        "author": version.author,
        "changed_at": version.changed_at,
        "document": version.document,
    }


def _format_problem(problem: Problem) -> dict[str, str]:
    return {
        "path": problem.path,
        "value": problem.value,
        "reason": problem.reason,
        "hint": problem.hint,
    }


def _write_store_error(response: falcon.asgi.Response, error: StoreError) -> None:
    response.status = falcon.HTTP_503
    response.media = {
        "title": "store unreachable",
        "status": 503,
        "detail": error.detail,
        "verdict": error.verdict.name.lower().replace("_", " "),
    }
