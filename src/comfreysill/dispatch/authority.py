"""Validation of partition ownership: a majority of agents has seen no higher epoch."""

from comfreysill.dispatch.state import AUTHORITY_SECONDS, Dispatcher
from comfreysill.partition.owned import OwnedPartition
from comfreysill.target.view import Target

VALIDATION_INTERVAL_SECONDS = 0.1


def find_validated_time(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> float:
    """Returns the newest time at which a majority of agents had seen no higher epoch.

    An agent notifies a fenced owner before it acknowledges the next frame, so an acknowledged
    frame proves that the agent had seen no higher epoch when the frame was sent.

    Returns:
        A Unix time in seconds, 0 if no majority has granted the epoch in the open sessions.
    """
    times = [target.validated_at for target in _list_granting_targets(dispatcher, owned_partition)]
    return _find_majority_value(times, len(dispatcher.targets), 0.0)


def find_validated_cycle(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> int:
    """Returns the newest cycle at whose end a majority of agents had seen no higher epoch.

    Returns:
        The number of the cycle, -1 if no majority has granted the epoch in the open sessions.
    """
    cycles = [
        target.validated_cycle for target in _list_granting_targets(dispatcher, owned_partition)
    ]
    return int(_find_majority_value(cycles, len(dispatcher.targets), -1))


def find_authority_end(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> float:
    """Returns the Unix time in seconds until which this entry may start tasks.

    It is in the past if ownership was not validated recently.
    """
    return find_validated_time(dispatcher, owned_partition) + AUTHORITY_SECONDS


def request_validation(dispatcher: Dispatcher, now: float) -> None:
    """Requests a frame to each agent for validation, unless one was just sent to any agent."""
    sent_at = max((target.last_sent_at for target in dispatcher.targets.values()), default=now)
    if now - sent_at >= VALIDATION_INTERVAL_SECONDS:
        dispatcher.required_ack_cycle = dispatcher.cycle


def _list_granting_targets(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> list[Target]:
    targets = dispatcher.targets
    return [targets[name] for name in owned_partition.granted_in_session if name in targets]


def _find_majority_value(values: list[float], agent_count: int, fallback: float) -> float:
    majority = agent_count // 2 + 1
    if len(values) < majority:
        return fallback
    values.sort(reverse=True)
    return values[majority - 1]
