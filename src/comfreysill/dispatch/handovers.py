"""Handover of a partition's jobs from its owner to the next owner."""

from comfreysill.dispatch.admission import recheck_prior_runs
from comfreysill.dispatch.jobs import complete_and_answer, restore_task
from comfreysill.dispatch.messages import HandedJob, HandedTask, Handover
from comfreysill.dispatch.state import Dispatcher, count
from comfreysill.job.job import Job, TaskState
from comfreysill.job.types import JobKey
from comfreysill.partition.owned import (
    OwnedPartition,
    RecoveredAttempt,
    RecoveredJob,
    merge_recovered_attempt,
)
from comfreysill.target.messages import Outcome

JOBS_PER_MESSAGE = 100

# The owner doesn't know whether a placed task has started; `restore_task` treats both alike.
_OUTCOME_BY_STATE = {
    TaskState.PLACED: Outcome.QUEUED,
    TaskState.DONE: Outcome.DONE,
    TaskState.FAILED: Outcome.FAILED,
    TaskState.UNKNOWN: Outcome.LOST,
}


def hand_over(dispatcher: Dispatcher, owned_partition: OwnedPartition, next_owner: str) -> None:
    """Queues the state of a partition's jobs for the next owner.

    Nothing is queued if the partition wasn't open at this entry or no session to the next owner is
    open: the next owner then recovers the jobs from the agents' ledgers.
    """
    peer = dispatcher.peers.get(next_owner)
    if peer is None or not peer.connected or not owned_partition.open:
        return
    # Jobs issued before `known_since` may be in a ledger that was lost or is still unread.
    known_since = owned_partition.lost_at
    if owned_partition.unread_ledgers:
        known_since = max(known_since, owned_partition.former_authority_until)
    jobs = [_pack_job(job) for job in owned_partition.jobs.values()]
    jobs += [
        _pack_recovered_job(key, recovered) for key, recovered in owned_partition.recovered.items()
    ]
    count(dispatcher, "handovers_sent")
    for start in range(0, max(1, len(jobs)), JOBS_PER_MESSAGE):
        peer.outbox.append(
            Handover(
                partition=owned_partition.partition,
                epoch=owned_partition.epoch,
                known_since=known_since,
                jobs=tuple(jobs[start : start + JOBS_PER_MESSAGE]),
                last=start + JOBS_PER_MESSAGE >= len(jobs),
            )
        )


def receive_handover(dispatcher: Dispatcher, handover: Handover, now: float) -> None:
    """Applies a message of a handover, or defers it until this entry claims the partition.

    It is dropped unless its epoch is lower than the one under which this entry claims the
    partition.
    """
    owned_partition = dispatcher.owned_partitions.get(handover.partition)
    if owned_partition is None:
        deferred = dispatcher.handovers.setdefault(handover.partition, [])
        # Messages of a handover under another epoch are dropped.
        deferred[:] = [other for other in deferred if other.epoch == handover.epoch]
        deferred.append(handover)
    elif handover.epoch < owned_partition.epoch:
        _apply_handover(dispatcher, owned_partition, handover, now)


def apply_deferred_handovers(dispatcher: Dispatcher, now: float) -> None:
    """Applies handovers that arrived before this entry claimed their partitions."""
    for partition in list(dispatcher.handovers):
        owned_partition = dispatcher.owned_partitions.get(partition)
        if owned_partition is None:
            continue
        for handover in dispatcher.handovers.pop(partition):
            if handover.epoch < owned_partition.epoch:
                _apply_handover(dispatcher, owned_partition, handover, now)


def _apply_handover(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, handover: Handover, now: float
) -> None:
    highest = dispatcher.epoch_numbers.get(owned_partition.partition, 0)
    dispatcher.epoch_numbers[owned_partition.partition] = max(highest, handover.epoch.number)
    for handed_job in handover.jobs:
        tasks = _list_delivered(owned_partition, handed_job)
        job = owned_partition.jobs.get(handed_job.key)
        if job is not None and job.submission.digest == handed_job.digest:
            _merge_job(dispatcher, job, tasks, now)
            continue
        recovered = owned_partition.recovered.setdefault(
            handed_job.key, RecoveredJob(digest=handed_job.digest)
        )
        for task in tasks:
            merge_recovered_attempt(recovered, task.index, task.task)
    if not handover.last:
        return
    count(dispatcher, "handovers_received")
    owned_partition.handover_epoch = handover.epoch
    owned_partition.handover_covers_from = handover.known_since
    recheck_prior_runs(dispatcher, owned_partition, now)


def _list_delivered(owned_partition: OwnedPartition, handed_job: HandedJob) -> list[HandedTask]:
    """Returns the tasks of a job without those placed at agents whose ledgers are read.

    The ledger shows whether the start arrived; if it didn't, the agent refuses it.
    """
    return [
        item
        for item in handed_job.tasks
        if item.task.outcome != Outcome.QUEUED
        or f"{item.task.agent}|{item.task.incarnation}" not in owned_partition.read_ledgers
    ]


def _merge_job(dispatcher: Dispatcher, job: Job, tasks: list[HandedTask], now: float) -> None:
    for task in tasks:
        restore_task(dispatcher, job, task.index, task.task, now)
    complete_and_answer(dispatcher, job, now)


def _pack_job(job: Job) -> HandedJob:
    tasks = [
        _pack_task(job, index, state)
        for index, state in enumerate(job.states)
        if state != TaskState.PENDING
    ]
    return HandedJob(key=job.key, digest=job.submission.digest, tasks=tuple(tasks))


def _pack_task(job: Job, index: int, state: int) -> HandedTask:
    placement = job.placements[index] if job.placements else None
    results = job.results or (job.answer.results if job.answer else ())
    done = state == TaskState.DONE and bool(results)
    outcome = _OUTCOME_BY_STATE[TaskState(state)]
    # The placements and results of a failed job are discarded, so the outcome of its placed and
    # done tasks is no longer known.
    if not done and placement is None and outcome != Outcome.FAILED:
        outcome = Outcome.LOST
    task = RecoveredAttempt(
        agent=placement.agent if placement else "",
        incarnation=placement.incarnation if placement else "",
        attempt=job.attempts[index],
        outcome=outcome,
        payload=results[index] if done else b"",
    )
    return HandedTask(index=index, task=task)


def _pack_recovered_job(key: JobKey, recovered: RecoveredJob) -> HandedJob:
    tasks = [
        HandedTask(index=index, task=task)
        for index, tasks_at_index in recovered.tasks.items()
        for task in tasks_at_index
    ]
    return HandedJob(key=key, digest=recovered.digest, tasks=tuple(tasks))
