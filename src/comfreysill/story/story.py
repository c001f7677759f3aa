"""What the logs say about one request, and what they point to as the cause of its end."""

from collections.abc import Callable

from comfreysill.story.records import Record

# Facts about a process shortly before the request came or after it ended belong to its story.
MARGIN_SECONDS = 1.5
# Facts that bear on every request of a process at the time.
SURROUNDINGS = frozenset(
    {
        "entry started",
        "entry stopping",
        "entry stopped",
        "agent started",
        "agent stops",
        "agent stopped",
        "routes in force",
        "reading from the store failed",
        "agent leases expired",
        "agent restarted",
        "link timed out",
        "link lost",
        "runner adopted",
        "runner is draining",
        "runner deregistered",
        "runner lost",
        "target suspended",
        "target recovered",
        "target slowdown detected",
        "run stalled",
        "start unanswered; token raised",
    }
)


class Story:
    """The lines that bear on one request.

    Attributes:
        request_id: Id of the request.
        own: Lines that name the request or one of its tasks, in order.
        around: The same, with what happened meanwhile to the processes that took part.
        cause: What the lines point to, in one sentence.
    """

    __slots__ = ("request_id", "own", "around", "cause")

    def __init__(
        self, *, request_id: str, own: list[Record], around: list[Record], cause: str
    ) -> None:
        self.request_id = request_id
        self.own = own
        self.around = around
        self.cause = cause


def tell_story(records: list[Record], request_id: str) -> Story:
    """Picks the lines of one request, and finds its cause."""
    own = [record for record in records if _names(record, request_id)]
    around = _pick_around(records, own) if own else []
    return Story(request_id=request_id, own=own, around=around, cause=find_cause(own, around))


def find_cause(own: list[Record], around: list[Record]) -> str:
    """Returns the first explanation that fits."""
    for explain in EXPLANATIONS:
        cause = explain(own, around)
        if cause:
            return cause
    return "the lines show no cause; look for `dropped_before` on the lines around"


def _names(record: Record, request_id: str) -> bool:
    if record.fields.get("request") == request_id:
        return True
    return str(record.fields.get("task", "")).startswith(f"{request_id}/")


def _pick_around(records: list[Record], own: list[Record]) -> list[Record]:
    begins, ends = own[0].time - MARGIN_SECONDS, own[-1].time + MARGIN_SECONDS
    involved = {record.process for record in own}
    involved |= {str(record.fields["agent"]) for record in own if "agent" in record.fields}
    chosen = {id(record) for record in own}
    return [
        record
        for record in records
        if id(record) in chosen
        or (
            begins <= record.time <= ends
            and record.process in involved
            and record.event in SURROUNDINGS
        )
    ]


def _find(records: list[Record], event: str) -> list[Record]:
    return [record for record in records if record.event == event]


def _explain_unknown(own: list[Record], around: list[Record]) -> str:
    if own:
        return ""
    return "no process has a line about it: its connection reached none, or the lines were dropped"


def _explain_lost(own: list[Record], around: list[Record]) -> str:
    ended = _find(own, "request ended")
    taken = _find(own, "request accepted")
    if not taken or (ended and ended[-1].time >= taken[-1].time):
        return ""
    entry = taken[-1].process
    starts = [r for r in _find(around, "entry started") if r.process == entry]
    again = [record for record in starts if record.time > taken[-1].time]
    if again:
        seconds = again[0].time - taken[-1].time
        return f"{entry} died with it; its next process started {seconds:.3f} s after it was taken"
    return f"{entry} took it and has no line about its end: it died, stands still, or still works"


def _explain_refused(own: list[Record], around: list[Record]) -> str:
    ended = _find(own, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "NOT_RUN":
        return ""
    fields = ended[-1].fields
    troubled = sorted({r.process for r in around if r.event in ("target suspended", "runner lost")})
    rest = f"; out of use meanwhile: {', '.join(troubled)}" if troubled else ""
    return f"refused before it ran, after {fields.get('age')} s: {fields.get('why')}{rest}"


def _explain_failed(own: list[Record], around: list[Record]) -> str:
    ended = _find(own, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "FAILED":
        return ""
    agents = [str(record.fields.get("agent")) for record in _find(own, "task failed")]
    if len(set(agents)) > 1:
        return f"its tasks failed on {', '.join(sorted(set(agents)))}: the request itself"
    return f"its tasks failed on {', '.join(set(agents)) or 'a target'} only: look at that target"


def _explain_given_up(own: list[Record], around: list[Record]) -> str:
    ended = _find(own, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "MAY_HAVE_RUN":
        return ""
    return f"ended without a result after {ended[-1].fields.get('age')} s: " + str(
        ended[-1].fields.get("why")
    )


def _explain_late(own: list[Record], around: list[Record]) -> str:
    ended = _find(own, "request ended")
    if not ended or not ended[-1].fields.get("late"):
        return ""
    moved = _find(own, "task rescheduled") + _find(own, "task failed")
    if moved:
        where = sorted(
            {f"{r.fields.get('agent')} ({r.fields.get('why', 'failed')})" for r in moved}
        )
        return f"late, as tasks were started again: {'; '.join(where)}"
    placed = _find(own, "tasks placed")
    waited = max((float(record.fields.get("waited", 0.0)) for record in placed), default=0.0)
    return f"late; the last of its tasks waited {waited:.3f} s for room"


def _explain_served(own: list[Record], around: list[Record]) -> str:
    ended = _find(own, "request ended")
    return "served in time" if ended else ""


EXPLANATIONS: tuple[Callable[[list[Record], list[Record]], str], ...] = (
    _explain_unknown,
    _explain_lost,
    _explain_refused,
    _explain_failed,
    _explain_given_up,
    _explain_late,
    _explain_served,
)
