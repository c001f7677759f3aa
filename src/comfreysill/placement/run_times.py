"""Run times that an entry expects of tasks on targets."""

import math

from comfreysill.exchange.messages import Load
from comfreysill.placement.agent_state import Agent
from comfreysill.placement.state import EntryState
from comfreysill.request.types import Step

# Added to the estimated run time of a task in another availability zone.
CROSS_ZONE_SECONDS = 0.004
# What was learned of a route counts half with so many tasks, and is forgotten with this constant.
HALF_SURE_SAMPLES = 8
FORGET_SECONDS = 30.0
MAX_ROUTE_FACTOR = 4.0


def estimate_run_time(state: EntryState, step: Step, agent: Agent, route: str) -> float:
    """Returns the expected run time in seconds of a task on the target of an agent.

    Args:
        state: The entry's state.
        step: Step of the task.
        agent: The agent.
        route: Route of its request.
    """
    load = agent.load
    seconds = step.estimate * load.slowness * get_rack_factor(state, step, agent)
    if load.routes:
        seconds *= get_route_factor(load, route)
    if agent.profile.zone != state.zone:
        seconds += CROSS_ZONE_SECONDS
    return seconds


def get_route_factor(load: Load, route: str) -> float:
    """Returns the factor on run times that is due to a route, nearer to 1 the less sure it is."""
    for speed in load.routes:
        if speed.route == route and speed.factor > 0:
            sureness = speed.samples / (speed.samples + HALF_SURE_SAMPLES)
            sureness *= math.exp(-speed.age / FORGET_SECONDS)
            factor = min(max(speed.factor, 1 / MAX_ROUTE_FACTOR), MAX_ROUTE_FACTOR)
            return factor**sureness
    return 1.0


def get_rack_factor(state: EntryState, step: Step, agent: Agent) -> float:
    """Returns the factor on the run time of a task that is due to the place of its data."""
    return 1.0 if is_near(step, agent) else state.remote_factor


def is_near(step: Step, agent: Agent) -> bool:
    """Returns whether a target is in the rack of the data, or no rack is named."""
    return not step.rack or step.rack in agent.profile.labels
