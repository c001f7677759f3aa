"""Containment of unexpected errors: an error in one message costs that message, not the process.

A state task carries out what restores its state after a failed message, such as closing the session
that the message came from. An error outside a message, or failures without end, mean that the state
itself may be wrong: the process then exits, and a new one starts with a clean state.
"""

import logging

logger = logging.getLogger(__name__)

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


def record_handled(failures: MessageFailures) -> None:
    """Records that a message was handled without an error."""
    failures.consecutive = 0


def record_failure(failures: MessageFailures, message: object, error: Exception) -> None:
    """Logs a failed message with the traceback of the error.

    Raises:
        Exception: The error, if too many messages have failed in a row.
    """
    failures.total += 1
    failures.consecutive += 1
    fields = {"message": type(message).__name__, "consecutive": failures.consecutive}
    logger.error("handling a message failed", exc_info=error, extra={"fields": fields})
    if failures.consecutive >= MAX_CONSECUTIVE_FAILURES:
        raise error
