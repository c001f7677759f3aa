"""Admission of jobs at the owner of their partition."""

from comfreysill.dispatch.backlog import estimate_min_run_time, estimate_wait, track_pending
from comfreysill.dispatch.delivery import deliver_answer
from comfreysill.dispatch.jobs import (
    complete_and_answer,
    enqueue_job,
    fail_and_answer,
    restore_job,
)
from comfreysill.dispatch.state import (
    CLOCK_SKEW_SECONDS,
    HORIZON_SECONDS,
    RETENTION_SECONDS,
    Dispatcher,
    count,
    push_timer,
)
from comfreysill.job.identity import read_issue_time
from comfreysill.job.job import Job
from comfreysill.job.types import Answer, JobKey, Reason, Submission, Verdict, refuse_job
from comfreysill.partition.hashing import find_partition
from comfreysill.partition.owned import (
    DeferredSubmission,
    OwnedPartition,
    may_be_in_unread_ledger,
    may_be_unrecovered,
)

CALLER_CLOCK_SKEW_SECONDS = 0.5
MIN_RETRY_AFTER_SECONDS = 1.0
RETRYABLE_REASONS = (Reason.QUEUE_FULL, Reason.QUOTA, Reason.NOT_READY)
ISSUE_TIME_MARGIN_SECONDS = CALLER_CLOCK_SKEW_SECONDS + CLOCK_SKEW_SECONDS


def admit_submission(
    dispatcher: Dispatcher, submission: Submission, listener: str, now: float
) -> bool:
    """Admits a submission as the owner of its partition, or defers or refuses it.

    Args:
        dispatcher: The entry.
        submission: The job.
        listener: Name of the entry that waits for the answer.
        now: Unix time in seconds.

    Returns:
        False if this entry neither owns nor claims the partition.
    """
    owned_partition = dispatcher.owned_partitions.get(find_partition(submission.key))
    if owned_partition is None:
        return False
    if not owned_partition.open:
        deferred = owned_partition.deferred.setdefault(
            submission.key, DeferredSubmission(submission=submission)
        )
        if deferred.submission.digest != submission.digest:
            _refuse_conflict(dispatcher, submission.key, Verdict.MAY_HAVE_RUN, listener, now)
        else:
            deferred.listeners.add(listener)
        return True
    job = owned_partition.jobs.get(submission.key)
    if job is None:
        _admit_job(dispatcher, owned_partition, submission, listener, now)
    else:
        _join_job(dispatcher, job, submission, listener, now)
    return True


def admit_deferred_submissions(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, now: float
) -> None:
    """Admits the submissions that were deferred until the end of a takeover."""
    deferred, owned_partition.deferred = owned_partition.deferred, {}
    for item in deferred.values():
        for listener in item.listeners:
            admit_submission(dispatcher, item.submission, listener, now)


def recheck_prior_runs(dispatcher: Dispatcher, owned_partition: OwnedPartition, now: float) -> None:
    """Checks unanswered jobs again whose tasks an earlier owner may have started."""
    for job in list(owned_partition.jobs.values()):
        if job.may_have_prior_runs and job.answer is None:
            _check_prior_runs(dispatcher, owned_partition, job, now)


def _admit_job(
    dispatcher: Dispatcher,
    owned_partition: OwnedPartition,
    submission: Submission,
    listener: str,
    now: float,
) -> None:
    recovered = owned_partition.recovered.pop(submission.key, None)
    if recovered is not None and recovered.digest != submission.digest:
        owned_partition.recovered[submission.key] = recovered
        _refuse_conflict(dispatcher, submission.key, Verdict.MAY_HAVE_RUN, listener, now)
        return
    refusal = None
    if recovered is None:
        refusal = _check_admission(dispatcher, owned_partition, submission, now)
    if refusal is not None:
        count(dispatcher, f"refused_{refusal.reason.name.lower()}")
        deliver_answer(dispatcher, refusal, {listener}, now)
        return
    job = Job(
        submission=submission,
        partition=owned_partition.partition,
        admitted_at=now,
        expires_at=find_expiry(submission),
    )
    job.listeners.add(listener)
    owned_partition.jobs[submission.key] = job
    dispatcher.job_count += 1
    count(dispatcher, "jobs_accepted")
    track_pending(dispatcher, job)
    push_timer(dispatcher, submission.deadline, job)
    push_timer(dispatcher, job.expires_at, job)
    if recovered is not None:
        restore_job(dispatcher, job, recovered, now)
    _check_prior_runs(dispatcher, owned_partition, job, now)
    complete_and_answer(dispatcher, job, now)


def _join_job(
    dispatcher: Dispatcher, job: Job, submission: Submission, listener: str, now: float
) -> None:
    count(dispatcher, "jobs_resubmitted")
    if job.submission.digest != submission.digest:
        verdict = job.answer.verdict if job.answer else Verdict.MAY_HAVE_RUN
        _refuse_conflict(dispatcher, submission.key, verdict, listener, now)
    elif job.answer is not None:
        deliver_answer(dispatcher, job.answer, {listener}, now)
    else:
        job.listeners.add(listener)


def _refuse_conflict(
    dispatcher: Dispatcher, key: JobKey, verdict: Verdict, listener: str, now: float
) -> None:
    answer = Answer(
        key=key,
        complete=False,
        verdict=verdict,
        reason=Reason.CONFLICT,
        detail="the id was used for a job of other content; this submission started nothing",
    )
    count(dispatcher, "refused_conflict")
    deliver_answer(dispatcher, answer, {listener}, now)


def _check_admission(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, submission: Submission, now: float
) -> Answer | None:
    reason = _find_refusal(dispatcher, submission, now)
    if reason is None:
        return None
    retry_at = 0.0
    if reason[0] in RETRYABLE_REASONS:
        retry_at = now + max(
            MIN_RETRY_AFTER_SECONDS, estimate_wait(dispatcher, submission, now) / 2
        )
    refusal = refuse_job(submission.key, reason[0], reason[1], retry_at)
    issued_at = find_earliest_issue(submission)
    past_retention = now >= find_expiry(submission)
    if past_retention or _may_have_prior_runs(owned_partition, issued_at):
        refusal.verdict = Verdict.MAY_HAVE_RUN
    return refusal


def _find_refusal(
    dispatcher: Dispatcher, submission: Submission, now: float
) -> tuple[Reason, str] | None:
    floor = dispatcher.floor
    if submission.deadline <= now:
        return Reason.EXPIRED, "the deadline has passed"
    if submission.deadline > now + HORIZON_SECONDS:
        return Reason.HORIZON, f"the deadline is more than {HORIZON_SECONDS:.0f} s away"
    issued_at = _read_issued_at(submission)
    if issued_at is not None and issued_at > now + CALLER_CLOCK_SKEW_SECONDS:
        return Reason.HORIZON, "the job was issued in the future; check the caller's clock"
    if issued_at is not None and now > issued_at + HORIZON_SECONDS:
        return Reason.EXPIRED, "the job was issued too long ago"
    refusal = _check_team(dispatcher, submission)
    if refusal is not None:
        return refusal
    if len(submission.tasks) > floor.tasks_per_job:
        return Reason.TOO_LARGE, f"a job has at most {floor.tasks_per_job} tasks"
    if not _has_target(dispatcher, submission.service):
        return Reason.NO_TARGET, f"no target runs the service {submission.service!r}"
    exceeds_limit = dispatcher.queued_tasks + len(submission.tasks) > floor.queued_tasks
    if exceeds_limit or dispatcher.job_count >= floor.jobs:
        return Reason.QUEUE_FULL, "the queue is full"
    return _check_time(dispatcher, submission, now)


def _check_time(
    dispatcher: Dispatcher, submission: Submission, now: float
) -> tuple[Reason, str] | None:
    remaining = submission.deadline - now
    min_run_time = estimate_min_run_time(dispatcher, submission)
    if min_run_time > remaining:
        return (
            Reason.UNMEETABLE,
            f"a task takes {min_run_time:.1f} s at least, {remaining:.1f} s are left",
        )
    wait = estimate_wait(dispatcher, submission, now)
    if wait + min_run_time > remaining:
        return Reason.QUEUE_FULL, f"work of {wait:.1f} s waits, {remaining:.1f} s are left"
    return None


def _check_team(dispatcher: Dispatcher, submission: Submission) -> tuple[Reason, str] | None:
    floor = dispatcher.floor
    if not floor.version:
        return Reason.NOT_READY, "no floor document is in force yet"
    team = floor.teams.get(submission.key.team)
    if team is None:
        return Reason.UNKNOWN_TEAM, "the floor document has no such team"
    service = floor.services.get(submission.service)
    if service is None or (team.services and service.name not in team.services):
        return Reason.NO_TARGET, f"the team has no service {submission.service!r}"
    longest = max(task.run_time for task in submission.tasks)
    if service.max_run_time and longest > service.max_run_time:
        return Reason.TOO_LARGE, f"a task may run for {service.max_run_time:g} s at most"
    queued = dispatcher.queued_by_team.get(team.name, 0)
    if team.queued_tasks and queued + len(submission.tasks) > team.queued_tasks:
        return Reason.QUOTA, f"the team may have {team.queued_tasks} tasks waiting"
    return None


def _has_target(dispatcher: Dispatcher, service: str) -> bool:
    return any(service in t.registration.services for t in dispatcher.targets.values())


def find_expiry(submission: Submission) -> float:
    """Returns the Unix time in seconds until which a job is kept for deduplication."""
    issued_at = _read_issued_at(submission)
    last = submission.deadline
    if issued_at is not None:
        last = max(last, issued_at + HORIZON_SECONDS)
    return last + RETENTION_SECONDS


def find_earliest_issue(submission: Submission) -> float:
    """Returns the earliest Unix time in seconds at which a job can have been submitted."""
    issued_at = _read_issued_at(submission)
    if issued_at is not None:
        return issued_at
    return submission.deadline - HORIZON_SECONDS


def _read_issued_at(submission: Submission) -> float | None:
    embedded_time = read_issue_time(submission.key.job_id)
    if embedded_time is not None:
        return embedded_time
    return submission.issued_at or None


def _may_have_prior_runs(owned_partition: OwnedPartition, issued_at: float) -> bool:
    unread = may_be_in_unread_ledger(owned_partition, issued_at, ISSUE_TIME_MARGIN_SECONDS)
    return unread or may_be_unrecovered(owned_partition, issued_at, ISSUE_TIME_MARGIN_SECONDS)


def _check_prior_runs(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, job: Job, now: float
) -> None:
    """Queues a job unless an earlier owner may have run pending tasks that aren't idempotent.

    Such a job is blocked until all ledgers are read or the jobs are handed over; it fails if a
    ledger that may record its tasks is lost, or if the handover doesn't cover it.
    """
    issued_at = find_earliest_issue(job.submission)
    non_idempotent = [index for index in job.pending if not job.submission.tasks[index].idempotent]
    job.may_have_prior_runs = _may_have_prior_runs(owned_partition, issued_at)
    job.blocked_by_prior_runs = job.may_have_prior_runs and bool(non_idempotent)
    if not job.blocked_by_prior_runs:
        enqueue_job(dispatcher, job)
        return
    if may_be_unrecovered(owned_partition, issued_at, ISSUE_TIME_MARGIN_SECONDS):
        fail_and_answer(
            dispatcher, job, Reason.LOST, "an agent that may have run tasks is gone", now
        )
