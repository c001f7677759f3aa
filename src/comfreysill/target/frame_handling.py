"""Handling of frames from entries at the ledger: claims, starts, cancellations, drain orders."""

import heapq
from collections.abc import Iterable

from comfreysill.job.types import JobKey
from comfreysill.partition.epoch import NO_EPOCH
from comfreysill.target.frames import EntryFrame
from comfreysill.target.ledger import (
    CLOCK_SKEW_SECONDS,
    RECORD_LIMIT,
    RESULT_BYTES_LIMIT,
    Ledger,
    Record,
    count,
    drain,
    refuse_record,
    refuse_tasks,
    remove_record,
    start_waiting,
)
from comfreysill.target.messages import (
    CancelTasks,
    Claim,
    Claimed,
    Fenced,
    FloorUpdate,
    LedgerRecord,
    Outcome,
    PartitionClaim,
    RefusalCause,
    SetDraining,
    StartBatch,
    TaskStart,
)
from comfreysill.target.results import build_task_done

RECORDS_PER_MESSAGE = 200


def receive_frame(ledger: Ledger, frame: EntryFrame, now: float) -> bool:
    """Processes one frame of an entry; drops one out of sequence or not of the open session.

    Returns:
        False if the frame was dropped; its session must then be closed.
    """
    session = ledger.sessions.get(frame.entry)
    if session is None or session.number != frame.session or not session.open:
        count(ledger, "frames_stale")
        return False
    if frame.sequence != session.received_sequence + 1:
        count(ledger, "frames_out_of_order")
        return False
    if session.acknowledged_sequence == session.received_sequence:
        session.unacknowledged_since = now
    session.received_sequence = frame.sequence
    session.ack_requested = session.ack_requested or frame.ack_wanted
    session.load_wanted = frame.load_wanted
    for message in frame.messages:
        if isinstance(message, StartBatch):
            _receive_batch(ledger, frame.entry, message, now)
        elif isinstance(message, Claim):
            _receive_claim(ledger, frame.entry, message)
        elif isinstance(message, FloorUpdate):
            ledger.floor_version = max(ledger.floor_version, message.version)
            session.ack_requested = True
        elif isinstance(message, SetDraining):
            set_operator_drain(ledger, message.draining)
        elif isinstance(message, CancelTasks):
            _cancel_tasks(ledger, message.keys)
    start_waiting(ledger, now)
    return True


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
        _queue_records(ledger, entry, tuple(granted), tuple(previous))


def _queue_records(
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


def _copy_record(record: Record) -> LedgerRecord:
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
        refuse_tasks(ledger, entry, batch, batch.tasks, cause)
        return
    tasks, batch.tasks = batch.tasks, ()
    for task in tasks:
        _receive_task(ledger, entry, batch, task)


def _receive_task(ledger: Ledger, entry: str, batch: StartBatch, task: TaskStart) -> None:
    existing = ledger.records.get(batch.key, {}).get(task.index)
    if existing is not None and not _allows_rerun(existing, task):
        count(ledger, "starts_repeated")
        if existing.outcome > Outcome.STARTED:
            ledger.outbox.append((entry, build_task_done(existing)))
        return
    if ledger.queued >= ledger.queue_limit + max(0, ledger.slots - ledger.running):
        refuse_tasks(ledger, entry, batch, (task,), RefusalCause.FULL)
        return
    if existing is not None:
        remove_record(ledger, existing)
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


def _allows_rerun(existing: Record, task: TaskStart) -> bool:
    ended = existing.outcome in (Outcome.LOST, Outcome.FAILED)
    return ended and task.idempotent and task.attempt > existing.task.attempt


def _queue_task(ledger: Ledger, batch: StartBatch, task: TaskStart) -> None:
    if batch.key not in ledger.records:
        ledger.records[batch.key] = {}
        heapq.heappush(ledger.expiries, (batch.expires_at, ledger.next_tie_breaker(), batch.key))
    record = Record(batch=batch, task=task)
    ledger.records[batch.key][task.index] = record
    ledger.record_count += 1
    ledger.queued += 1
    ledger.active[batch.task_class] += 1
    item = (int(batch.task_class), batch.deadline, ledger.next_tie_breaker(), record)
    heapq.heappush(ledger.waiting, item)


def _cancel_tasks(ledger: Ledger, keys: Iterable[JobKey]) -> None:
    for key in keys:
        for record in list(ledger.records.get(key, {}).values()):
            if record.outcome == Outcome.QUEUED:
                ledger.queued -= 1
                refuse_record(ledger, record, RefusalCause.CANCELLED)


def set_operator_drain(ledger: Ledger, draining: bool) -> None:
    """Applies an operator's order to drain or to resume.

    While a drain order is in force, an announcement of the runner doesn't end the draining.
    """
    ledger.operator_drain = draining
    if draining:
        drain(ledger)
    else:
        ledger.draining = False
