"""Which entries had a request, from when to when, and why two of them had it at once."""

from collections.abc import Iterable

from comfreysill.request_trace.records import Record

# A request that was read later than this after it was sent, or after its connection was accepted,
# was held up.
MIN_DELAY_SECONDS = 0.25
DEPARTURE_EVENTS = frozenset(
    {
        "request cancelled: its last caller disconnected",
        "request goes on for another entry",
        "caller disconnected",
        "caller disconnected after its verdict",
    }
)


RUN_EVENTS = frozenset({"task rescheduled", "task failed", "run ended early"})


class Holding:
    """One acceptance of a request by an entry, and what became of it there.

    Attributes:
        entry: Name of the entry.
        accepted_at: Unix time in seconds at which it accepted the request.
        unread: Time in seconds for which the request may have lain unread, None if not logged.
        connection: Time in seconds from the connection to the first byte of the request, 0 if not
            logged or if the connection has carried an earlier request.
        retry: Time in seconds from a broken connection until callers send again, 0 if not logged.
        placed_at: Unix time in seconds at which its first tasks were placed, None before.
        agents: Names of the agents where tasks were placed, in order.
        left_at: Unix time in seconds at which the entry last saw a caller leave, None if it saw
            none.
        ended_at: Unix time in seconds at which the request ended there, None if that isn't logged.
        verdict: Verdict that was logged, empty if none.
        known_until: Unix time in seconds of the last record of it, including the ends of runs that
            were stopped.
    """

    __slots__ = (
        "entry",
        "accepted_at",
        "unread",
        "connection",
        "retry",
        "placed_at",
        "agents",
        "left_at",
        "ended_at",
        "verdict",
        "known_until",
    )

    def __init__(
        self,
        *,
        entry: str,
        accepted_at: float,
        unread: float | None,
        connection: float,
        retry: float,
    ) -> None:
        self.entry = entry
        self.accepted_at = accepted_at
        self.unread = unread
        self.connection = connection
        self.retry = retry
        self.placed_at: float | None = None
        self.agents: list[str] = []
        self.left_at: float | None = None
        self.ended_at: float | None = None
        self.verdict = ""
        self.known_until = accepted_at


def build_holdings(related: Iterable[Record]) -> list[Holding]:
    """Returns the holdings of a request in order of their acceptance.

    Args:
        related: Records that name the request or one of its tasks, ordered by time.
    """
    holdings = []
    newest: dict[str, Holding] = {}
    for record in related:
        if record.event == "request accepted":
            newest[record.process] = _begin_holding(record)
            holdings.append(newest[record.process])
            continue
        holding = newest.get(find_entry(record) or record.process)
        if holding is not None:
            _add_record(holding, record)
    return holdings


def find_entry(record: Record) -> str:
    """Returns the name of the entry that a record of an agent names, empty if it names none."""
    return str(record.fields.get("entry", "")).partition("@")[0]


def _begin_holding(record: Record) -> Holding:
    return Holding(
        entry=record.process,
        accepted_at=record.time,
        unread=_read_seconds(record, "unread") if "unread" in record.fields else None,
        connection=_read_seconds(record, "connection"),
        retry=_read_seconds(record, "retry"),
    )


def _read_seconds(record: Record, name: str) -> float:
    value = record.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _add_record(holding: Holding, record: Record) -> None:
    if record.event == "tasks placed":
        if holding.placed_at is None:
            holding.placed_at = record.time
        agent = str(record.fields.get("agent"))
        if agent not in holding.agents:
            holding.agents.append(agent)
    elif record.event in DEPARTURE_EVENTS:
        holding.left_at = record.time
    elif record.event == "request ended":
        holding.ended_at = record.time
        holding.verdict = str(record.fields.get("verdict", ""))
    elif record.event not in RUN_EVENTS:
        return
    if record.event != "caller disconnected after its verdict":
        holding.known_until = record.time


def find_simultaneous(holdings: list[Holding]) -> tuple[Holding, Holding] | None:
    """Returns the first two holdings that had tasks placed at once.

    They are of different entries: records of an entry belong to its newest holding.
    """
    for number, second in enumerate(holdings):
        for first in holdings[:number]:
            if measure_overlap(first, second) > 0:
                return first, second
    return None


def measure_overlap(first: Holding, second: Holding) -> float:
    """Returns for how many seconds two holdings had tasks placed at once, negative if never."""
    if first.placed_at is None or second.placed_at is None:
        return -1.0
    begins_at = max(first.placed_at, second.placed_at)
    return min(first.known_until, second.known_until) - begins_at


def explain_simultaneous(related: list[Record], context: list[Record]) -> str:
    """Returns which entries had the request at once, and what shows how that came; else empty."""
    pair = find_simultaneous(build_holdings(related))
    if pair is None:
        return ""
    first, second = pair
    signs = _find_pauses(pair, context) + _find_delays(pair)
    if not signs and first.unread is None:
        signs = ["the logs don't tell how old it was when it was read"]
    elif not signs:
        signs = ["no sign of a pause or a delay: its caller's connection may have broken unseen"]
    return (
        f"{first.entry} and {second.entry} had the request at once, "
        f"for {measure_overlap(first, second):.3f} s, accepted "
        f"{second.accepted_at - first.accepted_at:.3f} s apart; "
        + "; ".join([*signs, *_describe_departures(first, second)])
    )


def _find_pauses(pair: tuple[Holding, Holding], context: list[Record]) -> list[str]:
    signs = []
    until = min(holding.known_until for holding in pair)
    for holding in pair:
        if holding.unread is not None and holding.unread >= MIN_DELAY_SECONDS:
            signs.append(
                f"{holding.entry} may have read it {holding.unread:.3f} s after it was sent"
            )
        pauses = [
            _read_seconds(record, "seconds")
            for record in context
            if record.event == "entry was suspended or busy"
            and record.process == holding.entry
            and record.time - _read_seconds(record, "seconds") <= until
        ]
        if pauses:
            signs.append(f"{holding.entry} was suspended or busy for {max(pauses):.3f} s")
    return signs


def _find_delays(pair: tuple[Holding, Holding]) -> list[str]:
    first, second = pair
    signs = [
        f"its connection to {holding.entry} was open for {holding.connection:.3f} s before it came"
        for holding in pair
        if holding.connection >= MIN_DELAY_SECONDS
    ]
    retry_seconds = max(first.retry, second.retry)
    if second.accepted_at - first.accepted_at < retry_seconds:
        signs.append(
            f"callers send again after {retry_seconds:.3f} s: it came late to one of the two"
        )
    return signs


def _describe_departures(first: Holding, second: Holding) -> list[str]:
    departures = [f"{first.entry} never saw its caller leave"]
    if first.left_at is not None:
        seconds = first.left_at - second.accepted_at
        order = "after" if seconds >= 0 else "before"
        departures = [
            f"{first.entry} saw its caller leave {abs(seconds):.3f} s {order} {second.entry} "
            "accepted"
        ]
    if second.left_at is not None:
        seconds = second.left_at - second.accepted_at
        departures.append(f"{second.entry} saw its caller leave {seconds:.3f} s after it accepted")
    return departures


def describe_holding(holding: Holding, start_time: float) -> str:
    """Formats a holding as one line, with times in seconds since `start_time`."""
    parts = [
        f"{holding.entry} accepted it at {holding.accepted_at - start_time:+.3f}",
        f"connection open {holding.connection:.3f} s",
    ]
    if holding.unread is not None:
        parts.append(f"unread {holding.unread:.3f} s")
    if holding.placed_at is not None:
        parts.append(
            f"placed at {holding.placed_at - start_time:+.3f} on {', '.join(holding.agents)}"
        )
    if holding.left_at is not None:
        parts.append(f"caller left at {holding.left_at - start_time:+.3f}")
    if holding.ended_at is None:
        parts.append("no end logged")
    else:
        parts.append(f"{holding.verdict} at {holding.ended_at - start_time:+.3f}")
    return "; ".join([*parts, f"last known of at {holding.known_until - start_time:+.3f}"])


def build_document(holding: Holding) -> dict[str, object]:
    """Returns a holding as a document for JSON output."""
    return {name: getattr(holding, name) for name in Holding.__slots__}
