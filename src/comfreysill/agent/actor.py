"""The task that owns the ledger; all decisions are made by the functions of the ledger."""

import asyncio
import logging
import time
from collections.abc import Callable

from comfreysill.agent.messages import (
    EntryFrameReceived,
    LedgerLost,
    LedgerMessage,
    LinkClosed,
    RunEnded,
    RunnerAnnounced,
    RunnerStopping,
    Shutdown,
    Tick,
)
from comfreysill.mailbox import Mailbox
from comfreysill.target.frame_handling import receive_frame
from comfreysill.target.frames import AgentFrame
from comfreysill.target.ledger import (
    Ledger,
    Record,
    close_session,
    drain,
    expire_records,
    open_session,
    start_waiting,
)
from comfreysill.target.reports import collect_reports, expire_sessions
from comfreysill.target.results import finish_record, reject_record, release_results

logger = logging.getLogger(__name__)

RUNNER_TIMEOUT_SECONDS = 5.0
QUEUED_TASKS_PER_SLOT = 2.0

StartRun = Callable[[RunnerAnnounced, Record], None]


class EntryLink:
    """Open link to one entry: its session number and the mailbox of the task that serves it."""

    __slots__ = ("session", "mailbox")

    def __init__(self, *, session: int, mailbox: Mailbox[AgentFrame | None]) -> None:
        self.session = session
        self.mailbox = mailbox


class Actor:
    """State of the ledger task.

    Attributes:
        ledger: Ledger of the agent.
        inbox: Messages from the other tasks of the process.
        links: Open links by entry.
        runner: Latest announcement of the runner, None before the first.
        start_run: Starts a task that calls the runner for a record.
        registered: True once the agent is in the registration table.
        report_to_all: True when the next flush has to send the load to each entry.
        stopping: True once the process is shutting down.
        idle: Set during shutdown once no task runs and all reports are queued on the links.
    """

    __slots__ = (
        "ledger",
        "inbox",
        "links",
        "runner",
        "start_run",
        "idle",
        "stopping",
        "report_to_all",
        "registered",
    )

    def __init__(self, *, ledger: Ledger, start_run: StartRun) -> None:
        self.ledger = ledger
        self.inbox: Mailbox[LedgerMessage] = Mailbox()
        self.links: dict[str, EntryLink] = {}
        self.runner: RunnerAnnounced | None = None
        self.start_run = start_run
        self.idle = asyncio.Event()
        self.stopping = False
        self.report_to_all = False
        self.registered = False


async def run_ledger_task(actor: Actor) -> None:
    """Runs the ledger task until it is cancelled."""
    while True:
        for message in await actor.inbox.get_batch():
            _receive(actor, message, time.time())
        _flush(actor, time.time())


def _receive(actor: Actor, message: LedgerMessage, now: float) -> None:
    ledger = actor.ledger
    if isinstance(message, EntryFrameReceived):
        _receive_frame(actor, message, now)
    elif isinstance(message, RunEnded):
        if message.outcome is None:
            reject_record(ledger, message.record, now)
        else:
            finish_record(
                ledger, message.record, message.outcome, message.payload, message.run_seconds, now
            )
    elif isinstance(message, LinkClosed):
        _close_link(actor, message.link, now)
    elif isinstance(message, RunnerAnnounced):
        _apply_announcement(actor, message, now)
    elif isinstance(message, RunnerStopping | Shutdown):
        _begin_draining(actor, stopping=isinstance(message, Shutdown))
    elif isinstance(message, LedgerLost):
        ledger.lost_at = message.lost_at
    elif isinstance(message, Tick):
        _tick(actor, now)


def _receive_frame(actor: Actor, message: EntryFrameReceived, now: float) -> None:
    frame = message.frame
    link = actor.links.get(frame.entry)
    if link is None or link.mailbox is not message.link:
        if not open_session(actor.ledger, frame.entry, frame.session):
            message.link.post(None)
            return
        if link is not None:
            link.mailbox.post(None)
        actor.links[frame.entry] = EntryLink(session=frame.session, mailbox=message.link)
        logger.info("link to entry %s opened", frame.entry)
    if not receive_frame(actor.ledger, frame, now):
        message.link.post(None)


def _close_link(actor: Actor, mailbox: Mailbox[AgentFrame | None], now: float) -> None:
    for entry, link in list(actor.links.items()):
        if link.mailbox is mailbox:
            del actor.links[entry]
            close_session(actor.ledger, entry, link.session, now)
            logger.info("link to entry %s closed", entry)


def _apply_announcement(actor: Actor, message: RunnerAnnounced, now: float) -> None:
    ledger = actor.ledger
    if actor.runner is None:
        logger.info("runner %s:%d announced itself", message.host, message.port)
    actor.runner = message
    ledger.slots = message.slots
    ledger.queue_limit = max(1, int(message.slots * QUEUED_TASKS_PER_SLOT))
    ledger.services = message.services
    if ledger.draining and not actor.stopping and not ledger.operator_drain:
        ledger.draining = False
        logger.info("runner announced itself again; accepting work")
    start_waiting(ledger, now)


def _begin_draining(actor: Actor, stopping: bool) -> None:
    actor.stopping = actor.stopping or stopping
    if not actor.ledger.draining:
        logger.info("draining: not accepting new work")
        drain(actor.ledger)
        actor.report_to_all = True


def _tick(actor: Actor, now: float) -> None:
    release_results(actor.ledger, now)
    expire_records(actor.ledger, now)
    expire_sessions(actor.ledger, now)
    runner = actor.runner
    announcement_expired = runner is not None and now - runner.received_at > RUNNER_TIMEOUT_SECONDS
    if announcement_expired and not actor.ledger.draining:
        logger.warning("runner has not renewed its announcement")
        _begin_draining(actor, stopping=False)


def _flush(actor: Actor, now: float) -> None:
    ledger = actor.ledger
    started, ledger.started = ledger.started, []
    for record in started:
        actor.start_run(actor.runner, record)
    to_all_entries, actor.report_to_all = actor.report_to_all, False
    for report in collect_reports(ledger, now, to_all_entries):
        link = actor.links.get(report.entry)
        if link is not None:
            link.mailbox.post(report.frame)
    if actor.stopping and not ledger.running:
        actor.idle.set()
