"""Results of tasks: when they are stored, held back and reported."""

from comfreysill.job.types import JobKey
from comfreysill.target.ledger import Ledger, Record, refuse_record, start_waiting
from comfreysill.target.messages import Outcome, RefusalCause, TaskDone

HOLD_SECONDS = 1.0


def finish_record(
    ledger: Ledger, record: Record, outcome: Outcome, payload: bytes, run_seconds: float, now: float
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


def reject_record(ledger: Ledger, record: Record, now: float) -> None:
    """Takes back a started task that the runner's own protocol refused to run."""
    ledger.running -= 1
    refuse_record(ledger, record, RefusalCause.RUNNER)
    start_waiting(ledger, now)


def _report_or_hold(ledger: Ledger, record: Record, now: float) -> None:
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
        _send_owner(ledger, record, report_record(record))


def _is_job_active(ledger: Ledger, key: JobKey) -> bool:
    return any(record.outcome <= Outcome.STARTED for record in ledger.records[key].values())


def report_record(record: Record) -> TaskDone:
    """Builds the message that tells an owner of a record that has ended."""
    return TaskDone(
        key=record.batch.key,
        index=record.task.index,
        attempt=record.task.attempt,
        outcome=record.outcome,
        payload=record.payload,
        run_seconds=record.run_seconds,
    )


def _send_owner(ledger: Ledger, record: Record, message: object) -> None:
    owner = ledger.fences[record.batch.partition].owner
    ledger.outbox.append((owner, message))
