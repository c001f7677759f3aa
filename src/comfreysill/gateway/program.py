"""The entry process on the platform: its tasks, their start and their graceful end."""

import asyncio
import logging
import socket

from comfreysill.clock import measure_unix_offset, read_boot_clock
from comfreysill.gateway.discovery import follow_members, follow_routes, take_routes_text
from comfreysill.gateway.keeper import Keeper, is_ready, keep_desk, leave, submit
from comfreysill.gateway.links import RosterService, read_routes
from comfreysill.gateway.messages import Cancel, EntriesFound, GiveUp, Tick
from comfreysill.instruments import build_metrics_app, build_observer
from comfreysill.listeners import Listeners
from comfreysill.membership import register_member
from comfreysill.metrics import Metrics
from comfreysill.placing.desk import Desk
from comfreysill.platform.ingress import Front, build_callers_app, build_readiness_app
from comfreysill.platform.members import Member
from comfreysill.platform.settings import InstanceSettings
from comfreysill.platform.store import StoreClient, move_store, open_store
from comfreysill.reloading import follow_settings
from comfreysill.request.types import Verdict
from comfreysill.servers import (
    HttpServer,
    begin_http_shutdown,
    build_http,
    start_grpc_on_socket,
    stop_http,
)
from comfreysill.supervision import await_stop

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.1
# The balancer sends callers here until it has missed two answers, a second apart.
ROTATION_SECONDS = 2.2
# What the last verdicts need to reach their callers before the kill.
FAREWELL_SECONDS = 0.7
POLL_SECONDS = 0.02
OPEN_LATEST_SECONDS = 1.0


async def run_gateway(
    settings: InstanceSettings,
    listeners: Listeners,
    lifetime: str,
    stop: asyncio.Event,
    reload: asyncio.Event,
) -> None:
    """Runs an entry until it is asked to stop and its callers have their answers."""
    name = f"{settings.name}@{lifetime}"
    metrics = Metrics(role="entry")
    desk = Desk(
        name=name,
        zone=settings.zone,
        unix_offset=measure_unix_offset(),
        observe=build_observer(metrics),
    )
    desk.entries = list(dict.fromkeys((settings.advertised, *settings.entries)))
    keeper = Keeper(desk=desk)
    store = open_store(settings.store)
    callers = build_http(build_callers_app(_build_front(keeper)))
    roster = RosterService(inbox=keeper.inbox, get_routes=lambda: keeper.routes_text)
    grpc = await start_grpc_on_socket([roster], listeners.link)
    callers_task = asyncio.create_task(_serve_callers(keeper, callers, listeners.outside))
    tasks = [
        *_start_following(keeper, settings, store, reload),
        *_start_servers(keeper, settings, store, metrics, callers),
    ]
    member = Member(name=settings.name, role="entry", address=settings.advertised)
    registering = asyncio.create_task(register_member(store, member))
    logger.info("entry started", extra={"fields": {"name": name}})
    await await_stop(stop, [callers_task, *tasks], [registering])
    await _end(keeper, settings, callers, callers_task)
    for task in [registering, *tasks, *(link.task for link in keeper.links.values())]:
        task.cancel()
    grpc.close()
    await store.session.close()
    logger.info("entry stopped", extra={"fields": {"name": name, **desk.counters}})


def _start_following(
    keeper: Keeper, settings: InstanceSettings, store: StoreClient, reload: asyncio.Event
) -> list[asyncio.Task]:
    works = (
        keep_desk(keeper),
        _tick(keeper),
        _ask_routes(keeper),
        follow_settings(reload, lambda new: _apply(keeper, store, new)),
        follow_routes(store, keeper.inbox),
        follow_members(store, keeper.inbox),
    )
    return [asyncio.create_task(work) for work in works]


def _start_servers(
    keeper: Keeper,
    settings: InstanceSettings,
    store: StoreClient,
    metrics: Metrics,
    callers: HttpServer,
) -> list[asyncio.Task]:
    counters = build_metrics_app(
        metrics, lambda: keeper.desk.counters, lambda: _measure(keeper, store)
    )
    readiness = build_readiness_app(lambda: is_ready(keeper, taking=callers.started))
    servers = (
        build_http(readiness, settings.readiness),
        build_http(counters, settings.metrics),
    )
    return [asyncio.create_task(server.serve()) for server in servers]


async def _end(
    keeper: Keeper, settings: InstanceSettings, callers: HttpServer, callers_task: asyncio.Task
) -> None:
    started_at = read_boot_clock()
    keeper.closing = True
    waiting = len(keeper.replies)
    logger.info("entry stops", extra={"fields": {"callers": waiting}})
    await asyncio.sleep(min(ROTATION_SECONDS, settings.grace / 2))
    begin_http_shutdown(callers)
    give_up_at = started_at + settings.grace - FAREWELL_SECONDS
    while keeper.replies and read_boot_clock() < give_up_at:
        await asyncio.sleep(POLL_SECONDS)
    if keeper.replies:
        keeper.inbox.post(GiveUp())
    await stop_http(callers, callers_task)


async def _serve_callers(keeper: Keeper, callers: HttpServer, listener: socket.socket) -> None:
    """Takes callers' connections once there are routes; until then they wait, but not for long."""
    open_at = read_boot_clock() + OPEN_LATEST_SECONDS
    while not keeper.desk.routes.version and read_boot_clock() < open_at:
        await asyncio.sleep(POLL_SECONDS)
    await callers.serve(sockets=[listener])


async def _ask_routes(keeper: Keeper) -> None:
    """Reads the routing document of other entries where the desk asks for it."""
    while True:
        for address in set(await keeper.asks.get_batch()):
            text = await read_routes(address)
            if text:
                take_routes_text(text, keeper.inbox)


def _apply(keeper: Keeper, store: StoreClient, settings: InstanceSettings) -> None:
    """Takes what may change while the process runs: the store and the other entries."""
    move_store(store, settings.store)
    keeper.inbox.post(EntriesFound(addresses=list(settings.entries)))


def _measure(keeper: Keeper, store: StoreClient) -> dict[str, float]:
    desk = keeper.desk
    return {
        "requests": len(desk.requests),
        "callers": len(keeper.replies),
        "agents": sum(agent.connected for agent in desk.agents.values()),
        "routes_version": desk.routes.version,
        "store_calls": store.calls,
    }


async def _tick(keeper: Keeper) -> None:
    while True:
        await asyncio.sleep(TICK_SECONDS if keeper.desk.requests else IDLE_TICK_SECONDS)
        keeper.inbox.post(Tick())


def _build_front(keeper: Keeper) -> Front:
    desk = keeper.desk

    def find_state(request_id: str) -> str | Verdict | None:
        request = desk.requests.get(request_id)
        if request is not None:
            return "running" if request.begun else "queued"
        kept = desk.kept.get(request_id)
        return kept.verdict if kept is not None else None

    def cancel(request_id: str) -> bool:
        known = request_id in desk.requests
        keeper.inbox.post(Cancel(request_id=request_id))
        return known

    def count_waiting(route: str) -> int:
        return sum(
            request.specification.route == route and not request.begun
            for request in desk.requests.values()
        )

    return Front(
        get_routes=lambda: desk.routes,
        submit=lambda specification: submit(keeper, specification),
        leave=lambda number: leave(keeper, number),
        find_state=find_state,
        cancel=cancel,
        count_waiting=count_waiting,
        is_closing=lambda: keeper.closing,
    )
