"""Unanswered submissions at the entry that accepted them from callers."""

from comfreysill.dispatch.state import Dispatcher, answer_caller, count
from comfreysill.job.types import Answer, JobKey


def resolve_submission(dispatcher: Dispatcher, answer: Answer, sender: str) -> None:
    """Answers all callers that wait for a job at this entry.

    Args:
        dispatcher: The entry.
        answer: The answer.
        sender: Entry that sent the answer; the answer is ignored unless the submission is assigned
            to the sender.
    """
    pending = dispatcher.pending_submissions.get(answer.key)
    if pending is None or pending.assigned_to != sender:
        count(dispatcher, "answers_unawaited")
        return
    del dispatcher.pending_submissions[answer.key]
    for caller in pending.callers:
        answer_caller(dispatcher, caller, answer)


def drop_caller(dispatcher: Dispatcher, key: JobKey, caller: int) -> None:
    """Removes a caller that no longer waits for the answer; the job continues."""
    pending = dispatcher.pending_submissions.get(key)
    if pending is not None and caller in pending.callers:
        pending.callers.remove(caller)
