"""The agent process of the job API: its asyncio tasks, registration and graceful shutdown."""

import asyncio
import logging
import time
import uuid

from result import Err, Ok

from comfreysill.agent.actor import Actor, run_ledger_task
from comfreysill.agent.http import build_app
from comfreysill.agent.links import AgentService
from comfreysill.agent.messages import SetLedgerLostAt, Shutdown, Tick
from comfreysill.agent.runner import RunnerClient, close_client, start_call
from comfreysill.exceptions import RegistrationLostError
from comfreysill.metrics import Metrics
from comfreysill.platform.registry import is_registered, mark_ledger_lost, register_agent
from comfreysill.platform.store import StoreClient, StoreFault
from comfreysill.platform.table import open_store_from_url
from comfreysill.servers import build_http, start_grpc, stop_http
from comfreysill.settings import Settings
from comfreysill.supervision import await_stop
from comfreysill.target.ledger import Ledger
from comfreysill.target.view import Registration

logger = logging.getLogger(__name__)

# Also the interval of attempts to register, until the first that succeeds.
TICK_SECONDS = 0.25
SERVICES_CHECK_INTERVAL_SECONDS = 1.0
# Time for the last reports, which are queued in the sessions' outboxes, to be sent.
FINAL_FLUSH_SECONDS = 0.5
REGISTRATION_CHECK_INTERVAL_SECONDS = 10.0


async def run_agent(settings: Settings, stop: asyncio.Event) -> None:
    """Runs an agent until `stop` is set, then drains it for up to `settings.shutdown_seconds`."""
    incarnation = f"{settings.name}@{uuid.uuid4().hex[:8]}"
    ledger = Ledger(agent=settings.name, incarnation=incarnation)
    # Until registration returns the actual time, assume that an earlier incarnation's ledger was
    # lost just now.
    ledger.lost_at = time.time()
    # `client` is created below, since it needs the actor's inbox; the first run starts later.
    actor = Actor(
        ledger=ledger, start_run=lambda runner, record: start_call(client, runner, record)
    )
    client = RunnerClient(inbox=actor.inbox)

    store = open_store_from_url(settings.table)
    store.rejections = actor.rejections
    http = build_http(build_app(actor, Metrics(role="agent")), settings.http)
    grpc = await start_grpc([AgentService(inbox=actor.inbox)], settings.grpc, guard=http.guard)
    http_task = asyncio.create_task(http.serve())
    tasks = [
        asyncio.create_task(run_ledger_task(actor)),
        asyncio.create_task(_post_ticks(actor)),
        asyncio.create_task(_register(actor, settings, store)),
        asyncio.create_task(_watch_registration(actor, settings, store)),
    ]
    logger.info("agent %s started as %s", settings.name, incarnation)
    await await_stop(stop, [http_task, *tasks])
    await _shut_down(actor, settings, store)
    await stop_http(http, http_task)
    grpc.close()
    for task in tasks:
        task.cancel()
    await close_client(client)
    await store.session.close()


async def _shut_down(actor: Actor, settings: Settings, store: StoreClient) -> None:
    actor.inbox.post(Shutdown())
    try:
        await asyncio.wait_for(actor.idle.wait(), settings.shutdown_seconds)
    except TimeoutError:
        logger.warning("shutdown deadline reached with %d tasks running", actor.ledger.running)
    await asyncio.sleep(FINAL_FLUSH_SECONDS)
    # The ledger is lost with this process. Marking it as lost removes the agent from the entries'
    # rosters now, rather than after they find it unreachable.
    if actor.runner is not None:
        incarnation = actor.ledger.incarnation
        result = await mark_ledger_lost(store, settings.name, incarnation, time.time())
        if not isinstance(result, Ok):
            logger.warning("could not mark the ledger as lost: %s", result.err_value.detail)


async def _post_ticks(actor: Actor) -> None:
    while True:
        await asyncio.sleep(TICK_SECONDS)
        actor.inbox.post(Tick())


async def _register(actor: Actor, settings: Settings, store: StoreClient) -> None:
    registered_services: frozenset[str] | None = None
    while True:
        await asyncio.sleep(
            SERVICES_CHECK_INTERVAL_SECONDS if registered_services is not None else TICK_SECONDS
        )
        if actor.runner is None:
            continue
        if actor.registered and actor.runner.services == registered_services:
            continue
        answer = await register_agent(store, _build_registration(actor, settings), time.time())
        if isinstance(answer, Ok):
            registered_services = actor.runner.services
            actor.registered = True
            actor.inbox.post(SetLedgerLostAt(lost_at=answer.ok_value))
            logger.info("registered with services %s", sorted(registered_services))
        else:
            logger.warning("registration failed: %s", answer.err_value.detail)


async def _watch_registration(actor: Actor, settings: Settings, store: StoreClient) -> None:
    """Raises an error once entries ignore the ledger.

    They do when it was marked as lost or another incarnation is registered.

    Raises:
        RegistrationLostError: This incarnation is no longer registered.
    """
    while True:
        await asyncio.sleep(REGISTRATION_CHECK_INTERVAL_SECONDS)
        if not actor.registered:
            continue
        answer = await is_registered(store, settings.name, actor.ledger.incarnation)
        if isinstance(answer, Err) and answer.err_value.fault == StoreFault.UNREADABLE:
            # Another writer has overwritten the row; it is written again.
            actor.registered = False
        if isinstance(answer, Ok) and not answer.ok_value:
            raise RegistrationLostError(
                message="the registration was replaced or its ledger marked as lost"
            )


def _build_registration(actor: Actor, settings: Settings) -> Registration:
    return Registration(
        agent=settings.name,
        incarnation=actor.ledger.incarnation,
        host=settings.grpc.host,
        port=settings.grpc.port,
        zone=settings.zone,
        services=actor.runner.services,
        revision=0,
    )
