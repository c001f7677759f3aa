"""Task results: storing, holding back and reporting them."""

from comfreysill.job.types import JobKey
from comfreysill.target.ledger import Ledger, Record, refuse_record, start_waiting
from comfreysill.target.messages import Outcome, RefusalCause, TaskDone

RESULT_HOLD_SECONDS = 1.0


def finish_record(
    ledger: Ledger, record: Record, outcome: Outcome, payload: bytes, run_seconds: float, now: float
) -> None:
    """Stores the outcome of a started task, and reports it now or with the rest of its job."""
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
    """Refuses a started task that the runner did not run."""
    ledger.running -= 1
    refuse_record(ledger, record, RefusalCause.RUNNER)
    start_waiting(ledger, now)


def _report_or_hold(ledger: Ledger, record: Record, now: float) -> None:
    """Reports a result, together with those of the same job that were held back.

    The result of a finished task is held back, for `RESULT_HOLD_SECONDS` at most, while other tasks
    of its job are queued or running here, since the job's answer needs their results too. It is
    reported at once if the owner waits for a free slot and no task is queued here: the report also
    informs the owner of the slot.
    """
    key = record.batch.key
    held_results = ledger.held_results.setdefault(key, [])
    held_results.append(record)
    if record.outcome == Outcome.DONE and _is_job_active(ledger, key):
        session = ledger.sessions.get(ledger.fences[record.batch.partition].owner)
        slot_wanted = session is not None and session.load_wanted and not ledger.queued
        if not slot_wanted:
            if len(held_results) == 1:
                ledger.hold_deadlines.append((now + RESULT_HOLD_SECONDS, key))
            return
    _release_held(ledger, key)


def release_results(ledger: Ledger, now: float) -> None:
    """Reports held results whose hold time has passed."""
    while ledger.hold_deadlines and ledger.hold_deadlines[0][0] <= now:
        _release_held(ledger, ledger.hold_deadlines.popleft()[1])


def _release_held(ledger: Ledger, key: JobKey) -> None:
    for record in ledger.held_results.pop(key, ()):
        _queue_for_owner(ledger, record, build_task_done(record))


def _is_job_active(ledger: Ledger, key: JobKey) -> bool:
    return any(record.outcome <= Outcome.STARTED for record in ledger.records[key].values())


def build_task_done(record: Record) -> TaskDone:
    """Builds the message that reports the outcome of an ended task."""
    return TaskDone(
        key=record.batch.key,
        index=record.task.index,
        attempt=record.task.attempt,
        outcome=record.outcome,
        payload=record.payload,
        run_seconds=record.run_seconds,
    )


def _queue_for_owner(ledger: Ledger, record: Record, message: object) -> None:
    owner = ledger.fences[record.batch.partition].owner
    ledger.outbox.append((owner, message))
