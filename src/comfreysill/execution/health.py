"""Health of the target, judged by the outcomes and run times of its runs."""

from comfreysill.execution.route_speeds import record_route
from comfreysill.execution.state import AgentState, count, note_event

SUSPEND_AFTER_REQUESTS = 3
SUSPEND_SECONDS = 1.0
MAX_SUSPEND_SECONDS = 4.0
MIN_SMOOTHING_WEIGHT = 0.05
MIN_SLOWNESS_RATIO = 0.1
MAX_SLOWNESS_RATIO = 20.0
MIN_ESTIMATE_SECONDS = 0.001


def record_failure(agent: AgentState, request_id: str, now: float) -> None:
    """Records a failed task or start; failures of several requests in a row suspend the target.

    Failures of one request count once, because the request itself may be at fault. While the target
    is probed, the failure of one request is enough.
    """
    agent.failed_requests.add(request_id)
    limit = 1 if agent.probing else SUSPEND_AFTER_REQUESTS
    if len(agent.failed_requests) >= limit:
        suspend_target(agent, now)


def suspend_target(agent: AgentState, now: float) -> None:
    """Refuses new work for a time, then accepts one task at a time until one succeeds.

    The time doubles with each consecutive suspension, up to MAX_SUSPEND_SECONDS. A target that is
    suspended already is left as it is.
    """
    if now < agent.suspended_until:
        return
    seconds = min(SUSPEND_SECONDS * 2**agent.suspensions, MAX_SUSPEND_SECONDS)
    agent.failed_requests.clear()
    agent.suspended_until = now + seconds
    agent.suspensions += 1
    agent.probing = True
    count(agent, "suspensions")
    note_event(agent, "target suspended", seconds=seconds)


def record_success(
    agent: AgentState, seconds: float, estimate: float, route: str, now: float
) -> None:
    """Updates health and the smoothed slowness from a successful task.

    A task whose run time isn't declared says nothing about the slowness of the target.

    Args:
        agent: The agent's state.
        seconds: Its run time.
        estimate: Run time in seconds that is declared for a task at this place; far from its data
            it takes longer, which says nothing about the target.
        route: Route of its request.
        now: Boot-clock time in seconds.
    """
    agent.failed_requests.clear()
    if agent.probing:
        agent.probing = False
        agent.suspensions = 0
        note_event(agent, "target recovered")
    if estimate < MIN_ESTIMATE_SECONDS:
        return
    ratio = min(max(seconds / estimate, MIN_SLOWNESS_RATIO), MAX_SLOWNESS_RATIO)
    agent.slowness_samples += 1
    # The first samples weigh more.
    weight = max(MIN_SMOOTHING_WEIGHT, 1 / (agent.slowness_samples + 2))
    agent.slowness += weight * (ratio - agent.slowness)
    record_route(agent.route_speeds, route, ratio / agent.slowness, now)
