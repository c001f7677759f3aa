"""Proof that this entry still owns what it believes to own."""

from comfreysill.dispatch.state import AUTHORITY_SECONDS, Dispatcher
from comfreysill.partition.owned import OwnedPartition
from comfreysill.target.view import Target

PING_INTERVAL_SECONDS = 0.1


def find_authority_time(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> float:
    """Returns the newest time at which a majority of agents knew no higher epoch.

    An agent tells an owner of a higher epoch before it acknowledges the next frame. So a frame
    that is acknowledged proves that the agent knew no higher epoch when the frame was sent.

    Returns:
        A Unix time in seconds, 0 when no majority granted the epoch.
    """
    times = [target.validated_at for target in _list_confirmed(dispatcher, owned_partition)]
    return _pick_majority(times, len(dispatcher.targets), 0.0)


def find_validated_cycle(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> int:
    """Returns the newest cycle at whose end a majority of agents knew no higher epoch.

    Returns:
        -1 when no majority granted the epoch.
    """
    cycles = [target.validated_cycle for target in _list_confirmed(dispatcher, owned_partition)]
    return int(_pick_majority(cycles, len(dispatcher.targets), -1))


def find_authority_end(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> float:
    """Returns the Unix time in seconds until which this entry may start tasks."""
    return find_authority_time(dispatcher, owned_partition) + AUTHORITY_SECONDS


def request_validation(dispatcher: Dispatcher, now: float) -> None:
    """Has frames sent to agents that were not sent one lately, so that they acknowledge it."""
    sent_at = max((target.last_sent_at for target in dispatcher.targets.values()), default=now)
    if now - sent_at >= PING_INTERVAL_SECONDS:
        dispatcher.ping_cycle = dispatcher.cycle


def _list_confirmed(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> list[Target]:
    targets = dispatcher.targets
    return [targets[name] for name in owned_partition.confirmed if name in targets]


def _pick_majority(values: list[float], voters: int, missing: float) -> float:
    majority = voters // 2 + 1
    if len(values) < majority:
        return missing
    values.sort(reverse=True)
    return values[majority - 1]
