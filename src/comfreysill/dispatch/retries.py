"""Retry budget: limits the extra load that retries put on failing targets."""

from typing import Protocol

MAX_TOKENS = 100.0
TOKENS_PER_SUCCESS = 0.1
TOKENS_PER_SECOND = 5.0


class RetryBudget:
    """Token bucket: each retry costs a token; successes and elapsed time refill it.

    Attributes:
        tokens: Tokens left; below 0 no task is retried.
        updated_at: Unix time in seconds of the last refill by elapsed time.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS
        self.updated_at = 0.0


class RetryBudgetOwner(Protocol):
    """An object that holds a retry budget."""

    retries: RetryBudget


def spend_retry(owner: RetryBudgetOwner) -> None:
    """Deducts a token for a retried task."""
    owner.retries.tokens = max(owner.retries.tokens - 1.0, -MAX_TOKENS)


def earn_retry(owner: RetryBudgetOwner) -> None:
    """Adds a part of a token for a completed task."""
    owner.retries.tokens = min(owner.retries.tokens + TOKENS_PER_SUCCESS, MAX_TOKENS)


def allows_retry(owner: RetryBudgetOwner, now: float) -> bool:
    """Refills the budget for elapsed time and returns whether tasks may be retried."""
    budget = owner.retries
    if budget.updated_at:
        earned = max(0.0, now - budget.updated_at) * TOKENS_PER_SECOND
        budget.tokens = min(budget.tokens + earned, MAX_TOKENS)
    budget.updated_at = now
    return budget.tokens >= 0
