"""A request at its entry on the platform: the states of its tasks, and its verdict."""

import enum
import math

from comfreysill.request.types import Specification, Verdict, compute_critical_path


class TaskState(enum.IntEnum):
    """State of a task at its entry.

    A task is PENDING until an attempt is placed on an agent, and again after an attempt that ended
    without success, unless the request has its verdict by then.
    """

    PENDING = 0
    PLACED = 1
    DONE = 2


class Task:
    """One task of a request.

    Attributes:
        request: The request.
        step: Index of its step in the specification.
        index: Its index in the step.
        name: Its name at agents, see `name_task`.
        state: See `TaskState`.
        attempt: Number of the newest attempt, 0 before the first.
        failures: Number of failed attempts.
        moves: Number of attempts that were lost.
        agent: Name of the agent that has the current attempt, empty if none has.
        avoided_agents: Names of agents where an attempt failed, was lost or was returned; no
            attempt is placed there. A lost or returned attempt shortens them to the last three;
            cleared once they include every eligible agent.
        suspect: True if it may have crashed a runner, so that it is placed isolated only.
        placed_at: Boot-clock time in seconds at which the newest attempt was placed.
        expected_end: Boot-clock time in seconds at which it should end.
    """

    __slots__ = (
        "request",
        "step",
        "index",
        "name",
        "state",
        "attempt",
        "failures",
        "moves",
        "agent",
        "avoided_agents",
        "suspect",
        "placed_at",
        "expected_end",
    )

    def __init__(self, *, request: "Request", step: int, index: int) -> None:
        self.request = request
        self.step = step
        self.index = index
        self.name = name_task(request.specification.request_id, step, index)
        self.state = TaskState.PENDING
        self.attempt = 0
        self.failures = 0
        self.moves = 0
        self.agent = ""
        self.avoided_agents: tuple[str, ...] = ()
        self.suspect = False
        self.placed_at = 0.0
        self.expected_end = 0.0


class Request:
    """A request at the entry that accepted it.

    Attributes:
        specification: What the caller requested.
        received_at: Boot-clock time in seconds at which it was received.
        critical_path: Declared run time in seconds of its longest chain of dependent steps.
        due_at: Boot-clock time in seconds of its latency objective.
        due_unix: `due_at` as Unix time in seconds, for other processes.
        stop_at: Boot-clock time in seconds from which none of its tasks may run, as its callers
            have stopped waiting; infinite if that time is unknown.
        callers: Numbers of the callers waiting for the verdict.
        pending: Tasks that may be placed, by index of their step.
        suspects: Tasks that may be placed isolated only, by index of their step.
        unfinished: For each step, the number of tasks that are not done.
        placed: Tasks placed on agents, by name.
        begun: True once a task was placed, even if its attempt never ran.
        queued: True while it is in the queue of its service.
        verdict: The verdict, None before there is one.
    """

    __slots__ = (
        "specification",
        "received_at",
        "critical_path",
        "due_at",
        "due_unix",
        "stop_at",
        "callers",
        "pending",
        "suspects",
        "unfinished",
        "placed",
        "begun",
        "queued",
        "verdict",
    )

    def __init__(
        self,
        *,
        specification: Specification,
        received_at: float,
        unix_offset: float,
        stop_at: float = math.inf,
    ) -> None:
        self.specification = specification
        self.received_at = received_at
        self.critical_path = compute_critical_path(specification.steps)
        self.due_at = (
            received_at + specification.stretch * self.critical_path + specification.slack_seconds
        )
        self.due_unix = self.due_at + unix_offset
        self.stop_at = stop_at
        self.callers: set[int] = set()
        self.pending: dict[int, list[Task]] = {}
        self.suspects: dict[int, list[Task]] = {}
        self.unfinished = [step.count for step in specification.steps]
        self.placed: dict[str, Task] = {}
        self.begun = False
        self.queued = False
        self.verdict: Verdict | None = None
        for step_number, step in enumerate(specification.steps):
            if not step.after:
                _activate_step(self, step_number)


def name_task(request_id: str, step: int, index: int) -> str:
    """Returns the name that a task has at agents and in log lines."""
    return f"{request_id}/{step}/{index}"


def get_request_id(task: str) -> str:
    """Returns the id of the request that a task belongs to, from the task's name."""
    return task.rsplit("/", 2)[0]


def has_pending(request: Request) -> bool:
    """Returns whether a request has tasks that may be placed, isolated or not."""
    has_tasks = any(request.pending.values()) or any(request.suspects.values())
    return request.verdict is None and has_tasks


def count_pending_tasks(request: Request) -> int:
    """Returns the number of tasks that may be placed, isolated or not."""
    pending = sum(len(tasks) for tasks in request.pending.values())
    return pending + sum(len(tasks) for tasks in request.suspects.values())


def suspect_task(task: Task) -> None:
    """Marks a task that may have crashed a runner: its next attempts are placed isolated."""
    if task.suspect:
        return
    task.suspect = True
    pending = task.request.pending.get(task.step, [])
    if task in pending:
        pending.remove(task)
        task.request.suspects.setdefault(task.step, []).append(task)


def place_task(task: Task, agent: str) -> None:
    """Records that the next attempt of a task is placed on an agent."""
    request = task.request
    _get_unplaced(task).remove(task)
    request.placed[task.name] = task
    request.begun = True
    task.state = TaskState.PLACED
    task.attempt += 1
    task.agent = agent


def reschedule_task(task: Task) -> None:
    """Makes a task pending again, once it is certain that its attempt can't run any more.

    If the request has its verdict, only the placement is removed.
    """
    _clear_placement(task)
    if task.request.verdict is None:
        task.state = TaskState.PENDING
        _get_unplaced(task).append(task)


def finish_task(task: Task) -> Verdict | None:
    """Records that a task is done, and activates the steps that depended on it.

    Returns:
        The verdict if this was the last task and the request had none, else None.
    """
    _clear_placement(task)
    request = task.request
    task.state = TaskState.DONE
    request.unfinished[task.step] -= 1
    if request.unfinished[task.step]:
        return None
    if not any(request.unfinished):
        return set_verdict(request, Verdict.COMPLETED)
    for step_number, step in enumerate(request.specification.steps):
        if task.step in step.after and not any(
            request.unfinished[predecessor] for predecessor in step.after
        ):
            _activate_step(request, step_number)
    return None


def fail_task(task: Task) -> Verdict | None:
    """Records a failed attempt; the task is rescheduled while attempts are left.

    Returns:
        The verdict if no attempt is left and the request had none, else None.
    """
    task.failures += 1
    task.avoided_agents = (*task.avoided_agents, task.agent)
    reschedule_task(task)
    if task.failures >= task.request.specification.max_attempts:
        return set_verdict(task.request, Verdict.FAILED)
    return None


def set_verdict(request: Request, verdict: Verdict) -> Verdict | None:
    """Sets the verdict of a request that has none; a verdict is never changed.

    Returns:
        The verdict if it was set by this call, else None.
    """
    if request.verdict is not None:
        return None
    request.verdict = verdict
    request.pending.clear()
    request.suspects.clear()
    return verdict


def _activate_step(request: Request, step_number: int) -> None:
    count = request.specification.steps[step_number].count
    request.pending[step_number] = [
        Task(request=request, step=step_number, index=index) for index in range(count)
    ]


def _get_unplaced(task: Task) -> list[Task]:
    """Returns the list that holds a task while it is not placed."""
    tasks_by_step = task.request.suspects if task.suspect else task.request.pending
    return tasks_by_step.setdefault(task.step, [])


def _clear_placement(task: Task) -> None:
    task.request.placed.pop(task.name, None)
    task.agent = ""
