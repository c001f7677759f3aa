"""What the servers of a process share to keep their clients within limits."""

import logging

from comfreysill.connections.limits import ConnectionLimits, LinkLimits, ProcessLimits
from comfreysill.connections.reasons import Reason
from comfreysill.connections.table import ConnectionTable
from comfreysill.paced_reading import ReadingTurns

logger = logging.getLogger(__name__)

# Bytes that are read and parsed in one turn of a connection.
READ_BYTES = 16_384
LOG_INTERVAL_SECONDS = 1.0


class ConnectionGuard:
    """What the servers of a process share.

    Attributes:
        limits: Limits of each connection of a client.
        table: All connections of clients.
        link_limits: Limits of each link of another process.
        links: All links of other processes.
        reading_turns: Turns for reading large messages of clients.
        buffer: Buffer for reads, each of which is parsed at once.
        logged: Counters of closed connections at the last log line.
        log_after: Time of the event loop in seconds before which there is no other log line.
    """

    __slots__ = (
        "limits",
        "table",
        "link_limits",
        "links",
        "reading_turns",
        "buffer",
        "logged",
        "log_after",
    )

    def __init__(
        self,
        *,
        limits: ConnectionLimits,
        process_limits: ProcessLimits,
        links_limits: ProcessLimits | None = None,
    ) -> None:
        self.limits = limits
        self.table = ConnectionTable(limits=process_limits)
        self.link_limits = LinkLimits()
        self.links = ConnectionTable(limits=links_limits or process_limits)
        self.reading_turns = ReadingTurns()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.logged: dict[Reason, int] = {}
        self.log_after = 0.0


def collect_connection_counters(guard: ConnectionGuard) -> dict[str, int]:
    """Returns the number of closed connections by the name of its counter."""
    counters = guard.table.counters
    return {f"connections_closed_{reason.value}": count for reason, count in counters.items()}


def log_closed_connections(guard: ConnectionGuard, now: float) -> None:
    """Logs the connections that were closed since the last line, if any, at most once a second.

    Args:
        guard: What the servers of the process share.
        now: Time of the event loop in seconds.
    """
    if now < guard.log_after:
        return
    counters = guard.table.counters
    new = {
        reason.value: count - guard.logged.get(reason, 0)
        for reason, count in counters.items()
        if count != guard.logged.get(reason, 0) and reason != Reason.IDLE_SECONDS
    }
    guard.logged = dict(counters)
    if new:
        guard.log_after = now + LOG_INTERVAL_SECONDS
        logger.warning("connections of clients closed", extra={"fields": new})
