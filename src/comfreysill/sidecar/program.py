"""The agent process on the platform: its tasks, their start and their graceful end."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from result import Err

from comfreysill.clock import read_boot_clock
from comfreysill.exchange.messages import Announcement
from comfreysill.instruments import build_metrics_app
from comfreysill.listeners import Listeners
from comfreysill.membership import register_member
from comfreysill.metrics import Metrics
from comfreysill.platform.members import Member, read_members
from comfreysill.platform.reports import build_reports_app
from comfreysill.platform.runner import RunnerClient, call_order, call_renewal, open_runner
from comfreysill.platform.settings import InstanceSettings
from comfreysill.platform.store import StoreClient, move_store, open_store
from comfreysill.reloading import follow_settings
from comfreysill.running.calls import Call, RenewCall
from comfreysill.running.state import AgentState
from comfreysill.servers import build_http, start_grpc_on_socket, stop_http
from comfreysill.sidecar.keeper import Keeper, keep_book
from comfreysill.sidecar.links import TargetService, announce
from comfreysill.sidecar.messages import (
    EntriesFound,
    RunnerLeft,
    RunnerReplied,
    RunnerReported,
    Stop,
    Tick,
)
from comfreysill.supervision import await_stop

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.1
ANNOUNCE_SECONDS = 0.3
ANNOUNCE_MOST_SECONDS = 1.0
FIND_SECONDS = 0.5
FIND_MOST_SECONDS = 4.0
# What stopping the last runs and telling their entries takes before the kill.
FAREWELL_SECONDS = 0.6
LAST_FRAME_SECONDS = 0.05


async def run_sidecar(
    settings: InstanceSettings,
    listeners: Listeners,
    lifetime: str,
    stop: asyncio.Event,
    reload: asyncio.Event,
) -> None:
    """Runs an agent until it is asked to stop and its runs have ended."""
    runner = open_runner(settings.runner)
    # The time of day is above the token of every earlier lifetime, which rises by one for each
    # start without an answer; where a clock has gone back, the runner's reply tells.
    token = int(time.time() * 1000)
    agent = AgentState(agent=settings.name, lifetime=lifetime, zone=settings.zone, token=token)
    agent.entries.update(settings.entries)
    keeper = Keeper(agent=agent, call=lambda call: _start_call(keeper, runner, calls, call))
    calls: set[asyncio.Task] = set()
    store = open_store(settings.store)
    http = build_http(_build_reports(keeper))
    grpc = await start_grpc_on_socket([TargetService(inbox=keeper.inbox)], listeners.link)
    http_task = asyncio.create_task(http.serve(sockets=[listeners.outside]))
    tasks = _start_tasks(keeper, settings, store, reload)
    member = Member(
        name=settings.name, role="agent", address=settings.advertised, service=settings.service
    )
    once = [
        asyncio.create_task(register_member(store, member)),
        asyncio.create_task(_find_entries(keeper, store)),
    ]
    logger.info("agent started", extra={"fields": {"name": settings.name, "token": token}})
    await await_stop(stop, [http_task, *tasks], once)
    await _end(keeper, settings)
    for task in [*once, *tasks, *calls]:
        task.cancel()
    grpc.close()
    await stop_http(http, http_task)
    await runner.session.close()
    await store.session.close()
    logger.info("agent stopped", extra={"fields": {"name": settings.name, **agent.counters}})


def _build_reports(keeper: Keeper) -> Callable[..., Any]:
    inbox = keeper.inbox
    return build_reports_app(
        lambda report: inbox.post(RunnerReported(report=report)),
        lambda runner_id: inbox.post(RunnerLeft(runner_id=runner_id)),
    )


def _start_tasks(
    keeper: Keeper, settings: InstanceSettings, store: StoreClient, reload: asyncio.Event
) -> list[asyncio.Task]:
    counters = build_metrics_app(
        Metrics(role="agent"), lambda: keeper.agent.counters, lambda: _measure(keeper)
    )
    works = (
        build_http(counters, settings.metrics).serve(),
        keep_book(keeper),
        _tick(keeper),
        follow_settings(reload, lambda new: _apply(keeper, store, new)),
        _announce(keeper, settings),
    )
    return [asyncio.create_task(work) for work in works]


async def _end(keeper: Keeper, settings: InstanceSettings) -> None:
    ends_at = read_boot_clock() + settings.grace - FAREWELL_SECONDS
    logger.info("agent stops", extra={"fields": {"runs": len(keeper.agent.runs)}})
    keeper.inbox.post(Stop(at_once=False))
    await asyncio.sleep(LAST_FRAME_SECONDS)
    if not await _await_idle(keeper, ends_at - read_boot_clock()):
        keeper.inbox.post(Stop(at_once=True))
        await _await_idle(keeper, FAREWELL_SECONDS / 2)
    await asyncio.sleep(LAST_FRAME_SECONDS)


async def _await_idle(keeper: Keeper, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await keeper.idle.wait()
    except TimeoutError:
        return False
    return True


def _start_call(keeper: Keeper, runner: RunnerClient, calls: set[asyncio.Task], call: Call) -> None:
    task = asyncio.create_task(_make_call(keeper, runner, call))
    calls.add(task)
    task.add_done_callback(calls.discard)


async def _make_call(keeper: Keeper, runner: RunnerClient, call: Call) -> None:
    if isinstance(call, RenewCall):
        reply = await call_renewal(runner, call)
    else:
        reply = await call_order(runner, call)
    keeper.inbox.post(RunnerReplied(reply=reply))


def _apply(keeper: Keeper, store: StoreClient, settings: InstanceSettings) -> None:
    """Takes what may change while the process runs: the store and the entries."""
    move_store(store, settings.store)
    keeper.inbox.post(EntriesFound(addresses=list(settings.entries)))


def _measure(keeper: Keeper) -> dict[str, float]:
    agent = keeper.agent
    return {
        "runs": len(agent.runs),
        "cpu_used": agent.cpu_used,
        "cpu_waiting": agent.cpu_waiting,
        "links": len(keeper.links),
        "slowness": agent.slowness,
    }


async def _tick(keeper: Keeper) -> None:
    while True:
        await asyncio.sleep(TICK_SECONDS if keeper.agent.runs else IDLE_TICK_SECONDS)
        keeper.inbox.post(Tick())


async def _find_entries(keeper: Keeper, store: StoreClient) -> None:
    """Reads from the store where entries are; later ones are learned from those."""
    pause = FIND_SECONDS
    while isinstance(found := await read_members(store), Err):
        await asyncio.sleep(pause)
        pause = min(pause * 2, FIND_MOST_SECONDS)
    members = found.ok_value.members
    entries = [known.address for known in members if known.role == "entry"]
    keeper.inbox.post(EntriesFound(addresses=entries))


async def _announce(keeper: Keeper, settings: InstanceSettings) -> None:
    """Announces this agent to entries: once, and again after a link to one is lost."""
    announcement = Announcement(
        agent=settings.name, address=settings.advertised, service=settings.service
    )
    due: dict[str, float] = {}
    pauses: dict[str, float] = {}
    linked: set[str] = set()
    told: set[str] = set()
    while True:
        await asyncio.sleep(ANNOUNCE_SECONDS)
        before, linked = linked, {link.address for link in keeper.links.values()}
        told -= before - linked
        for address in keeper.agent.entries - linked - told:
            now = read_boot_clock()
            if now < due.get(address, 0.0):
                continue
            if await announce(address, announcement):
                told.add(address)
                pauses.pop(address, None)
                continue
            pauses[address] = min(pauses.get(address, ANNOUNCE_SECONDS) * 2, ANNOUNCE_MOST_SECONDS)
            due[address] = now + pauses[address]
