"""The ledger aggregate: what an agent was told to start, what started, and what came of it."""

import heapq
from collections import deque
from collections.abc import Iterable

from comfreysill.job.types import JobKey, TaskClass
from comfreysill.partition.epoch import NO_EPOCH, Epoch
from comfreysill.target.messages import (
    CancelTasks,
    Claim,
    Claimed,
    EntryFrame,
    Fenced,
    FloorUpdate,
    LedgerRecord,
    Outcome,
    PartitionClaim,
    RefusalCause,
    Refused,
    SetDraining,
    StartBatch,
    TaskDone,
    TaskStart,
)

RECORDS_PER_MESSAGE = 200
RECORD_LIMIT = 200_000
RESULT_BYTES_LIMIT = 32 * 1024 * 1024
CLOCK_SKEW_SECONDS = 0.5
HOLD_SECONDS = 1.0


class Entry:
    """One record of the ledger, with what is needed to run the task."""

    __slots__ = (
        "batch",
        "task",
        "outcome",
        "payload",
        "run_seconds",
    )

    def __init__(self, *, batch: StartBatch, task: TaskStart) -> None:
        self.batch = batch
        self.task = task
        self.outcome = Outcome.QUEUED
        self.payload = b""
        self.run_seconds = 0.0


class Session:
    """Newest link of one entry.

    Attributes:
        number: Number of the link, raised by the entry with each connection.
        open: True while the link is open.
        received: Sequence number of the last frame received on it.
        acknowledged: Sequence number that the entry was told last.
        received_at: Unix time in seconds of the oldest frame not acknowledged yet.
        prompt: True when the entry waits for an acknowledgement.
        sent: Sequence number of the last frame sent on it.
        load_wanted: True while the entry waits to hear of a free slot.
        closed_at: Unix time in seconds at which it was closed.
    """

    __slots__ = (
        "number",
        "open",
        "received",
        "acknowledged",
        "received_at",
        "prompt",
        "sent",
        "load_wanted",
        "closed_at",
    )

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.open = True
        self.received = 0
        self.acknowledged = 0
        self.received_at = 0.0
        self.prompt = False
        self.sent = 0
        self.load_wanted = False
        self.closed_at = 0.0


class Ledger:
    """Guards the rule that a task starts at most once at this target.

    Attributes:
        agent: Name of the agent.
        incarnation: Incarnation of the agent's process; a ledger doesn't outlive it.
        lost_at: Unix time in seconds at which an earlier incarnation's ledger was lost.
        slots: How many tasks the target runs at once; 0 before a runner announced itself.
        queue_limit: How many tasks may wait here.
        fences: Highest epoch seen for each partition.
        records: Records by job key and task index.
        running: How many tasks run.
        active: How many tasks of each class run or wait.
        draining: True when no new work is taken.
        drain_ordered: True while an operator keeps the target from taking work.
        outbox: Messages to entries, as pairs of entry name and message.
        held: Results that wait for others of their job.
        held_until: Unix times in seconds at which held results are reported all the same.
        started: Records whose tasks the runner has to start now.
    """

    __slots__ = (
        "agent",
        "incarnation",
        "lost_at",
        "slots",
        "queue_limit",
        "services",
        "fences",
        "records",
        "record_count",
        "result_bytes",
        "running",
        "queued",
        "active",
        "draining",
        "drain_ordered",
        "floor_version",
        "outbox",
        "started",
        "sessions",
        "counters",
        "held",
        "held_until",
        "_waiting",
        "_expiries",
        "_order",
    )

    def __init__(self, *, agent: str, incarnation: str) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.lost_at = 0.0
        self.slots = 0
        self.queue_limit = 0
        self.services: frozenset[str] = frozenset()
        self.fences: dict[int, Epoch] = {}
        self.records: dict[JobKey, dict[int, Entry]] = {}
        self.record_count = 0
        self.result_bytes = 0
        self.running = 0
        self.queued = 0
        self.active = [0] * len(TaskClass)
        self.draining = False
        self.drain_ordered = False
        self.floor_version = 0
        self.outbox: list[tuple[str, object]] = []
        self.started: list[Entry] = []
        self.sessions: dict[str, Session] = {}
        self.counters: dict[str, int] = {}
        self.held: dict[JobKey, list[Entry]] = {}
        self.held_until: deque[tuple[float, JobKey]] = deque()
        self._waiting: list[tuple[int, float, int, Entry]] = []
        self._expiries: list[tuple[float, int, JobKey]] = []
        self._order = 0

    def next_order(self) -> int:
        """Returns a number that orders records of equal priority."""
        self._order += 1
        return self._order


def open_session(ledger: Ledger, entry: str, number: int) -> bool:
    """Makes a link the only one on which frames of an entry are taken.

    Returns:
        False when a newer link of the entry is known.
    """
    session = ledger.sessions.get(entry)
    if session is not None and session.number >= number:
        return False
    ledger.sessions[entry] = Session(number=number)
    return True


def close_session(ledger: Ledger, entry: str, number: int, now: float) -> None:
    """Records that a link is gone; its number stays known, so that it is never taken again."""
    session = ledger.sessions.get(entry)
    if session is not None and session.number == number:
        session.open = False
        session.closed_at = now


def receive_frame(ledger: Ledger, frame: EntryFrame, now: float) -> bool:
    """Takes one frame of an entry; frames of older links, copies and gaps are dropped.

    Returns:
        False when the frame was dropped, after which the link has to be closed.
    """
    session = ledger.sessions.get(frame.entry)
    if session is None or session.number != frame.session or not session.open:
        _count(ledger, "frames_stale")
        return False
    if frame.sequence != session.received + 1:
        _count(ledger, "frames_out_of_order")
        return False
    if session.acknowledged == session.received:
        session.received_at = now
    session.received = frame.sequence
    session.prompt = session.prompt or frame.ack_wanted
    session.load_wanted = frame.load_wanted
    for message in frame.messages:
        if isinstance(message, StartBatch):
            _receive_batch(ledger, frame.entry, message, now)
        elif isinstance(message, Claim):
            _receive_claim(ledger, frame.entry, message)
        elif isinstance(message, FloorUpdate):
            ledger.floor_version = max(ledger.floor_version, message.version)
            session.prompt = True
        elif isinstance(message, SetDraining):
            order_drain(ledger, message.draining)
        elif isinstance(message, CancelTasks):
            _cancel_tasks(ledger, message.keys)
    start_waiting(ledger, now)
    return True


def start_waiting(ledger: Ledger, now: float) -> None:
    """Starts queued tasks while slots are free, most urgent first."""
    while ledger._waiting and ledger.running < ledger.slots:
        record = heapq.heappop(ledger._waiting)[3]
        if record.outcome != Outcome.QUEUED:
            continue
        ledger.queued -= 1
        if record.batch.deadline <= now:
            _refuse_record(ledger, record, RefusalCause.EXPIRED)
            continue
        record.outcome = Outcome.STARTED
        ledger.running += 1
        ledger.started.append(record)


def finish_record(
    ledger: Ledger, record: Entry, outcome: Outcome, payload: bytes, run_seconds: float, now: float
) -> None:
    """Stores what came of a started task and reports it to the partition's owner."""
    ledger.running -= 1
    ledger.active[record.batch.task_class] -= 1
    record.outcome = outcome
    record.payload = payload
    record.run_seconds = run_seconds
    record.task.payload = b""
    ledger.result_bytes += len(payload)
    start_waiting(ledger, now)
    _report_or_hold(ledger, record, now)


def reject_record(ledger: Ledger, record: Entry, now: float) -> None:
    """Takes back a started task that the runner's own protocol refused to run."""
    ledger.running -= 1
    _refuse_record(ledger, record, RefusalCause.RUNNER)
    start_waiting(ledger, now)


def order_drain(ledger: Ledger, draining: bool) -> None:
    """Takes an operator's order, which the runner's announcements don't undo."""
    ledger.drain_ordered = draining
    if draining:
        drain(ledger)
    else:
        ledger.draining = False


def drain(ledger: Ledger) -> None:
    """Stops taking new work and gives queued tasks back as not run."""
    ledger.draining = True
    while ledger._waiting:
        record = heapq.heappop(ledger._waiting)[3]
        if record.outcome == Outcome.QUEUED:
            ledger.queued -= 1
            _refuse_record(ledger, record, RefusalCause.DRAINING)


def expire_records(ledger: Ledger, now: float) -> None:
    """Forgets records whose time is over; a task that runs is kept until it ends."""
    while ledger._expiries and ledger._expiries[0][0] <= now:
        _, order, key = heapq.heappop(ledger._expiries)
        tasks = ledger.records.get(key)
        if tasks is None:
            continue
        if any(record.outcome == Outcome.STARTED for record in tasks.values()):
            heapq.heappush(ledger._expiries, (now + 1.0, order, key))
            continue
        for record in list(tasks.values()):
            if record.outcome == Outcome.QUEUED:
                ledger.queued -= 1
                _refuse_record(ledger, record, RefusalCause.EXPIRED)
                continue
            _forget_record(ledger, record)


def _receive_claim(ledger: Ledger, entry: str, message: Claim) -> None:
    granted, previous = [], []
    for claim in message.claims:
        fence = ledger.fences.get(claim.partition, NO_EPOCH)
        if claim.epoch < fence:
            higher = PartitionClaim(partition=claim.partition, epoch=fence)
            ledger.outbox.append((entry, Fenced(claim=higher)))
            continue
        if fence.owner not in ("", claim.epoch.owner):
            ledger.outbox.append((fence.owner, Fenced(claim=claim)))
        ledger.fences[claim.partition] = claim.epoch
        granted.append(claim)
        previous.append(PartitionClaim(partition=claim.partition, epoch=fence))
    if granted:
        _send_records(ledger, entry, tuple(granted), tuple(previous))


def _send_records(
    ledger: Ledger,
    entry: str,
    granted: tuple[PartitionClaim, ...],
    previous: tuple[PartitionClaim, ...],
) -> None:
    partitions = {claim.partition for claim in granted}
    records = [
        _copy_record(record)
        for tasks in ledger.records.values()
        for record in tasks.values()
        if record.batch.partition in partitions
    ]
    for start in range(0, max(1, len(records)), RECORDS_PER_MESSAGE):
        chunk = tuple(records[start : start + RECORDS_PER_MESSAGE])
        last = start + RECORDS_PER_MESSAGE >= len(records)
        message = Claimed(
            claims=granted,
            previous=previous,
            records=chunk,
            last=last,
            lost_at=ledger.lost_at,
        )
        ledger.outbox.append((entry, message))


def _copy_record(record: Entry) -> LedgerRecord:
    return LedgerRecord(
        key=record.batch.key,
        digest=record.batch.digest,
        partition=record.batch.partition,
        index=record.task.index,
        attempt=record.task.attempt,
        outcome=record.outcome,
        payload=record.payload,
        run_seconds=record.run_seconds,
    )


def _receive_batch(ledger: Ledger, entry: str, batch: StartBatch, now: float) -> None:
    cause = _check_batch(ledger, entry, batch, now)
    if cause is not None:
        _refuse(ledger, entry, batch, batch.tasks, cause)
        return
    tasks, batch.tasks = batch.tasks, ()
    for task in tasks:
        _receive_task(ledger, entry, batch, task)


def _receive_task(ledger: Ledger, entry: str, batch: StartBatch, task: TaskStart) -> None:
    known = ledger.records.get(batch.key, {}).get(task.index)
    if known is not None and not _allows_rerun(known, task):
        _count(ledger, "starts_repeated")
        if known.outcome > Outcome.STARTED:
            ledger.outbox.append((entry, _report_record(known)))
        return
    if ledger.queued >= ledger.queue_limit + max(0, ledger.slots - ledger.running):
        _refuse(ledger, entry, batch, (task,), RefusalCause.FULL)
        return
    if known is not None:
        _forget_record(ledger, known)
    _queue_task(ledger, batch, task)


def _check_batch(ledger: Ledger, entry: str, batch: StartBatch, now: float) -> RefusalCause | None:
    fence = ledger.fences.get(batch.partition, NO_EPOCH)
    if batch.epoch != fence or fence.owner != entry:
        return RefusalCause.FENCED
    if now > batch.authority_until + CLOCK_SKEW_SECONDS:
        return RefusalCause.STALE_AUTHORITY
    if ledger.draining or batch.service not in ledger.services:
        return RefusalCause.DRAINING
    if batch.deadline <= now:
        return RefusalCause.EXPIRED
    if ledger.record_count >= RECORD_LIMIT or ledger.result_bytes >= RESULT_BYTES_LIMIT:
        return RefusalCause.FULL
    return None


def _allows_rerun(known: Entry, task: TaskStart) -> bool:
    ended = known.outcome in (Outcome.LOST, Outcome.FAILED)
    return ended and task.idempotent and task.attempt > known.task.attempt


def _queue_task(ledger: Ledger, batch: StartBatch, task: TaskStart) -> None:
    if batch.key not in ledger.records:
        ledger.records[batch.key] = {}
        heapq.heappush(ledger._expiries, (batch.expires_at, ledger.next_order(), batch.key))
    record = Entry(batch=batch, task=task)
    ledger.records[batch.key][task.index] = record
    ledger.record_count += 1
    ledger.queued += 1
    ledger.active[batch.task_class] += 1
    rank = (int(batch.task_class), batch.deadline, ledger.next_order(), record)
    heapq.heappush(ledger._waiting, rank)


def _cancel_tasks(ledger: Ledger, keys: Iterable[JobKey]) -> None:
    for key in keys:
        for record in list(ledger.records.get(key, {}).values()):
            if record.outcome == Outcome.QUEUED:
                ledger.queued -= 1
                _refuse_record(ledger, record, RefusalCause.CANCELLED)


def _refuse_record(ledger: Ledger, record: Entry, cause: RefusalCause) -> None:
    record.outcome = Outcome.LOST
    ledger.active[record.batch.task_class] -= 1
    _forget_record(ledger, record)
    owner = ledger.fences[record.batch.partition].owner
    _refuse(ledger, owner, record.batch, (record.task,), cause)


def _refuse(
    ledger: Ledger,
    entry: str,
    batch: StartBatch,
    tasks: tuple[TaskStart, ...],
    cause: RefusalCause,
) -> None:
    _count(ledger, f"refused_{cause.name.lower()}")
    attempts = tuple((task.index, task.attempt) for task in tasks)
    message = Refused(key=batch.key, attempts=attempts, cause=cause)
    ledger.outbox.append((entry, message))


def _forget_record(ledger: Ledger, record: Entry) -> None:
    tasks = ledger.records[record.batch.key]
    del tasks[record.task.index]
    ledger.record_count -= 1
    ledger.result_bytes -= len(record.payload)
    if not tasks:
        del ledger.records[record.batch.key]


def _report_or_hold(ledger: Ledger, record: Entry, now: float) -> None:
    """Reports a result, together with those of the same job that were held back.

    A result is held back while other tasks of its job are here and the owner has no use for
    the slot: the answer needs the last result anyway.
    """
    key = record.batch.key
    held = ledger.held.setdefault(key, [])
    held.append(record)
    if record.outcome == Outcome.DONE and _is_job_active(ledger, key):
        session = ledger.sessions.get(ledger.fences[record.batch.partition].owner)
        hungry = session is not None and session.load_wanted and not ledger.queued
        if not hungry:
            if len(held) == 1:
                ledger.held_until.append((now + HOLD_SECONDS, key))
            return
    _release_held(ledger, key)


def release_results(ledger: Ledger, now: float) -> None:
    """Reports results that were held back long enough."""
    while ledger.held_until and ledger.held_until[0][0] <= now:
        _release_held(ledger, ledger.held_until.popleft()[1])


def _release_held(ledger: Ledger, key: JobKey) -> None:
    for record in ledger.held.pop(key, ()):
        _send_owner(ledger, record, _report_record(record))


def _is_job_active(ledger: Ledger, key: JobKey) -> bool:
    return any(record.outcome <= Outcome.STARTED for record in ledger.records[key].values())


def _report_record(record: Entry) -> TaskDone:
    return TaskDone(
        key=record.batch.key,
        index=record.task.index,
        attempt=record.task.attempt,
        outcome=record.outcome,
        payload=record.payload,
        run_seconds=record.run_seconds,
    )


def _send_owner(ledger: Ledger, record: Entry, message: object) -> None:
    owner = ledger.fences[record.batch.partition].owner
    ledger.outbox.append((owner, message))


def _count(ledger: Ledger, name: str) -> None:
    ledger.counters[name] = ledger.counters.get(name, 0) + 1
