"""The entry process on the platform: start of its asyncio tasks, and graceful shutdown.

The other kind of entry, that of the job API, is in `comfreysill.entry`.
"""

import asyncio
import logging
import math
import socket

from comfreysill.clock import measure_unix_offset, read_boot_clock
from comfreysill.connection_guard import ConnectionGuard, collect_connection_counters
from comfreysill.exchange.messages import Member, Role
from comfreysill.gateway.actor import (
    Actor,
    cancel,
    is_ready,
    list_members,
    report_disconnect,
    submit,
)
from comfreysill.gateway.discovery import (
    receive_routes_text,
    watch_crashes,
    watch_members,
    watch_routes,
)
from comfreysill.gateway.messages import ConcludeRequests, EntriesDiscovered, Tick
from comfreysill.gateway.registrar import RegistrarService
from comfreysill.gateway.roster import RosterService, fetch_routes
from comfreysill.gateway.state_task import run_state_task
from comfreysill.gateway.where import locate
from comfreysill.gateway.where_app import RateLimit, build_where_app
from comfreysill.listeners import Listeners
from comfreysill.membership import register_member
from comfreysill.metrics import Metrics
from comfreysill.metrics_app import build_metrics_app, build_observer
from comfreysill.placement.admission import Admission
from comfreysill.placement.allotment import build_allotment
from comfreysill.placement.link_need import count_needed_links
from comfreysill.placement.state import EntryState
from comfreysill.platform.guard import build_platform_guard
from comfreysill.platform.ingress import EntryOperations, build_callers_app, build_readiness_app
from comfreysill.platform.rejections import Rejections
from comfreysill.platform.settings import InstanceSettings
from comfreysill.platform.store import StoreClient, open_store, set_store_address
from comfreysill.polls import PollTimes, forget_listener, watch_listener
from comfreysill.reloading import watch_settings
from comfreysill.request.types import FINAL_VERDICTS, Verdict
from comfreysill.servers import (
    HttpServer,
    begin_http_shutdown,
    build_http,
    start_grpc,
    stop_http,
)
from comfreysill.supervision import await_stop
from comfreysill.turns import Turns
from comfreysill.zones.closures import list_closed

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.1
# The load balancer sends callers here until two readiness probes, a second apart, have failed.
BALANCER_REMOVAL_SECONDS = 2.2
# Time for the last answers to reach their callers before the process is killed.
SHUTDOWN_RESERVE_SECONDS = 0.7
STATE_CHECK_INTERVAL_SECONDS = 0.02
MAX_ROUTES_WAIT_SECONDS = 1.0
# Share of the process's memory for large submissions that wait to be decoded.
UNDECODED_SHARE = 1 / 20


async def run_gateway(
    settings: InstanceSettings,
    listeners: Listeners,
    lifetime: str,
    stop: asyncio.Event,
    reload: asyncio.Event,
    poll_times: PollTimes,
) -> None:
    """Runs an entry until `stop` is set, then waits until its callers are answered.

    Requests that are still open shortly before the end of the grace period end as MAY_HAVE_RUN.
    `poll_times` are those of the running event loop.
    """
    name = f"{settings.name}@{lifetime}"
    metrics = Metrics(role="entry")
    actor = Actor(state=_build_state(name, settings, metrics))
    store = open_store(settings.store)
    callers_server = _build_callers_server(actor, settings, listeners, poll_times)
    roster_service = RosterService(
        inbox=actor.inbox,
        get_routes=lambda: actor.routes_text,
        get_members=lambda: list_members(actor),
        rejections=store.rejections,
    )
    registrar_service = RegistrarService(inbox=actor.inbox)
    services = [roster_service, registrar_service]
    guard = callers_server.guard
    grpc_server = await start_grpc(services, listener=listeners.link, guard=guard)
    callers_task = asyncio.create_task(_serve_callers(actor, callers_server, listeners.http))
    member = Member(name=settings.name, role=Role.ENTRY, address=settings.advertised)
    tasks = [
        *_start_tasks(actor, member, store, reload),
        *_start_servers(actor, settings, store, metrics, callers_server),
    ]
    registration = asyncio.create_task(register_member(store, member))
    logger.info("entry started", extra={"fields": {"name": name}})
    await await_stop(stop, [callers_task, *tasks], [registration])
    await _shut_down(actor, settings, callers_server, callers_task, poll_times)
    links = [*actor.links.values(), *actor.peer_links.values()]
    for task in [registration, *tasks, *(link.task for link in links)]:
        task.cancel()
    grpc_server.close()
    await store.session.close()
    logger.info("entry stopped", extra={"fields": {"name": name, **actor.state.counters}})


def _build_callers_server(
    actor: Actor, settings: InstanceSettings, listeners: Listeners, poll_times: PollTimes
) -> HttpServer:
    watch_listener(poll_times, listeners.http, listeners.opened_at)
    app = build_callers_app(_build_operations(actor, settings))
    return build_http(app, poll_times=poll_times, guard=build_platform_guard(settings))


def _build_state(name: str, settings: InstanceSettings, metrics: Metrics) -> EntryState:
    state = EntryState(
        name=name,
        zone=settings.zone,
        unix_offset=measure_unix_offset(),
        remote_factor=settings.remote_factor,
        retry_seconds=settings.retry_seconds,
        max_link_share=settings.max_link_share,
        observe=build_observer(metrics),
    )
    state.admission = Admission(
        refuses_early=settings.refuses_early, least_share=settings.least_share
    )
    state.allotment = build_allotment(settings.memory_bytes)
    state.entries = list(dict.fromkeys((settings.advertised, *settings.entries)))
    return state


def _start_tasks(
    actor: Actor, member: Member, store: StoreClient, reload: asyncio.Event
) -> list[asyncio.Task]:
    store_answers = asyncio.Event()
    coroutines = (
        run_state_task(actor),
        _post_ticks(actor),
        _fetch_requested_routes(actor, store.rejections),
        watch_settings(reload, lambda new: _apply_settings(actor, store, new)),
        watch_routes(store, actor.inbox, store_answers),
        watch_members(store, actor.inbox, store_answers, member, lambda: actor.state.entries),
        watch_crashes(store, actor.inbox, store_answers),
    )
    return [asyncio.create_task(coroutine) for coroutine in coroutines]


def _start_servers(
    actor: Actor,
    settings: InstanceSettings,
    store: StoreClient,
    metrics: Metrics,
    callers_server: HttpServer,
) -> list[asyncio.Task]:
    guard = callers_server.guard
    metrics_app = build_metrics_app(
        metrics,
        lambda: _collect_counters(actor, store, guard),
        lambda: _collect_gauges(actor, store, guard),
    )
    operator_app = build_where_app(
        metrics_app,
        lambda: actor.state.routes,
        lambda target: locate(actor.inbox, target),
        RateLimit(),
        read_boot_clock,
    )
    readiness_app = build_readiness_app(lambda: is_ready(actor, listening=callers_server.started))
    servers = [
        build_http(readiness_app, settings.readiness, guard=guard),
        build_http(operator_app, settings.metrics, guard=guard),
    ]
    if settings.reports is not None:
        # Runners report to the agent beside them; one without an agent can't be used.
        reports_app = build_readiness_app(lambda: False)
        servers.append(build_http(reports_app, settings.reports, guard=guard))
    return [asyncio.create_task(server.serve()) for server in servers]


async def _shut_down(
    actor: Actor,
    settings: InstanceSettings,
    callers_server: HttpServer,
    callers_task: asyncio.Task,
    poll_times: PollTimes,
) -> None:
    started_at = read_boot_clock()
    actor.stopping = True
    waiting_callers = len(actor.pending_replies)
    logger.info("entry stopping", extra={"fields": {"callers": waiting_callers}})
    await asyncio.sleep(min(BALANCER_REMOVAL_SECONDS, settings.grace_seconds / 2))
    forget_listener(poll_times)
    begin_http_shutdown(callers_server)
    conclude_at = started_at + settings.grace_seconds - SHUTDOWN_RESERVE_SECONDS
    while actor.pending_replies and read_boot_clock() < conclude_at:
        await asyncio.sleep(STATE_CHECK_INTERVAL_SECONDS)
    if actor.pending_replies:
        actor.inbox.post(ConcludeRequests())
    await stop_http(callers_server, callers_task)


async def _serve_callers(actor: Actor, callers_server: HttpServer, listener: socket.socket) -> None:
    """Accepts callers' connections once there are routes, or after a time limit.

    Until then connections wait in the queue of the listening socket.
    """
    deadline = read_boot_clock() + MAX_ROUTES_WAIT_SECONDS
    while not actor.state.routes.version and read_boot_clock() < deadline:
        await asyncio.sleep(STATE_CHECK_INTERVAL_SECONDS)
    await callers_server.serve(sockets=[listener])


async def _fetch_requested_routes(actor: Actor, rejections: Rejections) -> None:
    """Fetches the routing document from the entries that the state task has chosen."""
    while True:
        for address in set(await actor.routes_sources.get_batch()):
            text = await fetch_routes(address)
            if text:
                receive_routes_text(text, actor.inbox, rejections)


def _apply_settings(actor: Actor, store: StoreClient, settings: InstanceSettings) -> None:
    """Sets the store's address and adds new addresses of entries; the rest needs a restart."""
    set_store_address(store, settings.store)
    actor.inbox.post(EntriesDiscovered(addresses=list(settings.entries)))


def _collect_counters(actor: Actor, store: StoreClient, guard: ConnectionGuard) -> dict[str, int]:
    return {
        **actor.state.counters,
        **collect_connection_counters(guard),
        "entries_rejected": store.rejections.total,
    }


def _collect_gauges(actor: Actor, store: StoreClient, guard: ConnectionGuard) -> dict[str, float]:
    state = actor.state
    return {
        "connections": len(guard.table.connections),
        "held_bytes": guard.table.held_bytes,
        "requests": len(state.requests),
        "requests_bytes": state.allotment.used_bytes,
        "callers": len(actor.pending_replies),
        "agents": sum(agent.connected for agent in state.agents.values()),
        "links_by_need": count_needed_links(state.link_demand),
        "peers": sum(peer.usable for peer in state.peers.values()),
        "claims": len(state.claims),
        "claims_kept": len(state.registry.claims),
        "cancellations_kept": len(state.registry.cancelled.expires_at),
        "cancellations_dropped": state.registry.cancelled.dropped,
        "routes_version": state.routes.version,
        "closed_zones": len(list_closed(state.closures)),
        "crashes_known": len(state.crashes.crash_ids),
        "routes_confined": len(state.crashes.confined_until),
        "routes_short_of_room": sum(
            len(room.short_routes) for room in state.admission.rooms.values()
        ),
        "services_short_of_room": sum(room.is_contended for room in state.admission.rooms.values()),
        "store_calls": store.calls,
    }


async def _post_ticks(actor: Actor) -> None:
    while True:
        await asyncio.sleep(TICK_SECONDS if actor.state.requests else IDLE_TICK_SECONDS)
        actor.inbox.post(Tick())


def _build_operations(actor: Actor, settings: InstanceSettings) -> EntryOperations:
    state = actor.state
    turns = Turns(max_bytes=settings.memory_bytes * UNDECODED_SHARE or math.inf)

    def find_state(request_id: str) -> str | Verdict | None:
        request = state.requests.get(request_id)
        if request is not None and request.verdict not in FINAL_VERDICTS:
            return "running" if request.begun else "queued"
        cached = state.cached.get(request_id)
        return cached.verdict if cached is not None else None

    def count_waiting(route: str) -> int:
        return sum(
            request.specification.route == route and not request.begun
            for request in state.requests.values()
        )

    return EntryOperations(
        get_routes=lambda: state.routes,
        submit=lambda specification, wait: submit(actor, specification, wait),
        report_disconnect=lambda caller, request_id: report_disconnect(actor, caller, request_id),
        find_state=find_state,
        cancel=lambda request_id: cancel(actor, request_id),
        count_waiting=count_waiting,
        is_closing=lambda: actor.stopping,
        turns=turns,
    )
