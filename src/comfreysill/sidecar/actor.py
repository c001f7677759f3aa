"""The asyncio task that owns the state of an agent on the platform."""

import asyncio
import logging
from collections.abc import Callable

from comfreysill.clock import read_boot_clock
from comfreysill.containment import MessageFailures, contain_nothing, handle_contained
from comfreysill.crashes.report import CrashReport
from comfreysill.exchange.messages import AgentFrame
from comfreysill.execution.calls import Call, RenewReply
from comfreysill.execution.frame_handling import (
    close_session,
    expire_links,
    expire_runs,
    receive_frame,
)
from comfreysill.execution.frames import collect_frames, compute_load
from comfreysill.execution.renewals import check_lease_expiry, queue_renewal, receive_renewal
from comfreysill.execution.runner import (
    begin_shutdown,
    is_idle,
    receive_deregistration,
    receive_report,
)
from comfreysill.execution.starts import (
    receive_call_reply,
    resend_stops,
    start_waiting,
    stop_run,
)
from comfreysill.execution.state import AgentState
from comfreysill.mailbox import Mailbox
from comfreysill.sidecar.messages import (
    AgentStateMessage,
    EntriesDiscovered,
    EntryFrameReceived,
    RunnerCallFinished,
    RunnerDeregistered,
    RunnerReportReceived,
    SessionClosed,
    Stop,
    Tick,
)

logger = logging.getLogger(__name__)


class EntrySession:
    """An open session of the link with an entry.

    Attributes:
        entry: Name of the entry.
        session: Number of the session.
        address: Address of the entry, empty if its first frame named none.
        outbox: Frames to send; None closes the session.
    """

    __slots__ = ("entry", "session", "address", "outbox")

    def __init__(
        self, *, entry: str, session: int, address: str, outbox: Mailbox[AgentFrame | None]
    ) -> None:
        self.entry = entry
        self.session = session
        self.address = address
        self.outbox = outbox


class Actor:
    """State, mailbox and sessions of an agent.

    Only the asyncio task that runs `run_state_task` changes `agent` and `sessions`.

    Attributes:
        agent: State of the agent.
        inbox: Messages from the other asyncio tasks of the process.
        sessions: Open sessions by the entry's name.
        submit_call: Starts an asyncio task that sends a call to the runner.
        crash_reports: Reports of crashes for the task that keeps them in the store.
        idle: Set while no run can be at the runner; updated after each batch of messages.
        failures: Messages whose handling has failed.
    """

    __slots__ = ("agent", "inbox", "sessions", "submit_call", "crash_reports", "idle", "failures")

    def __init__(self, *, agent: AgentState, submit_call: Callable[[Call], None]) -> None:
        self.agent = agent
        self.inbox: Mailbox[AgentStateMessage] = Mailbox()
        self.sessions: dict[str, EntrySession] = {}
        self.submit_call = submit_call
        self.crash_reports: Mailbox[CrashReport] = Mailbox()
        self.idle = asyncio.Event()
        self.failures = MessageFailures()


async def run_state_task(actor: Actor) -> None:
    """Handles messages until the asyncio task is cancelled."""
    while True:
        messages = await actor.inbox.get_batch()
        now = read_boot_clock()
        # If the process was suspended, leases and runs may have ended; they are checked before any
        # message.
        expire_links(actor.agent, now)
        expire_runs(actor.agent, now)
        load_before = compute_load(actor.agent, now)
        for message in messages:
            handle_contained(actor, message, now, HANDLERS, CONTAINMENT)
        _flush(actor, load_before.cpu, now)


def _receive_frame(actor: Actor, message: EntryFrameReceived, now: float) -> None:
    frame = message.frame
    session = actor.sessions.get(frame.entry)
    if not receive_frame(actor.agent, frame, now):
        message.outbox.post(None)
        return
    if session is None or session.outbox is not message.outbox:
        if session is not None:
            session.outbox.post(None)
        address = frame.entries[0] if frame.entries else ""
        actor.sessions[frame.entry] = EntrySession(
            entry=frame.entry, session=frame.session, address=address, outbox=message.outbox
        )


def _receive_session_closed(actor: Actor, message: SessionClosed, now: float) -> None:
    for entry, session in list(actor.sessions.items()):
        if session.outbox is message.outbox:
            del actor.sessions[entry]
            close_session(actor.agent, entry, session.session)


def _receive_report(actor: Actor, message: RunnerReportReceived, now: float) -> None:
    receive_report(actor.agent, message.report, now)


def _receive_deregistration(actor: Actor, message: RunnerDeregistered, now: float) -> None:
    receive_deregistration(actor.agent, message.runner_id, now)


def _receive_reply(actor: Actor, message: RunnerCallFinished, now: float) -> None:
    if isinstance(message.reply, RenewReply):
        receive_renewal(actor.agent, message.reply, now)
    else:
        receive_call_reply(actor.agent, message.reply, now)


def _receive_entries(actor: Actor, message: EntriesDiscovered, now: float) -> None:
    actor.agent.entries.update(message.addresses)


def _receive_tick(actor: Actor, message: Tick, now: float) -> None:
    resend_stops(actor.agent, now)
    check_lease_expiry(actor.agent, now)


def _receive_stop(actor: Actor, message: Stop, now: float) -> None:
    begin_shutdown(actor.agent, now)
    if message.immediate:
        for run in list(actor.agent.runs.values()):
            stop_run(actor.agent, run, now, "its agent ends")


HANDLERS: dict[type, Callable[[Actor, AgentStateMessage, float], None]] = {
    EntryFrameReceived: _receive_frame,
    SessionClosed: _receive_session_closed,
    RunnerReportReceived: _receive_report,
    RunnerDeregistered: _receive_deregistration,
    RunnerCallFinished: _receive_reply,
    EntriesDiscovered: _receive_entries,
    Tick: _receive_tick,
    Stop: _receive_stop,
}


def _contain_frame(actor: Actor, message: EntryFrameReceived, now: float) -> None:
    # The first frame of the next session tells the entry which of its tasks are here.
    message.outbox.post(None)


def _contain_reply(actor: Actor, message: RunnerCallFinished, now: float) -> None:
    # The lists in the reply to a renewal settle what the reply would have.
    actor.agent.renew_now = True


CONTAINMENT: dict[type, Callable[[Actor, AgentStateMessage, float], None]] = {
    EntryFrameReceived: _contain_frame,
    RunnerCallFinished: _contain_reply,
    RunnerReportReceived: contain_nothing,
    EntriesDiscovered: contain_nothing,
}


def _flush(actor: Actor, cpu_before: int, now: float) -> None:
    agent = actor.agent
    start_waiting(agent, now)
    queue_renewal(agent, now)
    calls, agent.calls = agent.calls, []
    for call in calls:
        actor.submit_call(call)
    reports, agent.unsaved_crashes = agent.unsaved_crashes, []
    for report in reports:
        actor.crash_reports.post(report)
    freed = compute_load(agent, now).cpu > cpu_before
    for entry, frame in collect_frames(agent, freed, now):
        session = actor.sessions.get(entry)
        if session is not None:
            session.outbox.post(frame)
    events, agent.events = agent.events, []
    for text, fields in events:
        logger.info(text, extra={"fields": fields})
    if is_idle(agent):
        actor.idle.set()
    else:
        actor.idle.clear()
