"""Waits for places near the data: which are open, and how good recent forecasts were."""

import math
from collections.abc import Callable

from comfreysill.waits.decision import Decision, Prospect, choose_wait

# Time constant with which a learned error of forecasts is forgotten.
FORGET_SECONDS = 10.0
# Weight of a new sample.
SAMPLE_WEIGHT = 0.25
MIN_RATIO = 0.25
MAX_RATIO = 4.0
# Shorter forecasts say nothing about the error.
MIN_FORECAST_SECONDS = 0.005
# Records beyond this number push out the one that was updated first.
MAX_RECORDS = 512


class NearWait:
    """A wait of tasks of one step for a place near their data.

    Attributes:
        rack: Label of the rack.
        count: Number of tasks that wait.
        cpu: CPU of each task in thousandths of a core.
        due_at: Boot-clock time in seconds of the request's latency objective.
        priority: Priority of the request, 0 is the highest.
        decided_at: Boot-clock time in seconds of the decision.
        forecast_at: Boot-clock time in seconds at which the last of them should have room, as it
            was forecast before the correction by the learned ratio.
        ends_at: Boot-clock time in seconds from which those that still wait may start anywhere.
        closed: True once it has ended; it is kept so that the step waits again only once it can't
            be on time.
    """

    __slots__ = (
        "rack",
        "count",
        "cpu",
        "due_at",
        "priority",
        "decided_at",
        "forecast_at",
        "ends_at",
        "closed",
    )

    def __init__(
        self,
        *,
        rack: str,
        count: int,
        cpu: int,
        due_at: float,
        priority: int,
        decided_at: float,
        forecast_at: float,
        ends_at: float,
    ) -> None:
        self.rack = rack
        self.count = count
        self.cpu = cpu
        self.due_at = due_at
        self.priority = priority
        self.decided_at = decided_at
        self.forecast_at = forecast_at
        self.ends_at = ends_at
        self.closed = False


class RackRecord:
    """How long waits for a rack at a priority took, against forecasts.

    Attributes:
        ratio: Smoothed ratio of actual to forecast waits.
        updated_at: Boot-clock time in seconds of the last sample.
    """

    __slots__ = ("ratio", "updated_at")

    def __init__(self, *, updated_at: float) -> None:
        self.ratio = 1.0
        self.updated_at = updated_at


class WaitLedger:
    """Waits of one entry.

    Attributes:
        waits: Waits by request id and number of the step.
        records: What was learned, by rack and priority; the one that was updated first comes
            first. Requests of another priority are served before or after these.
        choose: Function that decides; see `choose_wait`.
    """

    __slots__ = ("waits", "records", "choose")

    def __init__(self, *, choose: Callable[[Prospect], Decision] = choose_wait) -> None:
        self.waits: dict[tuple[str, int], NearWait] = {}
        self.records: dict[tuple[str, int], RackRecord] = {}
        self.choose = choose


def list_ahead(ledger: WaitLedger, rack: str, priority: int, due_at: float) -> list[NearWait]:
    """Returns the open waits for a rack that are served before a request."""
    return [
        wait
        for wait in ledger.waits.values()
        if wait.rack == rack
        and not wait.closed
        and (wait.priority, wait.due_at) < (priority, due_at)
    ]


def get_ratio(ledger: WaitLedger, rack: str, priority: int, now: float) -> float:
    """Returns the factor by which forecasts for a rack are corrected; it nears 1 with its age."""
    record = ledger.records.get((rack, priority))
    if record is None:
        return 1.0
    return record.ratio ** math.exp((record.updated_at - now) / FORGET_SECONDS)


def close_wait(ledger: WaitLedger, wait: NearWait, paid: bool, now: float) -> None:
    """Ends a wait, and learns from it how good its forecast was.

    A wait that didn't pay tells only that the true one is longer.
    """
    wait.closed = True
    forecast_seconds = wait.forecast_at - wait.decided_at
    if forecast_seconds < MIN_FORECAST_SECONDS:
        return
    key = (wait.rack, wait.priority)
    known_ratio = get_ratio(ledger, wait.rack, wait.priority, now)
    sample = (now - wait.decided_at) / forecast_seconds
    if not paid:
        sample = max(sample, known_ratio)
    sample = min(max(sample, MIN_RATIO), MAX_RATIO)
    record = ledger.records.pop(key, None) or RackRecord(updated_at=now)
    record.ratio = known_ratio ** (1 - SAMPLE_WEIGHT) * sample**SAMPLE_WEIGHT
    record.updated_at = now
    ledger.records[key] = record
    if len(ledger.records) > MAX_RECORDS:
        del ledger.records[next(iter(ledger.records))]
