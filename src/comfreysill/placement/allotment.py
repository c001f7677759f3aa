"""Memory for open requests: how much all of them may take, and what one takes.

The size of a body says little about it: a few bytes ask for thousands of tasks.
"""

import math

from comfreysill.request.types import Specification

# Estimated memory of a request, of one of its steps and of one of its tasks, in bytes.
REQUEST_BYTES = 2_048
STEP_BYTES = 512
TASK_BYTES = 512
# Share of the process's memory for open requests.
REQUESTS_SHARE = 1 / 6
# Requests above the first share of the allotment leave the second share of it to smaller ones.
SMALL_SHARE = 1 / 256
RESERVED_SHARE = 1 / 4


class Allotment:
    """Memory for open requests.

    Attributes:
        max_bytes: Maximum of what all open requests take, infinite if there is no limit.
        used_bytes: What they take.
    """

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, *, max_bytes: float = math.inf) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0


def build_allotment(memory_bytes: int) -> Allotment:
    """Builds the allotment of a process with this memory, 0 if it isn't known."""
    return Allotment(max_bytes=memory_bytes * REQUESTS_SHARE or math.inf)


def measure_request(specification: Specification) -> int:
    """Returns the estimated memory of a request in bytes."""
    tasks = sum(step.count for step in specification.steps)
    steps = len(specification.steps)
    # A character takes up to four bytes.
    payload = 4 * len(specification.payload)
    return REQUEST_BYTES + payload + STEP_BYTES * steps + TASK_BYTES * tasks


def has_memory(allotment: Allotment, specification: Specification) -> bool:
    """Returns whether a request may be accepted beside the open ones."""
    size = measure_request(specification)
    limit = allotment.max_bytes
    if size > SMALL_SHARE * limit:
        limit *= 1 - RESERVED_SHARE
    return allotment.used_bytes + size <= limit


def charge_request(allotment: Allotment, specification: Specification) -> None:
    """Records that a request is open."""
    allotment.used_bytes += measure_request(specification)


def release_request(allotment: Allotment, specification: Specification) -> None:
    """Records that a request is open no longer."""
    allotment.used_bytes -= measure_request(specification)
