"""Budget of retries: a floor that fails is not loaded with more and more attempts."""

from typing import Protocol

BUDGET = 100.0
EARNED_BY_SUCCESS = 0.1
EARNED_IN_A_SECOND = 5.0


class RetryBudget:
    """Tokens: each retry takes one, successes and time give some back.

    Attributes:
        tokens: Tokens left; below 0 no task is sent out again.
        updated_at: Unix time in seconds at which time last gave tokens.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self) -> None:
        self.tokens = BUDGET
        self.updated_at = 0.0


class HasBudget(Protocol):
    """Whatever owns a budget."""

    retries: RetryBudget


def spend_retry(owner: HasBudget) -> None:
    """Takes a token for a task that is sent out again."""
    owner.retries.tokens = max(owner.retries.tokens - 1.0, -BUDGET)


def earn_retry(owner: HasBudget) -> None:
    """Gives a part of a token for a task that was done."""
    owner.retries.tokens = min(owner.retries.tokens + EARNED_BY_SUCCESS, BUDGET)


def allows_retry(owner: HasBudget, now: float) -> bool:
    """Tells whether tasks may be sent out again."""
    budget = owner.retries
    if budget.updated_at:
        earned = max(0.0, now - budget.updated_at) * EARNED_IN_A_SECOND
        budget.tokens = min(budget.tokens + earned, BUDGET)
    budget.updated_at = now
    return budget.tokens >= 0
