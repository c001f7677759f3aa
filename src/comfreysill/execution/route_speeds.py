"""Run times of the routes on a target, learned beside its slowness and told with its load."""

from comfreysill.exchange.speeds import RouteSpeed

SMOOTHING_WEIGHT = 0.05
# Routes beyond this number push out the one whose task ended first.
MAX_ROUTES = 64
MAX_TOLD_ROUTES = 8
# Of fewer tasks, or of a smaller difference to others, entries aren't told.
MIN_TOLD_SAMPLES = 8
MIN_TOLD_DIFFERENCE = 0.1
# What was learned earlier isn't told any more.
MAX_TOLD_AGE_SECONDS = 60.0


class RouteRecord:
    """What was learned of one route.

    Attributes:
        factor: Smoothed factor; see `RouteSpeed`.
        samples: Number of tasks.
        updated_at: Boot-clock time in seconds of the last one's end.
    """

    __slots__ = ("factor", "samples", "updated_at")

    def __init__(self) -> None:
        self.factor = 1.0
        self.samples = 0
        self.updated_at = 0.0


def record_route(records: dict[str, RouteRecord], route: str, factor: float, now: float) -> None:
    """Adds the run time of a task; the route whose task ended last comes last."""
    if not route:
        return
    record = records.pop(route, None) or RouteRecord()
    record.samples += 1
    # The first samples weigh more.
    weight = max(SMOOTHING_WEIGHT, 1 / (record.samples + 2))
    record.factor += weight * (factor - record.factor)
    record.updated_at = now
    records[route] = record
    if len(records) > MAX_ROUTES:
        del records[next(iter(records))]


def list_told_routes(records: dict[str, RouteRecord], now: float) -> tuple[RouteSpeed, ...]:
    """Returns the routes that differ from others for sure, those with the newest tasks first."""
    told = [
        RouteSpeed(
            route=route,
            factor=record.factor,
            samples=record.samples,
            age=max(0.0, now - record.updated_at),
        )
        for route, record in reversed(records.items())
        if record.samples >= MIN_TOLD_SAMPLES
        and abs(record.factor - 1) >= MIN_TOLD_DIFFERENCE
        and now - record.updated_at <= MAX_TOLD_AGE_SECONDS
    ]
    return tuple(told[:MAX_TOLD_ROUTES])
