"""The asyncio task that owns the ledger; decisions are made in `comfreysill.target`."""

import asyncio
import logging
import time
from collections.abc import Callable

from comfreysill.agent.messages import (
    EntryFrameReceived,
    LedgerMessage,
    RunEnded,
    RunnerAnnounced,
    RunnerStopping,
    SessionClosed,
    SetLedgerLostAt,
    Shutdown,
    Tick,
)
from comfreysill.mailbox import Mailbox
from comfreysill.platform.rejections import Rejections
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


class EntrySession:
    """Open session with one entry: its number, and the outbox of the asyncio task serving it.

    None in the outbox closes the session.
    """

    __slots__ = ("number", "outbox")

    def __init__(self, *, number: int, outbox: Mailbox[AgentFrame | None]) -> None:
        self.number = number
        self.outbox = outbox


class Actor:
    """State of the asyncio task that owns the ledger.

    Attributes:
        ledger: Ledger of the agent.
        inbox: Messages from the other asyncio tasks of the process.
        sessions: Open sessions by entry.
        runner: Latest announcement of the runner, None before the first.
        start_run: Calls the runner for a record, in a new asyncio task.
        idle: Set during shutdown once nothing runs and all reports are in the outboxes.
        stopping: True once the process is shutting down.
        report_to_all: True when the next flush has to report to each entry.
        registered: True once the agent's registration was written to the store, until it has to be
            written again.
        rejections: Entries of lists that can't be decoded.
    """

    __slots__ = (
        "ledger",
        "inbox",
        "sessions",
        "runner",
        "start_run",
        "idle",
        "stopping",
        "report_to_all",
        "registered",
        "rejections",
    )

    def __init__(self, *, ledger: Ledger, start_run: StartRun) -> None:
        self.ledger = ledger
        self.inbox: Mailbox[LedgerMessage] = Mailbox()
        self.sessions: dict[str, EntrySession] = {}
        self.runner: RunnerAnnounced | None = None
        self.start_run = start_run
        self.idle = asyncio.Event()
        self.stopping = False
        self.report_to_all = False
        self.registered = False
        self.rejections = Rejections()


async def run_ledger_task(actor: Actor) -> None:
    """Processes messages, starts runs and queues the resulting reports, until cancelled."""
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
    elif isinstance(message, SessionClosed):
        _close_session(actor, message.outbox, now)
    elif isinstance(message, RunnerAnnounced):
        _apply_announcement(actor, message, now)
    elif isinstance(message, RunnerStopping | Shutdown):
        _begin_draining(actor, stopping=isinstance(message, Shutdown))
    elif isinstance(message, SetLedgerLostAt):
        ledger.lost_at = message.lost_at
    elif isinstance(message, Tick):
        _tick(actor, now)


def _receive_frame(actor: Actor, message: EntryFrameReceived, now: float) -> None:
    frame = message.frame
    session = actor.sessions.get(frame.entry)
    if session is None or session.outbox is not message.outbox:
        if not open_session(actor.ledger, frame.entry, frame.session):
            message.outbox.post(None)
            return
        if session is not None:
            session.outbox.post(None)
        actor.sessions[frame.entry] = EntrySession(number=frame.session, outbox=message.outbox)
        logger.info("session with entry %s opened", frame.entry)
    if not receive_frame(actor.ledger, frame, now):
        message.outbox.post(None)


def _close_session(actor: Actor, outbox: Mailbox[AgentFrame | None], now: float) -> None:
    for entry, session in list(actor.sessions.items()):
        if session.outbox is outbox:
            del actor.sessions[entry]
            close_session(actor.ledger, entry, session.number, now)
            logger.info("session with entry %s closed", entry)


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
        session = actor.sessions.get(report.entry)
        if session is not None:
            session.outbox.post(report.frame)
    if actor.stopping and not ledger.running:
        actor.idle.set()
