"""Run times that an entry expects of tasks on targets."""

from comfreysill.placement.state import Agent, EntryState
from comfreysill.request.types import Step

# Added to the estimated run time of a task in another availability zone.
CROSS_ZONE_SECONDS = 0.004


def estimate_run_time(state: EntryState, step: Step, agent: Agent) -> float:
    """Returns the expected run time in seconds of a task of a step on the target of an agent."""
    seconds = step.estimate * agent.load.slowness * get_rack_factor(state, step, agent)
    if agent.profile.zone != state.zone:
        seconds += CROSS_ZONE_SECONDS
    return seconds


def get_rack_factor(state: EntryState, step: Step, agent: Agent) -> float:
    """Returns the factor on the run time of a task that is due to the place of its data."""
    return 1.0 if is_near(step, agent) else state.remote_factor


def is_near(step: Step, agent: Agent) -> bool:
    """Returns whether a target is in the rack of the data, or no rack is named."""
    return not step.rack or step.rack in agent.profile.labels
