"""Early refusals at an entry: admission is carried out around each pass over a queue."""

from collections.abc import Callable

from comfreysill.placement.admission import (
    Judgement,
    begin_pass,
    count_pending,
    end_pass,
    find_useless,
    get_room,
    is_enabled,
    is_judging_due,
    note_placed,
)
from comfreysill.placement.confinement import TargetGroups, get_group
from comfreysill.placement.orders import Candidate
from comfreysill.placement.queue import reorder_queue
from comfreysill.placement.requests import refuse_request
from comfreysill.placement.reservations import reserve_for_head, select_unreserved
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.request.request import Request, has_pending
from comfreysill.request.types import Step

EARLY_REASON = "there is too little room for it to end in time"


def prepare_queue(state: EntryState, service: str, queue: list, now: float) -> None:
    """Accounts for the time before a pass over a queue, and orders it by the shares of routes."""
    if not is_enabled(state.admission):
        return
    room = get_room(state.admission, service)
    before = room.short_routes
    if begin_pass(state.admission, room, now):
        reorder_queue(state, queue, now)
        note_event(
            state,
            "routes that get less than their share",
            service=service,
            routes=sorted(room.short_routes),
            before=sorted(before),
        )


def build_recorder(state: EntryState, request: Request, now: float) -> Callable[[], None]:
    """Returns a function that records the tasks of a request that were placed since this call."""
    if not is_enabled(state.admission):
        return _record_nothing
    pending, was_begun = count_pending(request), request.begun

    def record_placement() -> None:
        outcome = note_placed(state.admission, request, pending, was_begun, now)
        if outcome:
            count(state, outcome)

    return record_placement


def _record_nothing() -> None:
    """Stands in for the recorder where nothing is learned."""


def keep_room(state: EntryState, request: Request, candidates: list[Candidate], now: float) -> None:
    """Keeps room for a request that waits first; see `reserve_for_head`."""
    if state.admission.least_share > 0:
        room = get_room(state.admission, request.specification.service)
        reserve_for_head(room, request, candidates, now)


def list_candidates(
    state: EntryState, request: Request, step: Step, candidates: list[Candidate], now: float
) -> list[Candidate]:
    """Returns the candidates that the tasks of a step may be placed on beside what is kept."""
    room = state.admission.rooms.get(request.specification.service)
    if room is None or request.begun:
        return candidates
    return select_unreserved(room, request, step, candidates, now)


def finish_queue(
    state: EntryState,
    service: str,
    queue: list,
    groups: TargetGroups,
    is_contended: bool,
    now: float,
) -> None:
    """Refuses requests that were not placed in a pass over a queue and can't be of use any more.

    Requests of confined routes have targets of their own, for which nothing is estimated.
    """
    admission = state.admission
    if not is_enabled(admission):
        return
    room = get_room(admission, service)
    end_pass(room, is_contended)
    if not is_judging_due(admission, room, now):
        return
    waiting = [
        item[4]
        for item in sorted(queue)
        if has_pending(item[4]) and get_group(groups, item[4]) is groups.others
    ]
    slowness = groups.others.lowest_slowness
    for judgement in find_useless(admission, room, waiting, slowness, now):
        _refuse_early(state, judgement, now)


def _refuse_early(state: EntryState, judgement: Judgement, now: float) -> None:
    request = judgement.request
    route = request.specification.route
    held_seconds = now - request.received_at
    count(state, "admission_refused_early")
    state.observe("early_refusal_seconds", held_seconds, route)
    state.observe("refused_wait_seconds", judgement.wait_seconds, route)
    note_event(
        state,
        "request refused early",
        request=request.specification.request_id,
        route=route,
        expected_wait=round(judgement.wait_seconds, 3),
        left=round(request.due_at - now - request.critical_path, 3),
        held=round(held_seconds, 3),
    )
    refuse_request(state, request, EARLY_REASON, now)
