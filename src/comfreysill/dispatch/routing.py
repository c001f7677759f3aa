"""Routing of submissions: from the entry that accepted them to the owner of their partition."""

from comfreysill.dispatch.admission import admit_submission
from comfreysill.dispatch.messages import Forward, NotOwner
from comfreysill.dispatch.ownership import find_assigned_entry
from comfreysill.dispatch.state import (
    REROUTE_INTERVAL_SECONDS,
    Dispatcher,
    PendingSubmission,
    answer_caller,
    count,
)
from comfreysill.dispatch.submissions import resolve_submission
from comfreysill.job.types import Answer, JobKey, Reason, Submission, Verdict
from comfreysill.partition.hashing import find_partition

# Time for the answer that the owner sends at the deadline to arrive.
ANSWER_GRACE_SECONDS = 1.0


def submit_job(dispatcher: Dispatcher, caller: int, submission: Submission, now: float) -> None:
    """Accepts a submission from a caller that waits for the answer.

    A submission that no owner admits yet is kept and rerouted until its deadline.

    Args:
        dispatcher: The entry.
        caller: Number of the caller at this entry.
        submission: The job.
        now: Unix time in seconds.
    """
    pending = dispatcher.pending_submissions.get(submission.key)
    if pending is None:
        pending = dispatcher.pending_submissions[submission.key] = PendingSubmission(
            submission=submission
        )
        pending.callers.append(caller)
        route_submission(dispatcher, pending, now)
    elif pending.submission.digest == submission.digest:
        pending.callers.append(caller)
    else:
        refusal = Answer(
            key=submission.key,
            complete=False,
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.CONFLICT,
            detail="the id is in use for a job of other content",
        )
        answer_caller(dispatcher, caller, refusal)


def route_submission(dispatcher: Dispatcher, pending: PendingSubmission, now: float) -> None:
    """Hands a submission to the entry that its partition is assigned to.

    It stays unassigned if there is no such entry, or no session to it, or if this entry is
    assigned the partition and hasn't claimed it yet.
    """
    submission = pending.submission
    assigned_entry = find_assigned_entry(dispatcher, find_partition(submission.key), now)
    pending.assigned_at = now
    pending.assigned_to = ""
    if assigned_entry is None:
        return
    if assigned_entry == dispatcher.name:
        pending.assigned_to = assigned_entry
        if not admit_submission(dispatcher, submission, assigned_entry, now):
            pending.assigned_to = ""
        return
    peer = dispatcher.peers[assigned_entry]
    if peer.connected:
        pending.assigned_to = assigned_entry
        count(dispatcher, "forwards_sent")
        peer.outbox.append(Forward(submission=submission))


def reroute_submissions(dispatcher: Dispatcher, now: float) -> None:
    """Reroutes submissions that are unassigned or assigned to another entry than they should be.

    Those unanswered `ANSWER_GRACE_SECONDS` after their deadline expire.
    """
    for pending in list(dispatcher.pending_submissions.values()):
        if now > pending.submission.deadline + ANSWER_GRACE_SECONDS:
            _expire_submission(dispatcher, pending)
            continue
        assigned_entry = find_assigned_entry(
            dispatcher, find_partition(pending.submission.key), now
        )
        reroute_due = now - pending.assigned_at >= REROUTE_INTERVAL_SECONDS
        if reroute_due and (not pending.assigned_to or assigned_entry != pending.assigned_to):
            count(dispatcher, "reroutes")
            route_submission(dispatcher, pending, now)


def unassign_from_entry(dispatcher: Dispatcher, entry: str, now: float) -> None:
    """Unassigns the submissions of an entry that may have lost them, so that they are rerouted."""
    for pending in dispatcher.pending_submissions.values():
        if pending.assigned_to == entry:
            pending.assigned_to = ""
            pending.assigned_at = now


def unassign_in_partition(dispatcher: Dispatcher, partition: int, now: float) -> None:
    """Unassigns the submissions of a partition that this entry released, to be rerouted."""
    for pending in dispatcher.pending_submissions.values():
        if pending.assigned_to != dispatcher.name:
            continue
        if find_partition(pending.submission.key) == partition:
            pending.assigned_to = ""
            pending.assigned_at = now


def receive_forward(
    dispatcher: Dispatcher, sender: str, submission: Submission, now: float
) -> None:
    """Admits a forwarded submission, or queues the reply that this entry isn't the owner."""
    if not admit_submission(dispatcher, submission, sender, now):
        dispatcher.peers[sender].outbox.append(NotOwner(key=submission.key))


def receive_not_owner(dispatcher: Dispatcher, sender: str, key: JobKey, now: float) -> None:
    """Unassigns a submission whose partition the sender doesn't own, so that it is rerouted."""
    pending = dispatcher.pending_submissions.get(key)
    if pending is not None and pending.assigned_to == sender:
        pending.assigned_to = ""
        pending.assigned_at = now


def _expire_submission(dispatcher: Dispatcher, pending: PendingSubmission) -> None:
    answer = Answer(
        key=pending.submission.key,
        complete=False,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.EXPIRED,
        detail="the deadline passed and the owner of the job gave no answer",
    )
    # `resolve_submission` accepts an answer only from the assigned entry.
    pending.assigned_to = dispatcher.name
    count(dispatcher, "receipts_given_up")
    resolve_submission(dispatcher, answer, dispatcher.name)
