"""Admission at an entry: which waiting requests are refused early when there is too little room.

The start of a request is expected when the cores queued on its route, and its own, have been given
to the route at the rate at which it got room lately (see `room`). Once requests have waited for
long, one that can't be on time even after a part of that wait is refused at once, and so is one
that has waited for MAX_WAIT_PART of its objective: the queue stays short, and callers can go
elsewhere. An estimate that isn't sure refuses nothing.
"""

import zlib

from comfreysill.placement.returns import (
    RETRY_AFTER_SECONDS,
    TurnedAway,
    book_return,
    has_returned,
    note_turned_away,
    spread_return,
)
from comfreysill.placement.room import (
    MIN_WAIT_FACTOR,
    ServiceRoom,
    account_time,
    find_short_routes,
    get_route_room,
    has_spare_room,
    is_sure,
    measure_rate,
    record_asked,
    record_outcome,
    record_placed,
    record_wrong_refusal,
)
from comfreysill.request.request import Request

# Waiting requests are judged at most this often.
JUDGE_INTERVAL_SECONDS = 0.02
# Once requests have waited for long, none waits for longer than this part of its objective.
# Those that start early are on time; with a longer queue all would start late.
MAX_WAIT_PART = 0.2
# One request in this many is let through while others are refused, to learn of new room.
LET_THROUGH_INTERVAL = 16


class Forecast:
    """What was expected of a request that waits for its first start.

    Attributes:
        queued_at: Boot-clock time in seconds at which it was queued first.
        made_at: Boot-clock time in seconds of the first estimate, 0 before.
        wait_seconds: Wait that was expected then.
        is_late: Whether it was let through though it was expected to be of no use.
    """

    __slots__ = ("queued_at", "made_at", "wait_seconds", "is_late")

    def __init__(self, *, queued_at: float) -> None:
        self.queued_at = queued_at
        self.made_at = 0.0
        self.wait_seconds = 0.0
        self.is_late = False


class Admission:
    """State of admission at an entry.

    Attributes:
        refuses_early: Whether requests are refused by their expected end.
        least_share: Part of the mean share of the room that each route gets at least, 0 to 1.
        rooms: Room of services, by service.
        forecasts: Forecasts by request id.
        turned_away: Requests that were turned away lately.
    """

    __slots__ = ("refuses_early", "least_share", "rooms", "forecasts", "turned_away")

    def __init__(self, *, refuses_early: bool = False, least_share: float = 0.0) -> None:
        self.refuses_early = refuses_early
        self.least_share = least_share
        self.rooms: dict[str, ServiceRoom] = {}
        self.forecasts: dict[str, Forecast] = {}
        self.turned_away = TurnedAway()


class Judgement:
    """Estimate for one waiting request.

    Attributes:
        request: The request.
        wait_seconds: Expected wait for its start.
        is_late: Whether it would be late if it started now.
        is_useless: Whether it is to be refused.
    """

    __slots__ = ("request", "wait_seconds", "is_late", "is_useless")

    def __init__(
        self, *, request: Request, wait_seconds: float, is_late: bool, is_useless: bool
    ) -> None:
        self.request = request
        self.wait_seconds = wait_seconds
        self.is_late = is_late
        self.is_useless = is_useless


def is_enabled(admission: Admission) -> bool:
    """Returns whether anything has to be learned."""
    return admission.refuses_early or admission.least_share > 0


def get_room(admission: Admission, service: str) -> ServiceRoom:
    """Returns the room of a service, which is empty for a new one."""
    room = admission.rooms.get(service)
    if room is None:
        room = admission.rooms[service] = ServiceRoom()
    return room


def note_queued(admission: Admission, request: Request, now: float) -> None:
    """Records the room that a request asks for, when it is queued first."""
    specification = request.specification
    is_known = specification.request_id in admission.forecasts
    if request.begun or is_known or not is_enabled(admission):
        return
    admission.forecasts[specification.request_id] = Forecast(queued_at=now)
    cores, work = count_pending(request)
    room = get_room(admission, specification.service)
    record_asked(room, specification.route, cores, work, now)


def count_pending(request: Request) -> tuple[float, float]:
    """Returns the cores, and the declared core-seconds, of the tasks that may be placed."""
    cores = work = 0.0
    for tasks_by_step in (request.pending, request.suspects):
        for number, tasks in tasks_by_step.items():
            step = request.specification.steps[number]
            step_cores = len(tasks) * step.cpu / 1000
            cores += step_cores
            work += step_cores * step.estimate
    return cores, work


def begin_pass(admission: Admission, room: ServiceRoom, now: float) -> bool:
    """Accounts for the time before a pass over a queue.

    Returns:
        Whether other routes than before get less than their least share.
    """
    account_time(room, now)
    short_routes = find_short_routes(room, admission.least_share, now)
    has_changed = short_routes != room.short_routes
    room.short_routes = short_routes
    return has_changed


def note_placed(
    admission: Admission, request: Request, before: tuple[float, float], was_begun: bool, now: float
) -> str:
    """Records the tasks that were just placed, and checks the forecast of a request that starts.

    Args:
        admission: The admission.
        request: The request.
        before: Its `count_pending` before.
        was_begun: Whether it had begun before.
        now: Boot-clock time in seconds.

    Returns:
        Name of the counter of the forecast's outcome, empty if there is nothing to count.
    """
    cores, work = count_pending(request)
    specification = request.specification
    room = get_room(admission, specification.service)
    is_start = request.begun and not was_begun
    placed = (before[0] - cores, before[1] - work)
    if placed[0] > 0 or is_start:
        record_placed(room, specification.route, *placed, now, is_start=is_start)
    if not is_start:
        return ""
    forecast = admission.forecasts.pop(specification.request_id, None)
    if forecast is None or not forecast.made_at:
        return ""
    is_late = now + request.critical_path > request.due_at
    route_room = get_route_room(room, specification.route)
    if not forecast.is_late:
        record_outcome(route_room, is_lost=is_late)
    elif not is_late:
        record_wrong_refusal(route_room)
    if forecast.is_late:
        return "admission_let_through_late" if is_late else "admission_let_through_on_time"
    return "admission_admitted_late" if is_late else "admission_admitted_on_time"


def end_pass(room: ServiceRoom, is_contended: bool) -> None:
    """Records whether requests wait for room that could still be on time."""
    room.is_contended = is_contended


def is_judging_due(admission: Admission, room: ServiceRoom, now: float) -> bool:
    """Returns whether the waiting requests of a service are to be judged, and can be."""
    if not admission.refuses_early or now < room.judged_at + JUDGE_INTERVAL_SECONDS:
        return False
    return is_sure(room, now)


def find_useless(
    admission: Admission,
    room: ServiceRoom,
    waiting: list[Request],
    lowest_slowness: float,
    now: float,
) -> list[Judgement]:
    """Returns the estimates of waiting requests, in their order, that are to be refused early.

    A new request is expected to start after all that wait on its route, so that it pushes none of
    them out. For one that was admitted the shortest wait is expected.
    """
    room.judged_at = now
    needs = [_count_cores(request) for request in waiting]
    queued = _sum_by_route(waiting, needs)
    ahead = dict.fromkeys(queued, 0.0)
    rates = {route: measure_rate(room, route, now) for route in queued}
    has_spare = has_spare_room(room, now)
    useless = []
    for request, cores in zip(waiting, needs, strict=True):
        route = request.specification.route
        ahead[route] += cores
        if request.begun or not rates[route]:
            continue
        forecast = admission.forecasts.get(request.specification.request_id)
        is_new = forecast is not None and not forecast.made_at
        factor = get_route_room(room, route).wait_factor if is_new else MIN_WAIT_FACTOR
        wait = (queued[route] if is_new else ahead[route]) / rates[route]
        run_time = lowest_slowness * request.critical_path
        judgement = _judge_request(request, wait, factor, run_time, has_spare, now)
        _note_forecast(forecast, judgement, now)
        if not judgement.is_useless or is_let_through(admission, judgement, now):
            continue
        useless.append(judgement)
        if not is_new:
            record_outcome(get_route_room(room, route), is_lost=True)
        # The others don't wait for it.
        ahead[route] -= cores
        queued[route] -= cores
    return useless


def _judge_request(
    request: Request, wait: float, factor: float, run_time: float, has_spare: bool, now: float
) -> Judgement:
    objective = request.due_at - request.received_at
    has_waited = now - request.received_at > MAX_WAIT_PART * objective
    is_expected_late = now + factor * wait + run_time > request.due_at
    return Judgement(
        request=request,
        wait_seconds=wait,
        is_late=now + run_time > request.due_at,
        is_useless=not has_spare and (has_waited or is_expected_late),
    )


def _count_cores(request: Request) -> float:
    """Returns the cores of the tasks that may be placed on any target."""
    steps = request.specification.steps
    return sum(len(tasks) * steps[number].cpu for number, tasks in request.pending.items()) / 1000


def _sum_by_route(waiting: list[Request], needs: list[float]) -> dict[str, float]:
    """Returns the cores that the waiting requests of each route ask for."""
    queued: dict[str, float] = {}
    for request, cores in zip(waiting, needs, strict=True):
        route = request.specification.route
        queued[route] = queued.get(route, 0.0) + cores
    return queued


def _note_forecast(forecast: Forecast | None, judgement: Judgement, now: float) -> None:
    if forecast is None:
        return
    if not forecast.made_at:
        forecast.made_at = now
        forecast.wait_seconds = judgement.wait_seconds
    forecast.is_late = forecast.is_late or judgement.is_useless


def is_let_through(admission: Admission, judgement: Judgement, now: float) -> bool:
    """Returns whether a request isn't refused early whatever is expected.

    That is one in LET_THROUGH_INTERVAL, and one that was turned away before, while they can be on
    time.
    """
    if judgement.is_late:
        return False
    request_id = judgement.request.specification.request_id
    is_sample = zlib.crc32(f"admission {request_id}".encode()) % LET_THROUGH_INTERVAL == 0
    return is_sample or has_returned(admission.turned_away, request_id, now)


def forget_forecasts(admission: Admission, open_ids: set[str]) -> None:
    """Removes the forecasts of requests that have ended without a start."""
    for request_id in [name for name in admission.forecasts if name not in open_ids]:
        del admission.forecasts[request_id]


def choose_return(admission: Admission, request: Request, now: float) -> float:
    """Returns the boot-clock time in seconds from which the caller of a refused request may return.

    It is when room for the request is expected if that is known; see `returns`.
    """
    specification = request.specification
    turned_away = admission.turned_away
    if not admission.refuses_early:
        return spread_return(specification.request_id, now)
    is_repeated = has_returned(turned_away, specification.request_id, now)
    note_turned_away(turned_away, specification.request_id, now)
    seconds = _expect_room(admission, request, now)
    if seconds is None:
        return spread_return(specification.request_id, now)
    if is_repeated:
        return now + RETRY_AFTER_SECONDS
    return book_return(turned_away, specification.service, seconds, now)


def _expect_room(admission: Admission, request: Request, now: float) -> float | None:
    """Returns the seconds in which its route gets room for a request, None if that isn't sure."""
    specification = request.specification
    room = admission.rooms.get(specification.service)
    if room is None or not is_sure(room, now):
        return None
    rate = measure_rate(room, specification.route, now)
    if not rate:
        return None
    return sum(step.count * step.cpu for step in specification.steps) / 1000 / rate
