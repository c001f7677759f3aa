"""Frames from an agent to entries: results, acknowledgements and the target's load."""

from comfreysill.target.frames import AgentFrame, Load
from comfreysill.target.ledger import Ledger, Session
from comfreysill.target.messages import (
    AgentMessage,
)

SESSION_RETENTION_SECONDS = 300.0
MAX_ACK_DELAY_SECONDS = 1.0


class Report:
    """A frame to be sent to an entry."""

    __slots__ = ("entry", "frame")

    def __init__(self, *, entry: str, frame: AgentFrame) -> None:
        self.entry = entry
        self.frame = frame


def measure_load(ledger: Ledger) -> Load:
    """Returns the load of the target."""
    return Load(
        slots=ledger.slots,
        queue_limit=ledger.queue_limit,
        running=ledger.running,
        queued=ledger.queued,
        active=tuple(ledger.active),
        draining=ledger.draining,
        floor_version=ledger.floor_version,
    )


def has_free_slot(ledger: Ledger) -> bool:
    """Returns whether a slot is free that no queued task will use."""
    return ledger.running + ledger.queued < ledger.slots


def collect_reports(ledger: Ledger, now: float, to_all_entries: bool = False) -> list[Report]:
    """Empties the ledger's outbox and builds one frame for each entry that is due a report.

    Messages to entries without an open session are dropped: an entry reads the ledger with its next
    claim, and requeues those of its tasks that have no record there.

    Args:
        ledger: The ledger.
        now: Unix time in seconds.
        to_all_entries: Whether every entry with an open session gets a frame, for a change that
            concerns all of them.
    """
    outbox, ledger.outbox = ledger.outbox, []
    messages: dict[str, list[AgentMessage]] = {}
    for entry, message in outbox:
        messages.setdefault(entry, []).append(message)
    reports = []
    for entry, session in ledger.sessions.items():
        if not session.open:
            continue
        if to_all_entries or entry in messages or _is_due(ledger, session, now):
            frame = _build_frame(ledger, session, tuple(messages.get(entry, ())))
            _count_frame(ledger, not messages.get(entry))
            reports.append(Report(entry=entry, frame=frame))
    return reports


def expire_sessions(ledger: Ledger, now: float) -> None:
    """Removes sessions that have been closed for `SESSION_RETENTION_SECONDS`."""
    for entry, session in list(ledger.sessions.items()):
        if not session.open and now - session.closed_at >= SESSION_RETENTION_SECONDS:
            del ledger.sessions[entry]


def _is_due(ledger: Ledger, session: Session, now: float) -> bool:
    if session.load_wanted and has_free_slot(ledger):
        return True
    if session.acknowledged_sequence == session.received_sequence:
        return False
    return session.ack_requested or now - session.unacknowledged_since >= MAX_ACK_DELAY_SECONDS


def _count_frame(ledger: Ledger, empty: bool) -> None:
    counters = ledger.counters
    counters["frames_to_entries"] = counters.get("frames_to_entries", 0) + 1
    if empty:
        counters["frames_empty"] = counters.get("frames_empty", 0) + 1


def _build_frame(
    ledger: Ledger, session: Session, messages: tuple[AgentMessage, ...]
) -> AgentFrame:
    session.sent_sequence += 1
    session.acknowledged_sequence = session.received_sequence
    session.ack_requested = False
    session.load_wanted = session.load_wanted and not has_free_slot(ledger)
    return AgentFrame(
        agent=ledger.agent,
        incarnation=ledger.incarnation,
        session=session.number,
        sequence=session.sent_sequence,
        acknowledged=session.received_sequence,
        load=measure_load(ledger),
        messages=messages,
    )
