"""Submissions at the entry that took them from callers, until they are answered."""

from comfreysill.dispatch.state import Dispatcher, answer_caller, count
from comfreysill.job.types import Answer, JobKey


def resolve_submission(dispatcher: Dispatcher, answer: Answer, sender: str) -> None:
    """Gives all callers that wait for a job its answer.

    Args:
        dispatcher: The entry.
        answer: The answer.
        sender: Entry that gave the answer; only the one that has the submission counts.
    """
    receipt = dispatcher.pending_submissions.get(answer.key)
    if receipt is None or receipt.sent_to != sender:
        count(dispatcher, "answers_unawaited")
        return
    del dispatcher.pending_submissions[answer.key]
    for caller in receipt.callers:
        answer_caller(dispatcher, caller, answer)


def drop_caller(dispatcher: Dispatcher, key: JobKey, caller: int) -> None:
    """Forgets a caller that no longer waits; the job goes on."""
    receipt = dispatcher.pending_submissions.get(key)
    if receipt is not None and caller in receipt.callers:
        receipt.callers.remove(caller)
