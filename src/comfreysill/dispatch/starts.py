"""Starts of queued tasks on targets."""

from comfreysill.dispatch.authority import find_authority_end, request_validation
from comfreysill.dispatch.backlog import list_service_targets, track_pending
from comfreysill.dispatch.estimate import estimate_task
from comfreysill.dispatch.ownership import list_live_entries
from comfreysill.dispatch.placement import TaskLimit
from comfreysill.dispatch.queue import ServiceQueue, charge_job, choose_job, has_jobs, push_job
from comfreysill.dispatch.reservations import record_started_work, reserve_slots
from comfreysill.dispatch.retries import allows_retry
from comfreysill.dispatch.state import Dispatcher, count
from comfreysill.floor.document import DEFAULT_WEIGHT
from comfreysill.job.job import Job, place_task
from comfreysill.job.types import TaskClass
from comfreysill.partition.owned import OwnedPartition
from comfreysill.target.messages import StartBatch, TaskStart
from comfreysill.target.view import (
    PROBE_INTERVAL_SECONDS,
    Target,
    count_busy,
    count_free,
    count_urgent,
)

MAX_EJECTED_SHARE = 1 / 3
URGENT_QUEUE_SHARE = 1.0


def start_tasks(dispatcher: Dispatcher, now: float) -> None:
    """Queues start messages for waiting tasks of all services while targets have room for them."""
    for service, queue in dispatcher.queues.items():
        targets = _list_available_targets(dispatcher, service, now)
        _start_queued_jobs(dispatcher, queue, targets, now)


def needs_load_report(dispatcher: Dispatcher, target: Target) -> bool:
    """Returns whether jobs wait for a target that is draining or has no slot or queue room left."""
    if not target.handshake_done or count_free(target, dispatcher.floor.queue_share) > 0:
        return False
    services = target.registration.services
    return any(
        service in services and has_jobs(queue) for service, queue in dispatcher.queues.items()
    )


def _list_available_targets(dispatcher: Dispatcher, service: str, now: float) -> list[Target]:
    serving = list_service_targets(dispatcher, service)
    ejected = sorted((t for t in serving if t.probe_at), key=_get_failures, reverse=True)
    ejected_names = {target.name for target in ejected[: int(len(serving) * MAX_EJECTED_SHARE)]}
    return [
        target
        for target in serving
        if (target.name not in ejected_names or target.probe_at <= now)
        and count_free(target, _find_max_queue_share(dispatcher)) > 0
    ]


def _find_max_queue_share(dispatcher: Dispatcher) -> float:
    return max(URGENT_QUEUE_SHARE, dispatcher.floor.queue_share)


def _get_failures(target: Target) -> int:
    return target.failures


def _start_queued_jobs(
    dispatcher: Dispatcher, queue: ServiceQueue, targets: list[Target], now: float
) -> None:
    skipped = []
    blocked_classes: set[TaskClass] = set()
    while targets:
        job = choose_job(queue, blocked_classes)
        if job is None:
            break
        owned_partition = dispatcher.owned_partitions.get(job.partition)
        if not _start_job(dispatcher, queue, job, owned_partition, targets, now):
            # A job without retry tokens or without a target that granted its partition is passed
            # over. Otherwise the whole class is skipped for the rest of this call.
            if job.retries and dispatcher.retry_budget.tokens < 0:
                skipped.append(_remove_from_queue(queue, job))
            elif owned_partition is not None and _has_granting_target(owned_partition, targets):
                blocked_classes.add(job.submission.task_class)
            else:
                skipped.append(_remove_from_queue(queue, job))
        queue_share = _find_max_queue_share(dispatcher)
        targets = [target for target in targets if count_free(target, queue_share) > 0]
    for job in skipped:
        if job.answer is None:
            job.queued = True
            push_job(queue, job, job.due)


def _has_granting_target(owned_partition: OwnedPartition, targets: list[Target]) -> bool:
    return owned_partition.open and any(
        target.name in owned_partition.granted_in_session for target in targets
    )


def _remove_from_queue(queue: ServiceQueue, job: Job) -> Job:
    team = queue.classes[job.submission.task_class].teams[job.key.team]
    team.jobs = [item for item in team.jobs if item[2] is not job]
    team.jobs.sort()
    job.queued = False
    return job


def _start_job(
    dispatcher: Dispatcher,
    queue: ServiceQueue,
    job: Job,
    owned_partition: OwnedPartition | None,
    targets: list[Target],
    now: float,
) -> bool:
    if owned_partition is None or not owned_partition.open:
        return False
    if job.retries and not allows_retry(dispatcher, now):
        count(dispatcher, "retries_delayed")
        return False
    authority_end = find_authority_end(dispatcher, owned_partition)
    if authority_end <= now:
        request_validation(dispatcher, now)
        return False
    candidates = [target for target in targets if target.name in owned_partition.granted_in_session]
    estimate = estimate_task(dispatcher.estimates, job.submission, job.pending[0])
    find_task_limit = _build_task_limit(dispatcher, job, now)
    started = 0
    for target, amount in dispatcher.place(candidates, len(job.pending), estimate, find_task_limit):
        if target.probe_at:
            target.probe_at = now + PROBE_INTERVAL_SECONDS
        _send_batch(dispatcher, job, owned_partition, target, amount, authority_end)
        started += amount
    if not started:
        return False
    track_pending(dispatcher, job)
    record_started_work(dispatcher.demand, job.submission.task_class, started * estimate, now)
    team = dispatcher.floor.teams.get(job.key.team)
    weight = team.weight if team is not None else DEFAULT_WEIGHT
    charge_job(queue, job, started * estimate, weight)
    return True


def _build_task_limit(dispatcher: Dispatcher, job: Job, now: float) -> TaskLimit:
    task_class = job.submission.task_class
    serving = [
        target
        for target in dispatcher.targets.values()
        if job.submission.service in target.registration.services
    ]
    entry_count = len(list_live_entries(dispatcher, now))
    waited = now - job.admitted_at
    reserved = reserve_slots(dispatcher.demand, serving, task_class, waited, entry_count, now)
    urgent = task_class == TaskClass.URGENT
    queue_share = _find_max_queue_share(dispatcher) if urgent else dispatcher.floor.queue_share

    def find_task_limit(target: Target) -> int:
        free = count_free(target, queue_share)
        if target.probe_at:
            return min(1, free)
        unused_reserved = reserved.get(target.name, 0) - count_urgent(target, task_class)
        if unused_reserved <= 0:
            return free
        return min(free, target.load.slots - unused_reserved - count_busy(target))

    return find_task_limit


def _send_batch(
    dispatcher: Dispatcher,
    job: Job,
    owned_partition: OwnedPartition,
    target: Target,
    amount: int,
    authority_end: float,
) -> None:
    submission = job.submission
    starts = [_place_next_task(job, target) for _ in range(amount)]
    target.unreported[submission.task_class] += amount
    count(dispatcher, "starts_sent", amount)
    count(dispatcher, "batches_sent")
    target.outbox.append(
        StartBatch(
            key=submission.key,
            digest=submission.digest,
            partition=job.partition,
            epoch=owned_partition.epoch,
            authority_until=authority_end,
            task_class=submission.task_class,
            deadline=submission.deadline,
            expires_at=job.expires_at,
            service=submission.service,
            tasks=tuple(starts),
        )
    )


def _place_next_task(job: Job, target: Target) -> TaskStart:
    index = job.pending.popleft()
    task = job.submission.tasks[index]
    attempt = place_task(job, index, target.name, target.incarnation)
    return TaskStart(
        index=index,
        attempt=attempt,
        payload=task.payload,
        run_time=task.run_time,
        idempotent=task.idempotent,
    )
