"""A request and its tasks: which may start, which run, and when the verdict stands."""

import enum

from comfreysill.request.types import Specification, Verdict, measure_chain


class TaskState(enum.IntEnum):
    """State of a task at its entry."""

    PENDING = 0
    PLACED = 1
    DONE = 2


class Task:
    """One task of a request.

    Attributes:
        request: The request.
        step: Number of its step.
        index: Its place in the step.
        name: Its name at agents, unique on the floor.
        state: Its state.
        attempt: Number of the current attempt, 0 before the first.
        failures: How many attempts ended as failed.
        agent: Agent that has the current attempt, empty for none.
        avoided: Agents where an attempt failed.
    """

    __slots__ = (
        "request",
        "step",
        "index",
        "name",
        "state",
        "attempt",
        "failures",
        "agent",
        "avoided",
    )

    def __init__(self, *, request: "Request", step: int, index: int) -> None:
        self.request = request
        self.step = step
        self.index = index
        self.name = name_task(request.specification.request_id, step, index)
        self.state = TaskState.PENDING
        self.attempt = 0
        self.failures = 0
        self.agent = ""
        self.avoided: tuple[str, ...] = ()


class Request:
    """A request at the entry that took it.

    Attributes:
        specification: The request as sent.
        received_at: Boot-clock time in seconds at which it came.
        due_at: Boot-clock time in seconds of its latency objective.
        due_unix: The same as Unix time, which other processes understand.
        callers: Numbers of the callers that wait for the verdict.
        pending: Startable tasks by step.
        open: How many tasks of each step have not ended.
        placed: Tasks that agents have, by name.
        begun: True once an agent was given a task.
        queued: True while it stands in a queue.
        verdict: The verdict once it stands, else None.
    """

    __slots__ = (
        "specification",
        "received_at",
        "due_at",
        "due_unix",
        "callers",
        "pending",
        "open",
        "placed",
        "begun",
        "queued",
        "verdict",
    )

    def __init__(
        self, *, specification: Specification, received_at: float, unix_offset: float
    ) -> None:
        self.specification = specification
        self.received_at = received_at
        chain = measure_chain(specification.steps)
        self.due_at = received_at + specification.stretch * chain + specification.slack
        self.due_unix = self.due_at + unix_offset
        self.callers: set[int] = set()
        self.pending: dict[int, list[Task]] = {}
        self.open = [step.count for step in specification.steps]
        self.placed: dict[str, Task] = {}
        self.begun = False
        self.queued = False
        self.verdict: Verdict | None = None
        for number, step in enumerate(specification.steps):
            if not step.after:
                _open_step(self, number)


def name_task(request_id: str, step: int, index: int) -> str:
    """Returns the name of a task."""
    return f"{request_id}/{step}/{index}"


def has_pending(request: Request) -> bool:
    """Tells whether a task may be started."""
    return request.verdict is None and any(request.pending.values())


def place_task(task: Task, agent: str) -> None:
    """Records that an agent is given the next attempt of a task."""
    request = task.request
    request.pending[task.step].remove(task)
    request.placed[task.name] = task
    request.begun = True
    task.state = TaskState.PLACED
    task.attempt += 1
    task.agent = agent


def return_task(task: Task) -> None:
    """Makes a task pending again whose attempt certainly doesn't run any more."""
    _unplace_task(task)
    if task.request.verdict is None:
        task.state = TaskState.PENDING
        task.request.pending.setdefault(task.step, []).append(task)


def finish_task(task: Task) -> Verdict | None:
    """Records that a task is done.

    Returns:
        The verdict when this was the last task.
    """
    _unplace_task(task)
    request = task.request
    task.state = TaskState.DONE
    request.open[task.step] -= 1
    if request.open[task.step]:
        return None
    if not any(request.open):
        return settle_request(request, Verdict.COMPLETED)
    for number, step in enumerate(request.specification.steps):
        if task.step in step.after and not any(request.open[before] for before in step.after):
            _open_step(request, number)
    return None


def fail_task(task: Task) -> Verdict | None:
    """Records a failed attempt; the task is pending again while attempts are left.

    Returns:
        The verdict when no attempt is left.
    """
    task.failures += 1
    task.avoided = (*task.avoided, task.agent)
    return_task(task)
    if task.failures >= task.request.specification.max_attempts:
        return settle_request(task.request, Verdict.FAILED)
    return None


def settle_request(request: Request, verdict: Verdict) -> Verdict | None:
    """Fixes the verdict; a verdict that stands stays.

    Returns:
        The verdict when it was fixed now, else None.
    """
    if request.verdict is not None:
        return None
    request.verdict = verdict
    request.pending.clear()
    return verdict


def _open_step(request: Request, number: int) -> None:
    count = request.specification.steps[number].count
    request.pending[number] = [
        Task(request=request, step=number, index=index) for index in range(count)
    ]


def _unplace_task(task: Task) -> None:
    task.request.placed.pop(task.name, None)
    task.agent = ""
