"""Run times that an entry expects of tasks on targets."""

from comfreysill.placement.state import Agent, EntryState
from comfreysill.request.types import Step

# Added to the estimated run time of a task in another availability zone.
CROSS_ZONE_SECONDS = 0.004


def estimate_run_time(state: EntryState, step: Step, agent: Agent) -> float:
    """Returns the expected run time in seconds of a task of a step on the target of an agent."""
    seconds = step.estimate * agent.load.slowness
    if step.rack and step.rack not in agent.profile.labels:
        seconds *= state.remote_factor
    if agent.profile.zone != state.zone:
        seconds += CROSS_ZONE_SECONDS
    return seconds
