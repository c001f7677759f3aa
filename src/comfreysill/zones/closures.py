"""What a process knows of closed availability zones, and how it takes in what it reads or is told.

The row of a zone in the store closes it; the version at which the row was written or removed puts
the changes of a zone in order.
"""

from collections.abc import Iterable

# A status of a further zone takes the place of an open one, or isn't kept.
MAX_ZONES = 128
MAX_ZONE_CHARS = 200
# Precedes the rank of each status.
UNKNOWN_RANK = (-1, False)


class ZoneStatus:
    """Whether a zone is closed, as of one version of the store.

    Attributes:
        zone: Name of the availability zone.
        version: Version of the store from which this holds.
        closed: True if no task may be started in the zone.
        since: Boot-clock time in seconds at which this process learned that the zone is closed or
            open, 0 if it hasn't yet.
    """

    __slots__ = ("zone", "version", "closed", "since")

    def __init__(self, *, zone: str, version: int, closed: bool, since: float = 0.0) -> None:
        self.zone = zone
        self.version = version
        self.closed = closed
        self.since = since


class ZoneReading:
    """What was read from the store about zones.

    Attributes:
        version: Version of the store, 0 if it is unknown.
        statuses: Zones whose rows were written or removed.
        undated: Closed zones whose rows don't tell their versions.
        whole: True if a zone that isn't named has no row.
    """

    __slots__ = ("version", "statuses", "undated", "whole")

    def __init__(
        self,
        *,
        version: int,
        statuses: tuple[ZoneStatus, ...],
        undated: tuple[str, ...] = (),
        whole: bool = False,
    ) -> None:
        self.version = version
        self.statuses = statuses
        self.undated = undated
        self.whole = whole


class Closures:
    """The newest known status of each zone, by zone; a value, which no function changes."""

    __slots__ = ("statuses",)

    def __init__(self, *, statuses: dict[str, ZoneStatus]) -> None:
        self.statuses = statuses


NO_CLOSURES = Closures(statuses={})


class ToldZones:
    """What the other side of a session knows of zones.

    Attributes:
        versions: Pairs of the version and whether it is closed, of the statuses that were sent to
            it or came from it, by zone.
        closures: Closures that were compared last, all of which it knows.
    """

    __slots__ = ("versions", "closures")

    def __init__(self) -> None:
        self.versions: dict[str, tuple[int, bool]] = {}
        self.closures = NO_CLOSURES


def is_closed(closures: Closures, zone: str) -> bool:
    """Returns whether no task may be started in a zone."""
    status = closures.statuses.get(zone)
    return status is not None and status.closed


def list_closed(closures: Closures) -> list[ZoneStatus]:
    """Returns the statuses of the closed zones, in the order of their names."""
    statuses = closures.statuses
    return [statuses[zone] for zone in sorted(statuses) if statuses[zone].closed]


def apply_statuses(closures: Closures, statuses: Iterable[ZoneStatus], now: float) -> Closures:
    """Takes in statuses; for each zone the newest one holds.

    Returns:
        The closures after that; the same object if nothing is new.
    """
    merged = closures.statuses
    for status in statuses:
        known = merged.get(status.zone)
        if known is not None and not _is_newer(status, known):
            continue
        if known is None and not _may_add(merged, status):
            continue
        is_change = known is None or known.closed != status.closed
        kept = ZoneStatus(
            zone=status.zone,
            version=status.version,
            closed=status.closed,
            since=now if is_change else known.since,
        )
        merged = _limit({**merged, status.zone: kept})
    return closures if merged is closures.statuses else Closures(statuses=merged)


def apply_reading(closures: Closures, reading: ZoneReading, now: float) -> Closures:
    """Takes in what was read from the store; see `apply_statuses`.

    A whole reading opens the zones without a row, unless something newer is known of them.
    """
    undated = [
        ZoneStatus(zone=zone, version=reading.version, closed=True)
        for zone in reading.undated
        if not is_closed(closures, zone)
    ]
    statuses = [*reading.statuses, *undated]
    if reading.whole:
        present = {status.zone for status in reading.statuses if status.closed}
        present.update(reading.undated)
        statuses += [
            ZoneStatus(zone=known.zone, version=reading.version, closed=False)
            for known in list_closed(closures)
            if known.zone not in present
        ]
    return apply_statuses(closures, statuses, now)


def list_changes(before: Closures, after: Closures) -> list[ZoneStatus]:
    """Returns the statuses of zones that were closed or opened; an unknown zone counts as open."""
    return [
        status
        for status in after.statuses.values()
        if status.closed != is_closed(before, status.zone)
    ]


def forget_told(told: ToldZones) -> None:
    """Begins anew for a new session."""
    told.versions = {}
    told.closures = NO_CLOSURES


def note_heard(told: ToldZones, statuses: Iterable[ZoneStatus]) -> None:
    """Records statuses that have come from the other side."""
    for status in statuses:
        if _get_rank(status) > told.versions.get(status.zone, UNKNOWN_RANK):
            told.versions[status.zone] = _get_rank(status)
    if len(told.versions) > 2 * MAX_ZONES:
        forget_told(told)


def list_news(told: ToldZones, closures: Closures) -> tuple[ZoneStatus, ...]:
    """Returns the statuses that the other side isn't known to have."""
    if told.closures is closures:
        return ()
    news = tuple(
        status
        for status in closures.statuses.values()
        if _get_rank(status) > told.versions.get(status.zone, UNKNOWN_RANK)
    )
    if not news:
        told.closures = closures
    return news


def take_news(told: ToldZones, closures: Closures) -> tuple[ZoneStatus, ...]:
    """Returns the same as `list_news`, and records that it is sent."""
    news = list_news(told, closures)
    told.versions.update((status.zone, _get_rank(status)) for status in news)
    told.closures = closures
    return news


def _get_rank(status: ZoneStatus) -> tuple[int, bool]:
    # The closed one of equal versions holds, so that the order of arrival doesn't matter.
    return status.version, status.closed


def _is_newer(status: ZoneStatus, known: ZoneStatus) -> bool:
    return _get_rank(status) > _get_rank(known)


def _may_add(statuses: dict[str, ZoneStatus], status: ZoneStatus) -> bool:
    if not 0 < len(status.zone) <= MAX_ZONE_CHARS:
        return False
    return len(statuses) < MAX_ZONES or any(not known.closed for known in statuses.values())


def _limit(statuses: dict[str, ZoneStatus]) -> dict[str, ZoneStatus]:
    """Removes the oldest open zone if there are too many."""
    if len(statuses) > MAX_ZONES:
        open_statuses = [status for status in statuses.values() if not status.closed]
        del statuses[min(open_statuses, key=lambda status: status.version).zone]
    return statuses
