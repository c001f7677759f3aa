"""Cancellation of single jobs, and of all jobs of a team or class (a wave)."""

from comfreysill.dispatch.jobs import cancel_job, fail_and_answer
from comfreysill.dispatch.messages import CancelJob, CancelWave
from comfreysill.dispatch.ownership import find_assigned_entry
from comfreysill.dispatch.state import Dispatcher, count
from comfreysill.job.types import JobKey, Reason, TaskClass
from comfreysill.partition.hashing import find_partition


def request_cancel(dispatcher: Dispatcher, key: JobKey, now: float) -> None:
    """Cancels a job, or forwards the request to the entry that its partition is assigned to.

    Without a live entry the request is dropped.
    """
    assigned_entry = find_assigned_entry(dispatcher, find_partition(key), now)
    if assigned_entry == dispatcher.name:
        cancel_job(dispatcher, key, now)
    elif assigned_entry is not None:
        dispatcher.peers[assigned_entry].outbox.append(CancelJob(key=key))


def request_wave(
    dispatcher: Dispatcher, team: str, task_class: TaskClass | None, now: float
) -> int:
    """Cancels all jobs of a team, or those of one class, at all entries.

    Returns:
        Number of jobs cancelled at this entry.
    """
    wave = CancelWave(team=team, task_class=task_class)
    for peer in dispatcher.peers.values():
        peer.outbox.append(wave)
    return cancel_wave(dispatcher, wave, now)


def cancel_wave(dispatcher: Dispatcher, wave: CancelWave, now: float) -> int:
    """Cancels the jobs of a wave that this entry owns.

    Pending tasks are dropped with their job. An agent gets one message for each job with tasks at
    it, and all of these messages in one frame.

    Returns:
        Number of jobs cancelled.
    """
    jobs = [
        job
        for owned_partition in dispatcher.owned_partitions.values()
        for job in owned_partition.jobs.values()
        if job.answer is None
        and job.key.team == wave.team
        and wave.task_class in (None, job.submission.task_class)
    ]
    for job in jobs:
        fail_and_answer(dispatcher, job, Reason.CANCELLED, "the job was cancelled", now)
    count(dispatcher, "jobs_cancelled_in_waves", len(jobs))
    return len(jobs)
