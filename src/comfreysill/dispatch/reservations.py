"""Reservation of slots on fast targets for more urgent classes."""

import math
from collections.abc import Iterable

from comfreysill.job.types import TaskClass
from comfreysill.target.view import Target

DEMAND_WINDOW_SECONDS = 5.0
TYPICAL_TASK_SECONDS = 0.5
# Ratio of the margin to the square root of required slots times task length.
SAFETY_FACTOR = 2.0
MARGIN_FADE_SECONDS = {TaskClass.URGENT: 1.0, TaskClass.NORMAL: 2.0, TaskClass.BULK: 20.0}


class Demand:
    """Rate of recently started work by class, with exponential decay.

    Attributes:
        rates: Seconds of work on an average target that are started per second.
        updated_at: Unix time in seconds of the last update, 0 before the first.
    """

    __slots__ = ("rates", "updated_at")

    def __init__(self) -> None:
        self.rates = dict.fromkeys(TaskClass, 0.0)
        self.updated_at = 0.0


def record_started_work(demand: Demand, task_class: TaskClass, seconds: float, now: float) -> None:
    """Adds started work to the demand of its class; earlier work decays."""
    decay_demand(demand, now)
    demand.rates[task_class] += seconds / DEMAND_WINDOW_SECONDS


def decay_demand(demand: Demand, now: float) -> None:
    """Applies exponential decay up to the given time."""
    factor = math.exp(-max(0.0, now - demand.updated_at) / DEMAND_WINDOW_SECONDS)
    for task_class in demand.rates:
        demand.rates[task_class] *= factor
    demand.updated_at = now


def reserve_slots(
    demand: Demand,
    targets: Iterable[Target],
    task_class: TaskClass,
    waited: float,
    entry_count: int,
    now: float,
) -> dict[str, int]:
    """Returns how many slots of each target are reserved for classes more urgent than `task_class`.

    Slots are reserved on the fastest targets first: enough for the measured demand, plus a margin
    for its fluctuation. The margin shrinks while work of `task_class` waits, so that no slot stays
    idle for long. Slots that the more urgent classes use already are included. The result is by
    target name; targets that it lacks have no reserved slots.

    Args:
        demand: Demand at this entry.
        targets: Targets of the service.
        task_class: Class whose tasks are to be started.
        waited: Seconds that the job to start has waited.
        entry_count: Number of entries that share the targets.
        now: Unix time in seconds.
    """
    decay_demand(demand, now)
    required_slots = entry_count * sum(
        rate for other, rate in demand.rates.items() if other < task_class
    )
    if not required_slots:
        return {}
    fade_seconds = MARGIN_FADE_SECONDS[task_class]
    margin = SAFETY_FACTOR * math.sqrt(required_slots * TYPICAL_TASK_SECONDS)
    required_slots += margin * max(0.0, 1 - waited / fade_seconds)
    reserved = {}
    for target in sorted(targets, key=_get_slowness):
        if required_slots <= 0:
            break
        slots = min(target.load.slots, math.ceil(required_slots * target.slowness))
        reserved[target.name] = slots
        required_slots -= slots / max(target.slowness, 1e-6)
    return reserved


def _get_slowness(target: Target) -> float:
    return target.slowness
