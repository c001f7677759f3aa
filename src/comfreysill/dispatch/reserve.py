"""Slots of fast targets that are kept for more urgent classes."""

import math
from collections.abc import Iterable

from comfreysill.job.types import TaskClass
from comfreysill.target.view import Target

DEMAND_WINDOW_SECONDS = 5.0
TYPICAL_TASK_SECONDS = 0.5
SAFETY = 2.0
PATIENCE_SECONDS = {TaskClass.URGENT: 1.0, TaskClass.NORMAL: 2.0, TaskClass.BULK: 20.0}


class Demand:
    """Work that was started lately, by class.

    Attributes:
        rates: Seconds of work on an average target that were started in a second.
        updated_at: Unix time in seconds of the last update.
    """

    __slots__ = ("rates", "updated_at")

    def __init__(self) -> None:
        self.rates = dict.fromkeys(TaskClass, 0.0)
        self.updated_at = 0.0


def record_started_work(demand: Demand, task_class: TaskClass, seconds: float, now: float) -> None:
    """Adds started work; older work counts less and less."""
    decay_demand(demand, now)
    demand.rates[task_class] += seconds / DEMAND_WINDOW_SECONDS


def decay_demand(demand: Demand, now: float) -> None:
    """Lets older work count less."""
    factor = math.exp(-max(0.0, now - demand.updated_at) / DEMAND_WINDOW_SECONDS)
    for task_class in demand.rates:
        demand.rates[task_class] *= factor
    demand.updated_at = now


def reserve_slots(
    demand: Demand,
    targets: Iterable[Target],
    task_class: TaskClass,
    waited: float,
    entries: int,
    now: float,
) -> dict[str, int]:
    """Returns how many slots of each target are kept for classes more urgent than the given one.

    The fastest targets are kept first: enough for the measured demand, and a margin for its
    swings. The margin shrinks the longer work of the class has waited, so that no slot stays idle
    for long; slots that the urgent classes use already are not kept twice.

    Args:
        demand: Demand at this entry.
        targets: Targets of the service.
        task_class: Class that wants to start work.
        waited: Seconds that its next job has waited.
        entries: How many entries share the targets.
        now: Unix time in seconds.
    """
    decay_demand(demand, now)
    work = entries * sum(rate for other, rate in demand.rates.items() if other < task_class)
    if not work:
        return {}
    patience = PATIENCE_SECONDS[task_class]
    margin = SAFETY * math.sqrt(work * TYPICAL_TASK_SECONDS)
    work += margin * max(0.0, 1 - waited / patience)
    reserved = {}
    for target in sorted(targets, key=_get_slowness):
        if work <= 0:
            break
        slots = min(target.load.slots, math.ceil(work * target.slowness))
        reserved[target.name] = slots
        work -= slots / max(target.slowness, 1e-6)
    return reserved


def _get_slowness(target: Target) -> float:
    return target.slowness
