"""Retry budget: limits the extra load that retries put on failing targets."""

from typing import Protocol

MAX_TOKENS = 100.0
TOKENS_PER_SUCCESS = 0.1
TOKENS_PER_SECOND = 5.0


class RetryBudget:
    """Token bucket: each retry costs a token; successes and elapsed time refill it.

    Attributes:
        tokens: Remaining tokens, from -`MAX_TOKENS` to `MAX_TOKENS`; below 0 no task is retried.
        updated_at: Unix time in seconds of the last refill by elapsed time, 0 before the first.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS
        self.updated_at = 0.0


class HasRetryBudget(Protocol):
    """An object that holds a retry budget."""

    retry_budget: RetryBudget


def spend_retry(holder: HasRetryBudget) -> None:
    """Deducts a token for a retried task."""
    holder.retry_budget.tokens = max(holder.retry_budget.tokens - 1.0, -MAX_TOKENS)


def earn_retry(holder: HasRetryBudget) -> None:
    """Adds a part of a token for a completed task."""
    holder.retry_budget.tokens = min(holder.retry_budget.tokens + TOKENS_PER_SUCCESS, MAX_TOKENS)


def allows_retry(holder: HasRetryBudget, now: float) -> bool:
    """Refills the budget for elapsed time and returns whether tasks may be retried."""
    budget = holder.retry_budget
    if budget.updated_at:
        earned = max(0.0, now - budget.updated_at) * TOKENS_PER_SECOND
        budget.tokens = min(budget.tokens + earned, MAX_TOKENS)
    budget.updated_at = now
    return budget.tokens >= 0
