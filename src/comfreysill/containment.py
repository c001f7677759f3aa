"""Containment of unexpected errors: an error in one message costs that message, not the process.

A state task carries out what restores its state after a failed message, such as closing the session
that the message came from. An error outside a message, or failures without end, mean that the state
itself may be wrong: the process then exits, and a new one starts with a clean state.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Any

logger = logging.getLogger(__name__)

Handler = Callable[[Any, Any, float], None]

# Consecutive messages that may fail before the error is passed on.
MAX_CONSECUTIVE_FAILURES = 20


class MessageFailures:
    """Counts messages whose handling has failed.

    Attributes:
        total: Number of failed messages.
        consecutive: Number of them since the last message that was handled.
    """

    __slots__ = ("total", "consecutive")

    def __init__(self) -> None:
        self.total = 0
        self.consecutive = 0


def handle_contained(
    actor: Any,
    message: object,
    now: float,
    handlers: Mapping[type, Handler],
    containment: Mapping[type, Handler],
) -> None:
    """Processes a message; an error costs the request or session that the message belongs to.

    Args:
        actor: Owner of the state, which has `failures`.
        message: The message.
        now: Boot-clock time in seconds.
        handlers: Functions that process messages, by type of message.
        containment: Functions that restore the state after a failed message, by its type.

    Raises:
        Exception: The message has no containment, or too many messages have failed in a row.
    """
    try:
        handlers[type(message)](actor, message, now)
    except Exception as error:
        _record_failure(actor.failures, message, error)
        contain = containment.get(type(message))
        if contain is None:
            raise
        contain(actor, message, now)
    else:
        actor.failures.consecutive = 0


def contain_nothing(actor: Any, message: object, now: float) -> None:
    """Containment of messages that change nothing that could be left half changed."""


def _record_failure(failures: MessageFailures, message: object, error: Exception) -> None:
    failures.total += 1
    failures.consecutive += 1
    fields = {"message": type(message).__name__, "consecutive": failures.consecutive}
    logger.error("handling a message failed", exc_info=error, extra={"fields": fields})
    if failures.consecutive >= MAX_CONSECUTIVE_FAILURES:
        raise error
