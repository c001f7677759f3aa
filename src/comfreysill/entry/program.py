"""The entry process of the job API: its asyncio tasks, registration and graceful shutdown.

Its counterpart on the platform is `comfreysill.gateway.program`.
"""

import asyncio
import logging
import random
import time
import uuid

from result import Err, Ok

from comfreysill.dispatch.baselines import choose_placement
from comfreysill.dispatch.messages import MarkLedgerLost
from comfreysill.dispatch.state import ROSTER_INTERVAL_SECONDS, Dispatcher
from comfreysill.entry.actor import Actor, close_links, run_dispatcher_task
from comfreysill.entry.administration import add_routes
from comfreysill.entry.floors import build_checked_floor
from comfreysill.entry.http import build_app
from comfreysill.entry.links import PeerService
from comfreysill.entry.messages import FloorRead, RosterRead, Shutdown, Tick
from comfreysill.metrics import Metrics, observe_seconds
from comfreysill.platform.documents import encode_document
from comfreysill.platform.floors import CURRENT_KEY, FloorVersion, read_current
from comfreysill.platform.registry import (
    EntryRegistration,
    mark_ledger_lost,
    read_roster,
    register_entry,
    remove_entry,
)
from comfreysill.platform.rejections import RejectedEntry, record_rejections
from comfreysill.platform.store import StoreClient
from comfreysill.platform.table import open_store_from_url
from comfreysill.servers import build_http, start_grpc, stop_http
from comfreysill.settings import Settings
from comfreysill.supervision import await_stop

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
CALLERS_CHECK_INTERVAL_SECONDS = 0.05
FLOOR_POLL_INTERVAL_SECONDS = 1.0


async def run_entry(settings: Settings, stop: asyncio.Event) -> None:
    """Runs an entry until `stop` is set, then drains it for up to `settings.shutdown_seconds`."""
    name = f"{settings.name}@{uuid.uuid4().hex[:8]}"
    metrics = Metrics(role="entry")
    roster_requested = asyncio.Event()
    dispatcher = _build_dispatcher(name, settings, metrics)
    actor = Actor(dispatcher=dispatcher, request_roster=roster_requested.set)
    store = open_store_from_url(settings.table)
    store.rejections = actor.rejections
    floor_changed = asyncio.Event()
    app = build_app(actor, metrics)
    add_routes(app, actor, store, floor_changed)
    http = build_http(app, settings.http)
    grpc = await start_grpc([PeerService(inbox=actor.inbox)], settings.grpc, guard=http.guard)
    http_task = asyncio.create_task(http.serve())
    registration = EntryRegistration(
        name=name, host=settings.grpc.host, port=settings.grpc.port, zone=settings.zone
    )
    tasks = _start_tasks(actor, store, registration, roster_requested, floor_changed)
    logger.info("entry %s started as %s", settings.name, name)
    await await_stop(stop, [http_task, *tasks])
    actor.inbox.post(Shutdown())
    await _await_callers(actor, settings.shutdown_seconds)
    # Other entries drop answers to one that isn't registered, and the server takes jobs up to here.
    await stop_http(http, http_task)
    await _remove_registration(store, name)
    for task in tasks:
        task.cancel()
    await close_links(actor)
    grpc.close()
    await store.session.close()


def _build_dispatcher(name: str, settings: Settings, metrics: Metrics) -> Dispatcher:
    return Dispatcher(
        name=name,
        place=choose_placement(settings.placement, random.Random(name).random),
        observe=lambda *observation: observe_seconds(metrics, *observation),
    )


def _start_tasks(
    actor: Actor,
    store: StoreClient,
    registration: EntryRegistration,
    roster_requested: asyncio.Event,
    floor_changed: asyncio.Event,
) -> list[asyncio.Task]:
    coroutines = (
        run_dispatcher_task(actor),
        _post_ticks(actor),
        _poll_roster(actor, store, registration, roster_requested),
        _poll_floor(actor, store, floor_changed),
        _remove_unreachable(actor, store),
    )
    return [asyncio.create_task(coroutine) for coroutine in coroutines]


async def _post_ticks(actor: Actor) -> None:
    while True:
        await asyncio.sleep(TICK_SECONDS)
        actor.inbox.post(Tick())


async def _poll_roster(
    actor: Actor,
    store: StoreClient,
    registration: EntryRegistration,
    roster_requested: asyncio.Event,
) -> None:
    """Keeps the entry registered and reads the roster periodically or on request."""
    registered = False
    while True:
        if not registered:
            registered = isinstance(await register_entry(store, registration), Ok)
        started_at = time.time()
        answer = await read_roster(store)
        if isinstance(answer, Err):
            actor.inbox.post(RosterRead(roster=None, started_at=started_at))
        else:
            actor.inbox.post(RosterRead(roster=answer.ok_value, started_at=started_at))
            entry_names = {entry.name for entry in answer.ok_value.entries}
            # A leaving entry must not register again.
            registered = registration.name in entry_names or actor.dispatcher.leaving
        await _wait_for_event(roster_requested, ROSTER_INTERVAL_SECONDS)
        roster_requested.clear()


async def _remove_unreachable(actor: Actor, store: StoreClient) -> None:
    """Removes unreachable agents and entries from the roster.

    The ledger of an agent is marked as lost; the registration of an entry is deleted.
    """
    while True:
        for removal in await actor.removals.get_batch():
            if isinstance(removal, MarkLedgerLost):
                result = await mark_ledger_lost(
                    store, removal.agent, removal.incarnation, removal.lost_at
                )
                name = removal.agent
            else:
                result = await remove_entry(store, removal.name)
                name = removal.name
            if isinstance(result, Ok):
                logger.warning("removed %s, which is unreachable, from the roster", name)


async def _poll_floor(actor: Actor, store: StoreClient, floor_changed: asyncio.Event) -> None:
    """Reads the floor document periodically, and immediately after a change through this entry."""
    while True:
        floor_changed.clear()
        current = await read_current(store)
        if isinstance(current, Ok) and current.ok_value is not None:
            latest = current.ok_value
            if latest.version > actor.dispatcher.floor.version:
                _receive_floor(actor, latest)
        await _wait_for_event(floor_changed, FLOOR_POLL_INTERVAL_SECONDS)


def _receive_floor(actor: Actor, latest: FloorVersion) -> None:
    floor = build_checked_floor(latest.version, latest.document)
    if isinstance(floor, Ok):
        text = encode_document(latest.document)
        actor.inbox.post(FloorRead(floor=floor.ok_value, text=text))
        return
    rejected = RejectedEntry(name=CURRENT_KEY, identity=latest.version, why=floor.err_value)
    record_rejections(actor.rejections, "floor document", [rejected])


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


async def _remove_registration(store: StoreClient, name: str) -> None:
    result = await remove_entry(store, name)
    if isinstance(result, Err):
        logger.warning("could not remove the registration: %s", result.err_value.detail)


async def _await_callers(actor: Actor, seconds: float) -> None:
    wait_until = time.monotonic() + seconds
    while actor.dispatcher.pending_submissions or actor.pending_replies:
        if time.monotonic() >= wait_until:
            logger.warning(
                "shutdown deadline reached with %d unanswered callers", len(actor.pending_replies)
            )
            return
        await asyncio.sleep(CALLERS_CHECK_INTERVAL_SECONDS)
