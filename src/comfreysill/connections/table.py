"""All connections of clients of a process: how many there may be, and what they hold together."""

from collections import deque
from collections.abc import Callable

from comfreysill.connections.limits import ConnectionLimits, ProcessLimits
from comfreysill.connections.reading import Phase, Reading, is_large
from comfreysill.connections.reasons import Reason


class Connection:
    """A connection of a client.

    Attributes:
        number: Rises by one with each connection of the process.
        reading: What it has received of its current message.
        unanswered: Number of complete heads whose answers aren't sent yet.
        ahead_bytes: Sizes of the bodies of complete requests that wait for earlier ones.
        is_unread: Whether its client has left so many answers unread that no more are sent.
        held_bytes: Bytes that it holds of messages that are being received, and of answers that
            wait to be read.
        waits_since: Number of the event of the table at which its last message began, or at which
            its last request was answered.
        seen_transitions: Transitions of `reading` when its deadline was set.
        deadline: Time in seconds at which its current phase has to be over, on the clock of the
            caller of `find_overdue`.
        close: Refuses and closes it.
    """

    __slots__ = (
        "number",
        "reading",
        "unanswered",
        "ahead_bytes",
        "is_unread",
        "held_bytes",
        "waits_since",
        "seen_transitions",
        "deadline",
        "close",
    )

    def __init__(self, *, number: int, close: Callable[[Reason], None]) -> None:
        self.number = number
        self.reading = Reading()
        self.unanswered = 0
        self.ahead_bytes: deque[int] = deque()
        self.is_unread = False
        self.held_bytes = 0
        self.waits_since = number
        self.seen_transitions = -1
        self.deadline = 0.0
        self.close = close


class ConnectionTable:
    """Connections of a process.

    Attributes:
        limits: Limits of all connections together.
        connections: Open connections.
        held_bytes: Sum of what they hold.
        events: Number of connections, begins of messages and answers so far, which orders them.
        counters: Number of closed connections by reason.
    """

    __slots__ = ("limits", "connections", "held_bytes", "events", "counters")

    def __init__(self, *, limits: ProcessLimits) -> None:
        self.limits = limits
        self.connections: set[Connection] = set()
        self.held_bytes = 0
        self.events = 0
        self.counters: dict[Reason, int] = {}


def add_connection(table: ConnectionTable, close: Callable[[Reason], None]) -> Connection:
    """Adds a connection that was accepted; `close` refuses and closes it."""
    table.events += 1
    connection = Connection(number=table.events, close=close)
    table.connections.add(connection)
    return connection


def remove_connection(table: ConnectionTable, connection: Connection) -> None:
    """Removes a connection that was closed."""
    table.connections.discard(connection)
    table.held_bytes -= connection.held_bytes
    connection.held_bytes = 0
    # It refers to its owner, which would stay until the garbage collector finds both.
    connection.close = _close_nothing


def _close_nothing(reason: Reason) -> None:
    """Stands in for `close` once a connection is closed."""


def note_begin(table: ConnectionTable, connection: Connection) -> None:
    """Records that a message has just begun, or a request was answered."""
    table.events += 1
    connection.waits_since = table.events


def set_held_bytes(table: ConnectionTable, connection: Connection, held_bytes: int) -> None:
    """Records what a connection holds."""
    table.held_bytes += held_bytes - connection.held_bytes
    connection.held_bytes = held_bytes


def record_reason(table: ConnectionTable, reason: Reason) -> None:
    """Counts a connection that is closed."""
    table.counters[reason] = table.counters.get(reason, 0) + 1


def find_surplus(table: ConnectionTable) -> Connection | None:
    """Returns a connection to close while there are too many, None if there aren't.

    It is the one that has been without a complete request for the longest time. Before it come
    those that were refused and those whose clients leave answers unread, then those that send large
    messages or requests ahead. Others that wait for their answers are kept.
    """
    if len(table.connections) <= table.limits.connections:
        return None
    candidates = [
        connection
        for connection in table.connections
        if connection.is_unread or _count_whole(connection) != 1
    ]
    return min(candidates, key=_rank, default=None)


def _rank(connection: Connection) -> tuple[int, int]:
    reading = connection.reading
    if connection.is_unread or reading.phase is Phase.DISCARDING:
        return 0, connection.waits_since
    is_greedy = _count_whole(connection) > 1 or is_large(reading)
    return 1 if is_greedy else 2, connection.waits_since


def _count_whole(connection: Connection) -> int:
    """Returns the number of complete requests that wait for their answers."""
    return connection.unanswered - (connection.reading.phase is Phase.BODY)


def find_dearest(table: ConnectionTable) -> Connection | None:
    """Returns the connection that holds most while all hold too much, None if they don't."""
    if table.held_bytes <= table.limits.held_bytes:
        return None
    return max(table.connections, key=lambda connection: connection.held_bytes, default=None)


def find_overdue(connection: Connection, limits: ConnectionLimits, now: float) -> Reason | None:
    """Returns why a connection has to be closed at `now`, in seconds, None if it hasn't.

    A deadline is set by the first call after a change of the phase.
    """
    reading = connection.reading
    if connection.seen_transitions != reading.transitions:
        connection.seen_transitions = reading.transitions
        connection.deadline = now + _find_allowed_seconds(reading, limits)
        return None
    if now < connection.deadline or (reading.phase == Phase.BETWEEN and connection.unanswered):
        return None
    return REASON_BY_PHASE[reading.phase]


REASON_BY_PHASE = {
    Phase.BETWEEN: Reason.IDLE_SECONDS,
    Phase.HEAD: Reason.HEAD_SECONDS,
    Phase.BODY: Reason.BODY_SECONDS,
    Phase.DISCARDING: Reason.DISCARDED,
}


def _find_allowed_seconds(reading: Reading, limits: ConnectionLimits) -> float:
    return {
        Phase.BETWEEN: limits.idle_seconds,
        Phase.HEAD: limits.head_seconds,
        Phase.BODY: limits.body_seconds,
        Phase.DISCARDING: limits.discarding_seconds,
    }[reading.phase]
