"""Trace of one request to the platform from log records, and the likely cause of its outcome."""

from collections.abc import Callable

from comfreysill.request_trace.holdings import (
    Holding,
    build_holdings,
    explain_simultaneous,
    find_entry,
)
from comfreysill.request_trace.records import Record

# Context events within this time of the records of a request may explain its outcome.
CONTEXT_MARGIN_SECONDS = 1.5
# Events that can affect every request that a process handles at the time.
CONTEXT_EVENTS = frozenset(
    {
        "entry started",
        "entry stopping",
        "entry stopped",
        "entry was suspended or busy",
        "agent started",
        "agent stopping",
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
        "runner crashed",
        "runner lost",
        "target suspended",
        "target recovered",
        "target slowdown detected",
        "run stalled",
        "start unanswered; token raised",
        "start accepted on another clock; token raised",
        "start held until it is final",
        "zone closed",
        "zone opened",
    }
)
# Events after which a target takes no work for a time.
UNAVAILABLE_EVENTS = frozenset({"target suspended", "runner crashed", "runner lost"})


class RequestTrace:
    """Log records that concern one request.

    Attributes:
        request_id: ID of the request.
        related: Records that name the request or one of its tasks, ordered by time.
        context: `related`, and context events of the processes involved, ordered by time.
        holdings: Which entries had the request, in order of their acceptance.
        cause: Likely cause of the outcome, in one sentence.
    """

    __slots__ = ("request_id", "related", "context", "holdings", "cause")

    def __init__(
        self,
        *,
        request_id: str,
        related: list[Record],
        context: list[Record],
        holdings: list[Holding],
        cause: str,
    ) -> None:
        self.request_id = request_id
        self.related = related
        self.context = context
        self.holdings = holdings
        self.cause = cause


def build_trace(records: list[Record], request_id: str) -> RequestTrace:
    """Selects the records of one request and determines the cause of its outcome."""
    related = [record for record in records if _is_about_request(record, request_id)]
    context = _select_context(records, related) if related else []
    return RequestTrace(
        request_id=request_id,
        related=related,
        context=context,
        holdings=build_holdings(related),
        cause=find_cause(related, context),
    )


def find_cause(related: list[Record], context: list[Record]) -> str:
    """Returns the first cause that a function in `EXPLANATIONS` finds, or how to look further."""
    for explain in EXPLANATIONS:
        cause = explain(related, context)
        if cause:
            return cause
    return "the logs show no cause; check nearby lines for `dropped_before`, a count of lost lines"


def _is_about_request(record: Record, request_id: str) -> bool:
    if record.fields.get("request") == request_id:
        return True
    return str(record.fields.get("task", "")).startswith(f"{request_id}/")


def _select_context(records: list[Record], related: list[Record]) -> list[Record]:
    window_start, window_end = (
        related[0].time - CONTEXT_MARGIN_SECONDS,
        related[-1].time + CONTEXT_MARGIN_SECONDS,
    )
    involved = {record.process for record in related}
    involved |= {str(record.fields["agent"]) for record in related if "agent" in record.fields}
    involved |= {find_entry(record) for record in related}
    related_ids = {id(record) for record in related}
    return [
        record
        for record in records
        if id(record) in related_ids
        or (
            window_start <= record.time <= window_end
            and record.process in involved
            and record.event in CONTEXT_EVENTS
        )
    ]


def _find_events(records: list[Record], event: str) -> list[Record]:
    return [record for record in records if record.event == event]


def _explain_no_records(related: list[Record], context: list[Record]) -> str:
    if related:
        return ""
    return "no process logged the request: it reached no entry, or the log lines were dropped"


def _explain_read_late(related: list[Record], context: list[Record]) -> str:
    refused = _find_events(related, "request refused: its caller may have left")
    if not refused or _find_events(related, "request accepted"):
        return ""
    fields = refused[-1].fields
    return (
        f"refused before it ran: {refused[-1].process} may have read it {fields.get('unread')} s "
        f"after it was sent, and its caller waits {fields.get('wait')} s"
    )


def _explain_cancelled(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    refused = _find_events(related, "request not taken: it was cancelled")
    if not refused and (not ended or ended[-1].fields.get("verdict") != "CANCELLED"):
        return ""
    received = _find_events(related, "cancelling received")
    answered = _find_events(related, "cancelling answered")
    asked = {record.process for record in answered}
    asked |= {str(record.fields.get("entry", "")).partition("@")[0] for record in received}
    return f"cancelled by a caller, at {', '.join(sorted(asked)) or 'an entry'}"


def _explain_missing_end(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    accepted = _find_events(related, "request accepted")
    if not accepted or (ended and ended[-1].time >= accepted[-1].time):
        return ""
    entry = accepted[-1].process
    entry_starts = [r for r in _find_events(context, "entry started") if r.process == entry]
    restarts = [record for record in entry_starts if record.time > accepted[-1].time]
    if restarts:
        seconds = restarts[0].time - accepted[-1].time
        return f"{entry} died during the request, and restarted {seconds:.3f} s after accepting it"
    return f"{entry} logged no end of the request: it died, hangs, or is still working on it"


def _explain_refused(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "NOT_RUN":
        return ""
    fields = ended[-1].fields
    unavailable = sorted({r.process for r in context if r.event in UNAVAILABLE_EVENTS})
    suffix = f"; unavailable meanwhile: {', '.join(unavailable)}" if unavailable else ""
    return f"refused before it ran, after {fields.get('age')} s: {fields.get('why')}{suffix}"


def _explain_failed(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    if not ended or ended[-1].fields.get("verdict") != "FAILED":
        return ""
    agents = [str(record.fields.get("agent")) for record in _find_events(related, "task failed")]
    if not agents:
        crashed = [r.process for r in _find_events(context, "runner crashed")]
        return (
            f"given up: {ended[-1].fields.get('why')}; crashed: {', '.join(crashed) or 'unknown'}"
        )
    if len(set(agents)) > 1:
        return f"tasks failed on {', '.join(sorted(set(agents)))}: likely caused by the request"
    return f"tasks failed only on {', '.join(set(agents)) or 'a target'}: check that target"


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
    retried = _find_events(related, "task rescheduled") + _find_events(related, "task failed")
    refused = _find_events(related, "order refused")
    if retried or refused:
        agents_and_reasons = sorted(
            {
                f"{r.fields.get('agent', r.process)} ({r.fields.get('why', 'failed')})"
                for r in retried + refused
            }
        )
        return f"late because tasks were retried: {'; '.join(agents_and_reasons)}"
    placed = _find_events(related, "tasks placed")
    placement_delay = max(
        (float(record.fields.get("waited", 0.0)) for record in placed), default=0.0
    )
    cause = f"late; its last tasks were placed {placement_delay:.3f} s after it was received"
    return cause + _describe_vain_waits(related)


def _describe_vain_waits(related: list[Record]) -> str:
    """Returns what the waits for places near the data cost that didn't pay, empty if none."""
    ended = _find_events(related, "wait for a near place ended")
    vain = [record for record in ended if not record.fields.get("paid")]
    if not vain:
        return ""
    seconds = sum(float(record.fields.get("waited", 0.0)) for record in vain)
    racks = ", ".join(sorted({str(record.fields.get("rack")) for record in vain}))
    return f"; tasks waited {seconds:.3f} s in vain for room in rack {racks}"


def _explain_completed(related: list[Record], context: list[Record]) -> str:
    ended = _find_events(related, "request ended")
    return "completed in time" if ended else ""


# In order of precedence; each returns an empty string if it does not apply.
EXPLANATIONS: tuple[Callable[[list[Record], list[Record]], str], ...] = (
    _explain_no_records,
    explain_simultaneous,
    _explain_read_late,
    _explain_cancelled,
    _explain_missing_end,
    _explain_refused,
    _explain_failed,
    _explain_unknown_outcome,
    _explain_late,
    _explain_completed,
)
