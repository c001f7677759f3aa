"""The task that owns the ledger; all decisions are made by the functions of the ledger."""

import asyncio
import logging
import time
from collections.abc import Callable

from comfreysill.agent.messages import (
    LedgerLost,
    LedgerMessage,
    LinkClosed,
    LinkFrame,
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


class Keeper:
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


async def run_ledger_task(keeper: Keeper) -> None:
    """Runs the ledger task until it is cancelled."""
    while True:
        for message in await keeper.inbox.get_batch():
            _receive(keeper, message, time.time())
        _flush(keeper, time.time())


def _receive(keeper: Keeper, message: LedgerMessage, now: float) -> None:
    ledger = keeper.ledger
    if isinstance(message, LinkFrame):
        _receive_frame(keeper, message, now)
    elif isinstance(message, RunEnded):
        if message.outcome is None:
            reject_record(ledger, message.record, now)
        else:
            finish_record(
                ledger, message.record, message.outcome, message.payload, message.run_seconds, now
            )
    elif isinstance(message, LinkClosed):
        _close_link(keeper, message.link, now)
    elif isinstance(message, RunnerAnnounced):
        _apply_announcement(keeper, message, now)
    elif isinstance(message, RunnerStopping | Shutdown):
        _begin_draining(keeper, stopping=isinstance(message, Shutdown))
    elif isinstance(message, LedgerLost):
        ledger.lost_at = message.lost_at
    elif isinstance(message, Tick):
        _tick(keeper, now)


def _receive_frame(keeper: Keeper, message: LinkFrame, now: float) -> None:
    frame = message.frame
    link = keeper.links.get(frame.entry)
    if link is None or link.mailbox is not message.link:
        if not open_session(keeper.ledger, frame.entry, frame.session):
            message.link.post(None)
            return
        if link is not None:
            link.mailbox.post(None)
        keeper.links[frame.entry] = EntryLink(session=frame.session, mailbox=message.link)
        logger.info("link to entry %s opened", frame.entry)
    if not receive_frame(keeper.ledger, frame, now):
        message.link.post(None)


def _close_link(keeper: Keeper, mailbox: Mailbox[AgentFrame | None], now: float) -> None:
    for entry, link in list(keeper.links.items()):
        if link.mailbox is mailbox:
            del keeper.links[entry]
            close_session(keeper.ledger, entry, link.session, now)
            logger.info("link to entry %s closed", entry)


def _apply_announcement(keeper: Keeper, message: RunnerAnnounced, now: float) -> None:
    ledger = keeper.ledger
    if keeper.runner is None:
        logger.info("runner %s:%d announced itself", message.host, message.port)
    keeper.runner = message
    ledger.slots = message.slots
    ledger.queue_limit = max(1, int(message.slots * QUEUED_TASKS_PER_SLOT))
    ledger.services = message.services
    if ledger.draining and not keeper.stopping and not ledger.operator_drain:
        ledger.draining = False
        logger.info("runner announced itself again; accepting work")
    start_waiting(ledger, now)


def _begin_draining(keeper: Keeper, stopping: bool) -> None:
    keeper.stopping = keeper.stopping or stopping
    if not keeper.ledger.draining:
        logger.info("draining: not accepting new work")
        drain(keeper.ledger)
        keeper.report_to_all = True


def _tick(keeper: Keeper, now: float) -> None:
    release_results(keeper.ledger, now)
    expire_records(keeper.ledger, now)
    expire_sessions(keeper.ledger, now)
    runner = keeper.runner
    announcement_expired = runner is not None and now - runner.received_at > RUNNER_TIMEOUT_SECONDS
    if announcement_expired and not keeper.ledger.draining:
        logger.warning("runner has not renewed its announcement")
        _begin_draining(keeper, stopping=False)


def _flush(keeper: Keeper, now: float) -> None:
    ledger = keeper.ledger
    started, ledger.started = ledger.started, []
    for record in started:
        keeper.start_run(keeper.runner, record)
    to_all_entries, keeper.report_to_all = keeper.report_to_all, False
    for report in collect_reports(ledger, now, to_all_entries):
        link = keeper.links.get(report.entry)
        if link is not None:
            link.mailbox.post(report.frame)
    if keeper.stopping and not ledger.running:
        keeper.idle.set()
