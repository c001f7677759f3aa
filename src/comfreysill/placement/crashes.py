"""Crashes of runners at an entry: suspects are isolated, and deadly requests given up."""

from comfreysill.crashes.ledger import (
    find_deadly_task,
    list_confined_routes,
    record_crash,
    settle_crashes,
)
from comfreysill.crashes.report import CrashReport
from comfreysill.placement.requests import give_up_request, suspect_tasks
from comfreysill.placement.state import EntryState, count, note_event


def receive_crash(
    state: EntryState, report: CrashReport, now: float, is_recent: bool = False
) -> None:
    """Processes the report of a crash; one that is known already changes nothing.

    A recent crash proves nothing before `judge_crashes`, as other targets may have crashed at the
    same moment.
    """
    request_ids = record_crash(state.crashes, report, now, is_recent)
    if request_ids:
        count(state, "crashes_reported")
        note_event(
            state,
            "crash reported",
            crash=report.crash_id,
            requests=len(request_ids),
            confined=sorted(list_confined_routes(state.crashes, now)),
        )
    _judge_requests(state, request_ids, now)


def judge_crashes(state: EntryState, now: float) -> None:
    """Judges the recent crashes that others of the same moment are known of by now."""
    _judge_requests(state, settle_crashes(state.crashes, now), now)


def _judge_requests(state: EntryState, request_ids: list[str], now: float) -> None:
    for request_id in request_ids:
        request = state.requests.get(request_id)
        if request is None:
            continue
        suspect_tasks(state, request)
        deadly_task = find_deadly_task(state.crashes, request_id)
        if deadly_task and request.verdict is None:
            give_up_request(state, request, deadly_task, now)
