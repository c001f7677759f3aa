"""Health of the target, judged by the outcomes and run times of its runs."""

from comfreysill.execution.state import AgentState, count, note_event

SUSPEND_AFTER_REQUESTS = 3
SUSPEND_SECONDS = 1.0
MAX_SUSPEND_SECONDS = 4.0
MIN_SMOOTHING_WEIGHT = 0.05
MIN_SLOWNESS_RATIO = 0.1
MAX_SLOWNESS_RATIO = 20.0


def record_failure(state: AgentState, request_id: str, now: float) -> None:
    """Records a failed task; failures of several requests in a row suspend the target.

    Failures of one request count once, because the request itself may be at fault.
    """
    state.failed_requests.add(request_id)
    limit = 1 if state.probing else SUSPEND_AFTER_REQUESTS
    if len(state.failed_requests) >= limit:
        suspend_target(state, now)


def suspend_target(state: AgentState, now: float) -> None:
    """Refuses new work for a time, then accepts one task at a time until one succeeds.

    The time doubles with each consecutive suspension, up to MAX_SUSPEND_SECONDS.
    """
    if now < state.suspended_until:
        return
    seconds = min(SUSPEND_SECONDS * 2**state.suspensions, MAX_SUSPEND_SECONDS)
    state.failed_requests.clear()
    state.suspended_until = now + seconds
    state.suspensions += 1
    state.probing = True
    count(state, "suspensions")
    note_event(state, "target suspended", seconds=seconds)


def record_success(state: AgentState, seconds: float, estimate: float) -> None:
    """Updates health and the smoothed slowness from a successful task."""
    state.failed_requests.clear()
    if state.probing:
        state.probing = False
        state.suspensions = 0
        note_event(state, "target recovered")
    ratio = min(max(seconds / max(estimate, 1e-3), MIN_SLOWNESS_RATIO), MAX_SLOWNESS_RATIO)
    state.slowness_samples += 1
    weight = max(MIN_SMOOTHING_WEIGHT, 1 / (state.slowness_samples + 2))
    state.slowness += weight * (ratio - state.slowness)
