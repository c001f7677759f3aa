"""The agent process on the platform: start of its asyncio tasks, and graceful shutdown.

The other kind of agent, that of the job API, is in `comfreysill.agent`.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from comfreysill.clock import read_boot_clock
from comfreysill.connection_guard import ConnectionGuard, collect_connection_counters
from comfreysill.exchange.messages import Member, Role
from comfreysill.execution.calls import Call, RenewCall, build_unanswered_reply
from comfreysill.execution.state import AgentState
from comfreysill.listeners import Listeners
from comfreysill.membership import deregister_member, register_member
from comfreysill.metrics import Metrics
from comfreysill.metrics_app import build_metrics_app
from comfreysill.platform.guard import build_platform_guard
from comfreysill.platform.rejections import Rejections
from comfreysill.platform.reports import ReportHandlers, build_reports_app
from comfreysill.platform.runner import RunnerClient, open_runner, send_command, send_renewal
from comfreysill.platform.settings import InstanceSettings
from comfreysill.platform.store import StoreClient, open_store, set_store_address
from comfreysill.reloading import watch_settings
from comfreysill.servers import build_http, start_grpc, stop_http
from comfreysill.sidecar.actor import Actor, run_state_task
from comfreysill.sidecar.announcements import announce_to_entries
from comfreysill.sidecar.crash_records import keep_crash_records
from comfreysill.sidecar.links import TargetService
from comfreysill.sidecar.messages import (
    EntriesDiscovered,
    RunnerCallFinished,
    RunnerDeregistered,
    RunnerReportReceived,
    Stop,
    Tick,
)
from comfreysill.supervision import await_stop
from comfreysill.zones.closures import list_closed

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.1
# Time reserved at the end of the grace period for stopping runs and notifying their entries.
SHUTDOWN_RESERVE_SECONDS = 0.6
# Time to handle a stop and to send the resulting frames.
FINAL_FLUSH_SECONDS = 0.05


async def run_sidecar(
    settings: InstanceSettings,
    listeners: Listeners,
    lifetime: str,
    stop: asyncio.Event,
    reload: asyncio.Event,
) -> None:
    """Runs an agent until `stop` is set, then until its runs have ended or have been stopped."""
    runner = open_runner(settings.runner)
    agent = _build_state(settings, lifetime)
    actor = Actor(agent=agent, submit_call=lambda call: _start_call(actor, runner, calls, call))
    calls: set[asyncio.Task] = set()
    store = open_store(settings.store)
    runner.rejections = store.rejections
    guard = build_platform_guard(settings)
    reports_app = build_agent_reports_app(actor, settings.service, store.rejections)
    http = build_http(reports_app, guard=guard)
    service = TargetService(inbox=actor.inbox)
    grpc = await start_grpc([service], listener=listeners.link, guard=guard)
    http_task = asyncio.create_task(http.serve(sockets=[listeners.http]))
    member = Member(
        name=settings.name, role=Role.AGENT, address=settings.advertised, service=settings.service
    )
    registration = asyncio.create_task(register_member(store, member))
    tasks = [
        *_start_tasks(actor, settings, store, reload, guard),
        asyncio.create_task(announce_to_entries(actor, member, registration.done)),
    ]
    logger.info("agent started", extra={"fields": {"name": settings.name, "token": agent.token}})
    await await_stop(stop, [http_task, *tasks], [registration])
    await _shut_down(actor, settings)
    if agent.departed_lifetime is not None and agent.report is None:
        # The runner has left for good, and its instance with it.
        await deregister_member(store, settings.name, registration)
    for task in [registration, *tasks, *calls]:
        task.cancel()
    grpc.close()
    await stop_http(http, http_task)
    await runner.session.close()
    await store.session.close()
    logger.info("agent stopped", extra={"fields": {"name": settings.name, **agent.counters}})


def _build_state(settings: InstanceSettings, lifetime: str) -> AgentState:
    # A fencing token from the wall clock exceeds the tokens of earlier lifetimes, which increase by
    # one per unanswered start. If the clock was set back, the runner refuses the token, and it is
    # raised.
    token = int(time.time() * 1000)
    agent = AgentState(agent=settings.name, lifetime=lifetime, zone=settings.zone, token=token)
    agent.entries.update(settings.entries)
    return agent


def build_agent_reports_app(
    actor: Actor, service: str, rejections: Rejections
) -> Callable[..., Any]:
    """Builds the application that passes usable reports of the runner to the state task."""
    inbox = actor.inbox
    handlers = ReportHandlers(
        on_report=lambda report: inbox.post(RunnerReportReceived(report=report)),
        on_deregister=lambda runner_id: inbox.post(RunnerDeregistered(runner_id=runner_id)),
        service=service,
        rejections=rejections,
    )
    return build_reports_app(handlers)


def _start_tasks(
    actor: Actor,
    settings: InstanceSettings,
    store: StoreClient,
    reload: asyncio.Event,
    guard: ConnectionGuard,
) -> list[asyncio.Task]:
    metrics_app = build_metrics_app(
        Metrics(role="agent"),
        lambda: {
            **actor.agent.counters,
            **collect_connection_counters(guard),
            "entries_rejected": store.rejections.total,
        },
        lambda: _collect_gauges(actor, guard),
    )
    coroutines = (
        build_http(metrics_app, settings.metrics, guard=guard).serve(),
        run_state_task(actor),
        _post_ticks(actor),
        watch_settings(reload, lambda new: _apply_settings(actor, store, new)),
        keep_crash_records(store, actor.crash_reports, settings.name),
    )
    return [asyncio.create_task(coroutine) for coroutine in coroutines]


async def _shut_down(actor: Actor, settings: InstanceSettings) -> None:
    """Waits until the runs have ended; stops those that would outlast the grace period."""
    deadline = read_boot_clock() + settings.grace_seconds - SHUTDOWN_RESERVE_SECONDS
    logger.info("agent stopping", extra={"fields": {"runs": len(actor.agent.runs)}})
    actor.inbox.post(Stop(immediate=False))
    await asyncio.sleep(FINAL_FLUSH_SECONDS)
    if not await _await_idle(actor, deadline - read_boot_clock()):
        actor.inbox.post(Stop(immediate=True))
        await _await_idle(actor, SHUTDOWN_RESERVE_SECONDS / 2)
    await asyncio.sleep(FINAL_FLUSH_SECONDS)


async def _await_idle(actor: Actor, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await actor.idle.wait()
    except TimeoutError:
        return False
    return True


def _start_call(actor: Actor, runner: RunnerClient, calls: set[asyncio.Task], call: Call) -> None:
    task = asyncio.create_task(_make_call(actor, runner, call))
    calls.add(task)
    task.add_done_callback(calls.discard)


async def _make_call(actor: Actor, runner: RunnerClient, call: Call) -> None:
    """Makes a call and posts its reply; after an unexpected error the call counts as unanswered."""
    send = send_renewal if isinstance(call, RenewCall) else send_command
    try:
        reply = await send(runner, call)
    except Exception:
        logger.exception("call to the runner failed unexpectedly")
        reply = build_unanswered_reply(call)
    actor.inbox.post(RunnerCallFinished(reply=reply))


def _apply_settings(actor: Actor, store: StoreClient, settings: InstanceSettings) -> None:
    """Sets the store's address and adds new addresses of entries; the rest needs a restart."""
    set_store_address(store, settings.store)
    actor.inbox.post(EntriesDiscovered(addresses=list(settings.entries)))


def _collect_gauges(actor: Actor, guard: ConnectionGuard) -> dict[str, float]:
    agent = actor.agent
    return {
        "connections": len(guard.table.connections),
        "held_bytes": guard.table.held_bytes,
        "runs": len(agent.runs),
        "cpu_used": agent.cpu_used,
        "cpu_waiting": agent.cpu_waiting,
        "links": len(actor.sessions),
        "slowness": agent.slowness,
        "closed_zones": len(list_closed(agent.closures)),
    }


async def _post_ticks(actor: Actor) -> None:
    while True:
        await asyncio.sleep(TICK_SECONDS if actor.agent.runs else IDLE_TICK_SECONDS)
        actor.inbox.post(Tick())
