"""Outcomes of the tasks of owned jobs, and the resulting answers."""

from comfreysill.dispatch.backlog import track_pending
from comfreysill.dispatch.delivery import deliver_answer
from comfreysill.dispatch.estimate import (
    estimate_ideal_response_time,
    find_mean_run_time,
    learn_run_time,
)
from comfreysill.dispatch.queue import ServiceQueue, compute_due_time, push_job
from comfreysill.dispatch.retries import earn_retry, spend_retry
from comfreysill.dispatch.state import Dispatcher, count
from comfreysill.job.job import (
    Job,
    TaskState,
    adopt_placement,
    complete_job,
    fail_job,
    fail_task,
    finish_task,
    list_placed,
    make_pending,
    mark_task_lost,
)
from comfreysill.job.types import Answer, JobKey, Reason
from comfreysill.partition.hashing import find_partition
from comfreysill.partition.owned import (
    OwnedPartition,
    RecoveredAttempt,
    RecoveredJob,
    store_recovered_attempt,
)
from comfreysill.target.messages import (
    CancelTasks,
    LedgerRecord,
    Outcome,
    RefusalCause,
    Refused,
    TaskDone,
)
from comfreysill.target.view import Target, record_failure, record_success, update_slowness

MAX_RETRIES_PER_TASK = 20
# A failed task is retried only if the number of the attempt, which also counts attempts that were
# refused or lost, is below this.
MAX_FAILED_ATTEMPTS = 3
# Causes that neither count towards the retry limit nor cost a retry token.
UNCOUNTED_REFUSALS = (RefusalCause.FULL, RefusalCause.DRAINING)


def restore_job(dispatcher: Dispatcher, job: Job, recovered: RecoveredJob, now: float) -> None:
    """Restores the tasks of a job of an earlier owner from ledger records and handovers."""
    for index, tasks in recovered.tasks.items():
        for task in sorted(tasks, key=_get_attempt):
            restore_task(dispatcher, job, index, task, now)


def _get_attempt(task: RecoveredAttempt) -> int:
    return task.attempt


def restore_task(
    dispatcher: Dispatcher, job: Job, index: int, task: RecoveredAttempt, now: float
) -> None:
    """Restores the state of a task from a ledger record or a handover.

    A result is stored whatever the state of the task, unless it has one already; other outcomes are
    ignored unless the task is pending.
    """
    if job.answer is not None:
        return
    if task.outcome == Outcome.DONE:
        finish_task(job, index, task.payload)
        track_pending(dispatcher, job)
        return
    if job.states[index] != TaskState.PENDING:
        return
    adopt_placement(job, index, task.attempt, task.agent, task.incarnation)
    track_pending(dispatcher, job)
    target = dispatcher.targets.get(task.agent)
    ledger_lost = target is None or target.incarnation != task.incarnation
    if task.outcome == Outcome.FAILED:
        _handle_task_failure(dispatcher, job, index, task.attempt, task.payload, now)
    elif task.outcome == Outcome.LOST or ledger_lost:
        abandon_attempt(dispatcher, job, index, task.attempt, now)


def enqueue_job(dispatcher: Dispatcher, job: Job) -> None:
    """Adds a job to its service's queue if it has pending tasks and isn't blocked or queued."""
    if job.answer is not None or not job.pending or job.blocked_by_prior_runs or job.queued:
        return
    job.queued = True
    queue = dispatcher.queues.setdefault(job.submission.service, ServiceQueue())
    ideal_seconds = estimate_ideal_response_time(
        dispatcher.estimates, job, _count_slots(dispatcher, job)
    )
    push_job(queue, job, compute_due_time(job, ideal_seconds))


def _count_slots(dispatcher: Dispatcher, job: Job) -> int:
    return sum(
        target.load.slots
        for target in dispatcher.targets.values()
        if job.submission.service in target.registration.services
    )


def receive_done(dispatcher: Dispatcher, target: Target, done: TaskDone, now: float) -> None:
    """Handles the end of a task's attempt, as reported by its agent."""
    job = find_job(dispatcher, done.key)
    if job is None:
        _update_recovered_task(dispatcher, target, done)
        return
    if not _is_placed_at(job, target, done.index, done.attempt):
        _handle_superseded_result(dispatcher, job, done, now)
        return
    if done.outcome == Outcome.DONE:
        _update_estimates(dispatcher, target, job, done)
        record_success(target)
        earn_retry(dispatcher)
        finish_task(job, done.index, done.payload)
        count(dispatcher, "tasks_done")
        complete_and_answer(dispatcher, job, now)
        return
    if record_failure(target, now):
        count(dispatcher, "targets_ejected")
    if done.outcome == Outcome.FAILED:
        _handle_task_failure(dispatcher, job, done.index, done.attempt, done.payload, now)
    else:
        abandon_attempt(dispatcher, job, done.index, done.attempt, now)


def receive_refused(dispatcher: Dispatcher, target: Target, refused: Refused, now: float) -> None:
    """Requeues tasks that an agent refused to run.

    A job with more retries than `MAX_RETRIES_PER_TASK` times its number of tasks fails.
    """
    count(dispatcher, f"starts_refused_{refused.cause.name.lower()}", len(refused.attempts))
    if refused.cause == RefusalCause.RUNNER and record_failure(target, now):
        count(dispatcher, "targets_ejected")
    job = find_job(dispatcher, refused.key)
    if job is None:
        _drop_recovered_attempts(dispatcher, target, refused)
        return
    for index, attempt in refused.attempts:
        if _is_placed_at(job, target, index, attempt):
            counted = refused.cause not in UNCOUNTED_REFUSALS
            make_pending(job, index, attempt, counted=counted)
            if counted:
                spend_retry(dispatcher)
    track_pending(dispatcher, job)
    if job.retries > MAX_RETRIES_PER_TASK * len(job.submission.tasks):
        fail_and_answer(dispatcher, job, Reason.NO_TARGET, "targets refuse the tasks", now)
    enqueue_job(dispatcher, job)


def abandon_attempt(dispatcher: Dispatcher, job: Job, index: int, attempt: int, now: float) -> None:
    """Gives up the current attempt of a task, after it failed or its outcome became unknown.

    An idempotent task is requeued; the job of any other task fails. Nothing happens if the attempt
    is no longer the current one.
    """
    if not mark_task_lost(job, index, attempt):
        return
    count(dispatcher, "tasks_lost")
    if job.states[index] == TaskState.UNKNOWN:
        detail = f"task {index} may have run; its target gave no answer"
        fail_and_answer(dispatcher, job, Reason.LOST, detail, now)
        return
    spend_retry(dispatcher)
    track_pending(dispatcher, job)
    enqueue_job(dispatcher, job)


def requeue_task(dispatcher: Dispatcher, job: Job, index: int) -> None:
    """Requeues a task whose start never reached the agent."""
    make_pending(job, index, job.attempts[index])
    track_pending(dispatcher, job)
    enqueue_job(dispatcher, job)


def cancel_job(dispatcher: Dispatcher, key: JobKey, now: float) -> bool:
    """Cancels a job: drops its queued tasks and doesn't wait for the results of running ones.

    Returns:
        False when no partition that this entry owns or claims has the job.
    """
    job = find_job(dispatcher, key)
    if job is None:
        return False
    if job.answer is None:
        fail_and_answer(dispatcher, job, Reason.CANCELLED, "the job was cancelled", now)
    return True


def fail_and_answer(
    dispatcher: Dispatcher, job: Job, reason: Reason, detail: str, now: float
) -> None:
    """Fails a job unless it is answered already.

    Its tasks that are queued at agents are cancelled, and its listeners are answered.
    """
    placed = list_placed(job) if job.answer is None else []
    agents = {job.placements[index].agent for index in placed}
    answer = fail_job(job, reason, detail)
    if answer is None:
        return
    track_pending(dispatcher, job)
    for name in agents:
        target = dispatcher.targets.get(name)
        if target is not None and target.handshake_done:
            target.outbox.append(CancelTasks(keys=(job.key,)))
    count(dispatcher, f"jobs_failed_{reason.name.lower()}")
    _answer_listeners(dispatcher, job, answer, now)


def find_job(dispatcher: Dispatcher, key: JobKey) -> Job | None:
    """Returns a job of an owned partition, or None if there is none with this key."""
    owned_partition = dispatcher.owned_partitions.get(find_partition(key))
    return None if owned_partition is None else owned_partition.jobs.get(key)


def apply_ledger_record(
    dispatcher: Dispatcher,
    owned_partition: OwnedPartition,
    target: Target,
    record: LedgerRecord,
    now: float,
) -> None:
    """Applies a ledger record received with a granted claim."""
    job = owned_partition.jobs.get(record.key)
    if job is None:
        store_recovered_attempt(owned_partition, record, target.name, target.incarnation)
        return
    if job.submission.digest != record.digest or job.answer is not None:
        return
    task = RecoveredAttempt(
        agent=target.name,
        incarnation=target.incarnation,
        attempt=record.attempt,
        outcome=record.outcome,
        payload=record.payload,
    )
    index = record.index
    if _is_placed_at(job, target, index, record.attempt):
        if record.outcome > Outcome.STARTED:
            receive_done(dispatcher, target, _build_task_done(record), now)
        return
    restore_task(dispatcher, job, index, task, now)
    complete_and_answer(dispatcher, job, now)


def _build_task_done(record: LedgerRecord) -> TaskDone:
    return TaskDone(
        key=record.key,
        index=record.index,
        attempt=record.attempt,
        outcome=record.outcome,
        payload=record.payload,
        run_seconds=record.run_seconds,
    )


def _update_recovered_task(dispatcher: Dispatcher, target: Target, done: TaskDone) -> None:
    count(dispatcher, "results_unawaited")
    owned_partition = dispatcher.owned_partitions.get(find_partition(done.key))
    recovered = owned_partition.recovered.get(done.key) if owned_partition is not None else None
    if recovered is None:
        return
    for task in recovered.tasks.get(done.index, []):
        if task.agent == target.name and task.attempt == done.attempt:
            task.outcome = done.outcome
            task.payload = done.payload


def _drop_recovered_attempts(dispatcher: Dispatcher, target: Target, refused: Refused) -> None:
    owned_partition = dispatcher.owned_partitions.get(find_partition(refused.key))
    recovered = owned_partition.recovered.get(refused.key) if owned_partition is not None else None
    if recovered is None:
        return
    process = (target.name, target.incarnation)
    for index, number in refused.attempts:
        attempts = recovered.tasks.get(index, [])
        attempts[:] = [
            attempt
            for attempt in attempts
            if (attempt.agent, attempt.incarnation) != process or attempt.attempt != number
        ]


def _handle_superseded_result(dispatcher: Dispatcher, job: Job, done: TaskDone, now: float) -> None:
    count(dispatcher, "results_unawaited")
    if job.answer is not None or done.outcome != Outcome.DONE:
        return
    finish_task(job, done.index, done.payload)
    track_pending(dispatcher, job)
    complete_and_answer(dispatcher, job, now)


def _is_placed_at(job: Job, target: Target, index: int, attempt: int) -> bool:
    if job.answer is not None or job.states[index] != TaskState.PLACED:
        return False
    placement = job.placements[index]
    same_process = placement.agent == target.name and placement.incarnation == target.incarnation
    return same_process and job.attempts[index] == attempt


def _update_estimates(dispatcher: Dispatcher, target: Target, job: Job, done: TaskDone) -> None:
    mean = find_mean_run_time(dispatcher.estimates, job.submission)
    if mean is not None:
        update_slowness(target, done.run_seconds / max(mean, 1e-6))
    normalized_seconds = done.run_seconds / max(target.slowness, 1e-6)
    learn_run_time(dispatcher.estimates, job.submission, done.index, normalized_seconds)


def _handle_task_failure(
    dispatcher: Dispatcher, job: Job, index: int, attempt: int, payload: bytes, now: float
) -> None:
    if job.submission.tasks[index].idempotent and attempt < MAX_FAILED_ATTEMPTS:
        count(dispatcher, "tasks_failed_retried")
        abandon_attempt(dispatcher, job, index, attempt, now)
    elif fail_task(job, index, attempt):
        detail = f"task {index} failed: {payload[:200].decode(errors='replace')}"
        fail_and_answer(dispatcher, job, Reason.TASK_FAILED, detail, now)


def complete_and_answer(dispatcher: Dispatcher, job: Job, now: float) -> None:
    """Answers the listeners of a job once all its tasks are done."""
    answer = complete_job(job)
    if answer is not None:
        count(dispatcher, "jobs_completed")
        _answer_listeners(dispatcher, job, answer, now)


def _answer_listeners(dispatcher: Dispatcher, job: Job, answer: Answer, now: float) -> None:
    listeners, job.listeners = job.listeners, set()
    team, task_class = job.key.team, job.submission.task_class.name.lower()
    dispatcher.observe("job_seconds", now - job.admitted_at, team, task_class)
    deliver_answer(dispatcher, answer, listeners, now)
