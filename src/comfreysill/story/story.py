"""What the logs say about one request, and what they point to as the cause of its end."""

from collections.abc import Callable

from comfreysill.story.records import Record

# Facts about a process shortly before the request came or after it ended belong to its story.
CONTEXT_MARGIN_SECONDS = 1.5
# Facts that bear on every request of a process at the time.
CONTEXT_EVENTS = frozenset(
    {
        "entry started",
        "entry stops",
        "entry stopped",
        "agent started",
        "agent stops",
        "agent stopped",
        "routes in force",
        "store gave nothing",
        "agent gone",
        "agent has a new lifetime",
        "link silent",
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


class RequestTrace:
    """The lines that bear on one request.

    Attributes:
        request_id: Id of the request.
        related: Lines that name the request or one of its tasks, in order.
        context: The same, with what happened meanwhile to the processes that took part.
        cause: What the lines point to, in one sentence.
    """

    __slots__ = ("request_id", "related", "context", "cause")

    def __init__(
        self, *, request_id: str, related: list[Record], context: list[Record], cause: str
    ) -> None:
        self.request_id = request_id
        self.related = related
        self.context = context
        self.cause = cause


def build_trace(records: list[Record], request_id: str) -> RequestTrace:
    """Picks the lines of one request, and finds its cause."""
    related = [record for record in records if _is_about_request(record, request_id)]
    context = _select_context(records, related) if related else []
    return RequestTrace(
        request_id=request_id, related=related, context=context, cause=find_cause(related, context)
    )


def find_cause(related: list[Record], context: list[Record]) -> str:
    """Returns the first explanation that fits."""
    for explain in EXPLANATIONS:
        cause = explain(related, context)
        if cause:
            return cause
    return "the lines show no cause; look for `dropped_before` on the lines around"


def _is_about_request(record: Record, request_id: str) -> bool:
    if record.fields.get("request") == request_id:
        return True
    return str(record.fields.get("task", "")).startswith(f"{request_id}/")


def _select_context(records: list[Record], related: list[Record]) -> list[Record]:
    begins, ends = (
        related[0].time - CONTEXT_MARGIN_SECONDS,
        related[-1].time + CONTEXT_MARGIN_SECONDS,
    )
    involved = {record.process for record in related}
    involved |= {str(record.fields["agent"]) for record in related if "agent" in record.fields}
    chosen = {id(record) for record in related}
    return [
        record
        for record in records
        if id(record) in chosen
        or (
            begins <= record.time <= ends
            and record.process in involved
            and record.event in CONTEXT_EVENTS
        )
    ]


def _find_events(records: list[Record], event: str) -> list[Record]:
    return [record for record in records if record.event == event]


def _explain_no_records(related: list[Record], context: list[Record]) -> str:
    if related:
        return ""
    return "no process has a line about it: its connection reached none, or the lines were dropped"


def _explain_missing_end(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    taken = _find_events(related, "request taken")
    if not taken or (ended and ended[-1].time >= taken[-1].time):
        return ""
    entry = taken[-1].process
    starts = [r for r in _find_events(context, "entry started") if r.process == entry]
    again = [record for record in starts if record.time > taken[-1].time]
    if again:
        seconds = again[0].time - taken[-1].time
        return f"{entry} died with it; its next process started {seconds:.3f} s after it was taken"
    return f"{entry} took it and has no line about its end: it died, stands still, or still works"


def _explain_refused(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "NOT_RUN":
        return ""
    fields = ended[-1].fields
    troubled = sorted(
        {r.process for r in context if r.event in ("target suspended", "runner lost")}
    )
    rest = f"; out of use meanwhile: {', '.join(troubled)}" if troubled else ""
    return f"refused before it ran, after {fields.get('age')} s: {fields.get('why')}{rest}"


def _explain_failed(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "FAILED":
        return ""
    agents = [str(record.fields.get("agent")) for record in _find_events(related, "task failed")]
    if len(set(agents)) > 1:
        return f"its tasks failed on {', '.join(sorted(set(agents)))}: the request itself"
    return f"its tasks failed on {', '.join(set(agents)) or 'a target'} only: look at that target"


def _explain_unknown_outcome(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "MAY_HAVE_RUN":
        return ""
    return f"ended without a result after {ended[-1].fields.get('age')} s: " + str(
        ended[-1].fields.get("why")
    )


def _explain_late(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    if not ended or not ended[-1].fields.get("late"):
        return ""
    moved = _find_events(related, "task returned") + _find_events(related, "task failed")
    if moved:
        where = sorted(
            {f"{r.fields.get('agent')} ({r.fields.get('why', 'failed')})" for r in moved}
        )
        return f"late, as tasks were started again: {'; '.join(where)}"
    placed = _find_events(related, "tasks placed")
    waited = max((float(record.fields.get("waited", 0.0)) for record in placed), default=0.0)
    return f"late; the last of its tasks waited {waited:.3f} s for room"


def _explain_served(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    return "served in time" if ended else ""


EXPLANATIONS: tuple[Callable[[list[Record], list[Record]], str], ...] = (
    _explain_no_records,
    _explain_missing_end,
    _explain_refused,
    _explain_failed,
    _explain_unknown_outcome,
    _explain_late,
    _explain_served,
)
