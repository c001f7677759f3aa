"""Routing of submissions from the caller's entry to the owner of their partition."""

from comfreysill.dispatch.admission import accept_submission
from comfreysill.dispatch.messages import Forward, NotOwner
from comfreysill.dispatch.ownership import find_owner
from comfreysill.dispatch.state import (
    REROUTE_SECONDS,
    Dispatcher,
    PendingSubmission,
    answer_caller,
    count,
)
from comfreysill.dispatch.submissions import resolve_submission
from comfreysill.job.types import Answer, JobKey, Reason, Submission, Verdict
from comfreysill.partition.hashing import find_partition

ANSWER_GRACE_SECONDS = 1.0


def submit_job(dispatcher: Dispatcher, caller: int, submission: Submission, now: float) -> None:
    """Accepts a submission from a caller that waits for the answer.

    An entry that has just started and can't determine an owner yet holds the submission.
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
    """Sends a submission to the entry that owns its partition."""
    submission = pending.submission
    owner = find_owner(dispatcher, find_partition(submission.key), now)
    pending.sent_at = now
    pending.sent_to = ""
    if owner is None:
        return
    if owner == dispatcher.name:
        pending.sent_to = owner
        if not accept_submission(dispatcher, submission, owner, now):
            pending.sent_to = ""
        return
    peer = dispatcher.peers[owner]
    if peer.connected:
        pending.sent_to = owner
        count(dispatcher, "forwards_sent")
        peer.outbox.append(Forward(submission=submission))


def reroute_submissions(dispatcher: Dispatcher, now: float) -> None:
    """Reroutes submissions whose owner has changed, and expires those past their deadline."""
    for pending in list(dispatcher.pending_submissions.values()):
        if now > pending.submission.deadline + ANSWER_GRACE_SECONDS:
            _expire_submission(dispatcher, pending)
            continue
        owner = find_owner(dispatcher, find_partition(pending.submission.key), now)
        reroute_due = now - pending.sent_at >= REROUTE_SECONDS
        if reroute_due and (not pending.sent_to or owner != pending.sent_to):
            count(dispatcher, "reroutes")
            route_submission(dispatcher, pending, now)


def unassign_owner(dispatcher: Dispatcher, owner: str, now: float) -> None:
    """Marks submissions sent to an entry that has lost them for rerouting."""
    for pending in dispatcher.pending_submissions.values():
        if pending.sent_to == owner:
            pending.sent_to = ""
            pending.sent_at = now


def unassign_partition(dispatcher: Dispatcher, partition: int, now: float) -> None:
    """Marks submissions of a partition that this entry has lost for rerouting."""
    for pending in dispatcher.pending_submissions.values():
        if pending.sent_to != dispatcher.name:
            continue
        if find_partition(pending.submission.key) == partition:
            pending.sent_to = ""
            pending.sent_at = now


def receive_forward(
    dispatcher: Dispatcher, sender: str, submission: Submission, now: float
) -> None:
    """Admits a forwarded submission, or replies that this entry isn't the owner."""
    if not accept_submission(dispatcher, submission, sender, now):
        dispatcher.peers[sender].outbox.append(NotOwner(key=submission.key))


def receive_not_owner(dispatcher: Dispatcher, sender: str, key: JobKey, now: float) -> None:
    """Marks a submission that another entry did not accept for rerouting."""
    pending = dispatcher.pending_submissions.get(key)
    if pending is not None and pending.sent_to == sender:
        pending.sent_to = ""
        pending.sent_at = now


def _expire_submission(dispatcher: Dispatcher, pending: PendingSubmission) -> None:
    answer = Answer(
        key=pending.submission.key,
        complete=False,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.EXPIRED,
        detail="the deadline passed and the owner of the job gave no answer",
    )
    pending.sent_to = dispatcher.name
    count(dispatcher, "receipts_given_up")
    resolve_submission(dispatcher, answer, dispatcher.name)
