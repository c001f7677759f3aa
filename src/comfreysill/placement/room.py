"""What an entry has learned of the room that each service and route gets: rates and waits.

Room is counted in cores: tasks start when the cores of others become free. While requests wait, the
cores that their tasks get in a second are the rate at which room comes; at other times this rate
is only what callers ask for, and nothing is learned.
"""

import math

# Time constant of the rates. Waves and bursts of callers last for several of them.
RATE_SECONDS = 1.0
# Time constant of the work that routes ask for and get, by which room is shared.
SHARE_SECONDS = 5.0
# With less time of waiting in the rates, or fewer starts, an estimate isn't sure.
MIN_CONTENDED_SECONDS = 0.25
MIN_STARTS = 4.0
# A pass over a queue accounts for at most this time since the one before.
MAX_ELAPSED_SECONDS = 0.25
# No spare room is in sight while requests have waited for more than this part of the last time.
MAX_SPARE_CONTENTION = 0.5
# The factor on expected waits is learned in such steps, so that at most this part of the admitted
# requests is lost, and bounded.
MAX_LOST_PART = 0.35
FACTOR_STEP = 0.1
# By so much the factor falls when a request that was expected to be late starts in time.
WRONG_REFUSAL_STEP = 0.1
MIN_WAIT_FACTOR, MAX_WAIT_FACTOR = 0.2, 0.5
FIRST_WAIT_FACTOR = 0.35


class Meter:
    """A sum that decays with time.

    Attributes:
        seconds: Time constant of the decay in seconds.
        amount: The sum at `updated_at`.
        updated_at: Boot-clock time in seconds of the last change.
    """

    __slots__ = ("seconds", "amount", "updated_at")

    def __init__(self, *, seconds: float = RATE_SECONDS) -> None:
        self.seconds = seconds
        self.amount = 0.0
        self.updated_at = 0.0


def read_meter(meter: Meter, now: float) -> float:
    """Returns the sum as of now."""
    return meter.amount * math.exp(min(0.0, meter.updated_at - now) / meter.seconds)


def add_to_meter(meter: Meter, amount: float, now: float) -> None:
    """Adds an amount to the sum."""
    meter.amount = read_meter(meter, now) + amount
    meter.updated_at = now


class RouteRoom:
    """Room of one route.

    Attributes:
        asked: Cores of the tasks of new requests.
        placed: Cores of the tasks placed while requests waited.
        starts: First starts of requests while requests waited.
        asked_work: Declared work of new requests in core-seconds.
        placed_work: Declared work of placed tasks in core-seconds.
        wait_factor: Factor on expected waits by which requests are admitted.
    """

    __slots__ = (
        "asked",
        "placed",
        "starts",
        "asked_work",
        "placed_work",
        "wait_factor",
    )

    def __init__(self) -> None:
        self.asked = Meter()
        self.placed = Meter()
        self.starts = Meter()
        self.asked_work = Meter(seconds=SHARE_SECONDS)
        self.placed_work = Meter(seconds=SHARE_SECONDS)
        self.wait_factor = FIRST_WAIT_FACTOR


class HeadReservation:
    """A target that is kept for one request; see `reservations`.

    Attributes:
        request_id: Id of the request.
        agent: Name of the target's agent.
        expires_at: Boot-clock time in seconds at which it isn't kept any more.
    """

    __slots__ = ("request_id", "agent", "expires_at")

    def __init__(self, *, request_id: str, agent: str, expires_at: float) -> None:
        self.request_id = request_id
        self.agent = agent
        self.expires_at = expires_at


class ServiceRoom:
    """Room of one service.

    Attributes:
        routes: Room of its routes, by route.
        contended: Seconds in which requests waited that could still be on time.
        is_contended: Whether such requests waited after the last pass over the queue.
        accounted_at: Boot-clock time in seconds of the last pass.
        judged_at: Boot-clock time in seconds at which waiting requests were last judged.
        short_routes: Routes that get less than their least share of the room.
        reservation: The newest reservation, None before the first.
    """

    __slots__ = (
        "routes",
        "contended",
        "is_contended",
        "accounted_at",
        "judged_at",
        "short_routes",
        "reservation",
    )

    def __init__(self) -> None:
        self.routes: dict[str, RouteRoom] = {}
        self.contended = Meter()
        self.is_contended = False
        self.accounted_at = 0.0
        self.judged_at = 0.0
        self.short_routes: frozenset[str] = frozenset()
        self.reservation: HeadReservation | None = None


def get_route_room(room: ServiceRoom, route: str) -> RouteRoom:
    """Returns the room of a route, which is empty for a new route."""
    found = room.routes.get(route)
    if found is None:
        found = room.routes[route] = RouteRoom()
    return found


def account_time(room: ServiceRoom, now: float) -> None:
    """Adds the time since the last pass if requests waited meanwhile; precedes each pass."""
    if room.is_contended:
        elapsed = min(now - room.accounted_at, MAX_ELAPSED_SECONDS)
        add_to_meter(room.contended, elapsed, now)
    room.accounted_at = now


def record_asked(room: ServiceRoom, route: str, cores: float, work: float, now: float) -> None:
    """Records a new request by the cores and the declared core-seconds of its tasks."""
    route_room = get_route_room(room, route)
    add_to_meter(route_room.asked, cores, now)
    add_to_meter(route_room.asked_work, work, now)


def record_placed(
    room: ServiceRoom, route: str, cores: float, work: float, now: float, is_start: bool
) -> None:
    """Records placed tasks of a request; `is_start` tells whether they are its first."""
    route_room = get_route_room(room, route)
    add_to_meter(route_room.placed_work, work, now)
    if room.is_contended:
        add_to_meter(route_room.placed, cores, now)
        if is_start:
            add_to_meter(route_room.starts, 1.0, now)


def is_sure(room: ServiceRoom, now: float) -> bool:
    """Returns whether requests have waited for long enough to tell at what rate room comes."""
    return read_meter(room.contended, now) >= MIN_CONTENDED_SECONDS


def measure_rate(room: ServiceRoom, route: str, now: float) -> float | None:
    """Returns the cores a second that a route gets while requests wait, None if that isn't sure."""
    route_room = room.routes.get(route)
    if route_room is None or read_meter(route_room.starts, now) < MIN_STARTS:
        return None
    return read_meter(route_room.placed, now) / read_meter(room.contended, now)


def has_spare_room(room: ServiceRoom, now: float) -> bool:
    """Returns whether room is in sight for more requests than get it now."""
    return read_meter(room.contended, now) < MAX_SPARE_CONTENTION * RATE_SECONDS


def find_short_routes(room: ServiceRoom, least_share: float, now: float) -> frozenset[str]:
    """Returns the routes that get less than a part of the mean share of the work asked for.

    Args:
        room: Room of the service.
        least_share: That part; 0 for no such routes.
        now: Boot-clock time in seconds.
    """
    if not least_share or not is_sure(room, now):
        return frozenset()
    asked = {name: read_meter(route.asked_work, now) for name, route in room.routes.items()}
    placed = {name: read_meter(route.placed_work, now) for name, route in room.routes.items()}
    total = sum(asked.values())
    if not total:
        return frozenset()
    mean_share = min(1.0, sum(placed.values()) / total)
    return frozenset(
        name for name in asked if placed[name] < least_share * mean_share * asked[name]
    )


def record_wrong_refusal(route_room: RouteRoom) -> None:
    """Learns from a request that has started in time though it was expected to be late."""
    factor = route_room.wait_factor - WRONG_REFUSAL_STEP
    route_room.wait_factor = max(MIN_WAIT_FACTOR, factor)


def record_outcome(route_room: RouteRoom, is_lost: bool) -> None:
    """Learns from an admitted request whether it has started in time or was lost.

    The factor settles where MAX_LOST_PART of them are lost, or at its lower bound.
    """
    factor = route_room.wait_factor + FACTOR_STEP * (is_lost - MAX_LOST_PART)
    route_room.wait_factor = min(MAX_WAIT_FACTOR, max(MIN_WAIT_FACTOR, factor))
