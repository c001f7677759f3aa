"""Judges the runner by what comes of its runs, and how slow it is."""

from comfreysill.running.state import AgentState, count, note_event

SUSPEND_AFTER_REQUESTS = 3
SUSPEND_SECONDS = 1.0
SUSPEND_MOST_SECONDS = 4.0
SMOOTHING = 0.05
SLOWNESS_LOW = 0.1
SLOWNESS_HIGH = 20.0


def record_trouble(agent: AgentState, request_id: str, now: float) -> None:
    """Counts a task that failed here; tasks of several requests in a row suspend the target.

    Failures of one request count once, as the request itself may be at fault.
    """
    agent.failed_requests.add(request_id)
    limit = 1 if agent.probing else SUSPEND_AFTER_REQUESTS
    if len(agent.failed_requests) >= limit:
        suspend_target(agent, now)


def suspend_target(agent: AgentState, now: float) -> None:
    """Takes no new work for a while, then one task at a time until one is done."""
    if now < agent.suspended_until:
        return
    seconds = min(SUSPEND_SECONDS * 2**agent.suspensions, SUSPEND_MOST_SECONDS)
    agent.failed_requests.clear()
    agent.suspended_until = now + seconds
    agent.suspensions += 1
    agent.probing = True
    count(agent, "suspensions")
    note_event(agent, "target suspended", seconds=seconds)


def record_success(agent: AgentState, seconds: float, estimate: float) -> None:
    """Learns from a task that is done."""
    agent.failed_requests.clear()
    if agent.probing:
        agent.probing = False
        agent.suspensions = 0
        note_event(agent, "target works again")
    ratio = min(max(seconds / max(estimate, 1e-3), SLOWNESS_LOW), SLOWNESS_HIGH)
    agent.samples += 1
    share = max(SMOOTHING, 1 / (agent.samples + 2))
    agent.slowness += share * (ratio - agent.slowness)
