"""Tasks that are bound to a target, because a start there may still be carried out late.

A task that started elsewhere could run twice at the same time: the runner may restart and carry out
the start before its agent can have it rejected. At the same target there is one run at a time. A
task that is bound to several targets starts nowhere. A task that was refused because another run of
it is there is bound as well.
"""

from collections.abc import Iterable

from comfreysill.exchange.messages import LateStart
from comfreysill.placement.agent_state import Agent
from comfreysill.placement.state import Binding, EntryState, count, note_event
from comfreysill.request.request import get_request_id
from comfreysill.request.types import Verdict

# From the refusal of a task, as another run of it is there, to its next order.
OTHER_RUN_RETRY_SECONDS = 0.1
# A log line names at most this many of the tasks that were bound.
MAX_LOGGED_TASKS = 12


def bind_task(state: EntryState, task: str, agent: str, lifetime: str, expires_at: float) -> None:
    """Binds a task to the target of an agent.

    Args:
        state: The entry's state.
        task: Name of the task.
        agent: Name of the agent.
        lifetime: Id of the run of the agent's process that knows of the start.
        expires_at: Boot-clock time in seconds after which the task may start elsewhere.
    """
    bindings = state.bindings.setdefault(task, [])
    for binding in bindings:
        if binding.agent == agent and binding.lifetime == lifetime:
            binding.expires_at = max(binding.expires_at, expires_at)
            return
    bindings.append(Binding(agent=agent, lifetime=lifetime, expires_at=expires_at))


def hold_task(state: EntryState, task: str, agent: str, expires_at: float, now: float) -> None:
    """Binds a task to the target of an agent that has refused it, as another run of it is there.

    It is placed again after OTHER_RUN_RETRY_SECONDS. For `expires_at` see `bind_task`.
    """
    release_task(state, task, agent, "")
    starts_at = now + OTHER_RUN_RETRY_SECONDS
    binding = Binding(agent=agent, lifetime="", expires_at=expires_at, starts_at=starts_at)
    state.bindings.setdefault(task, []).append(binding)


def release_task(state: EntryState, task: str, agent: str, lifetime: str) -> None:
    """Ends the binding of a task that a lifetime of an agent has caused."""
    bindings = state.bindings.get(task, [])
    bindings[:] = [
        binding for binding in bindings if binding.agent != agent or binding.lifetime != lifetime
    ]
    if not bindings:
        state.bindings.pop(task, None)


def is_bound(state: EntryState, task: str, now: float) -> bool:
    """Returns whether a task is bound to a target."""
    return any(now < binding.expires_at for binding in state.bindings.get(task, ()))


def choose_refusal(state: EntryState, request_id: str, now: float) -> Verdict:
    """Returns the verdict of a request of which this entry has placed no task.

    It is NOT_RUN unless a task of it is bound to a target, where it may run or have run.
    """
    is_in_doubt = any(
        get_request_id(task) == request_id and is_bound(state, task, now) for task in state.bindings
    )
    return Verdict.MAY_HAVE_RUN if is_in_doubt else Verdict.NOT_RUN


def is_bound_to(state: EntryState, task: str, agent: str, now: float) -> bool:
    """Returns whether a task may start only on the target of an agent."""
    return is_bound(state, task, now) and may_place(state, task, agent, now)


def may_place(state: EntryState, task: str, agent: str, now: float) -> bool:
    """Returns whether a task may start on the target of an agent."""
    return all(
        (binding.agent == agent and now >= binding.starts_at) or now >= binding.expires_at
        for binding in state.bindings.get(task, ())
    )


def receive_late_starts(
    state: EntryState, agent: Agent, late_starts: Iterable[LateStart], now: float
) -> None:
    """Binds the tasks whose starts at an agent's target may be carried out late.

    A task that was placed elsewhere before is stopped there. Bindings whose reason is gone end.
    """
    bound = []
    for late_start in late_starts:
        name = late_start.task
        if not late_start.seconds:
            release_task(state, name, agent.name, agent.lifetime)
            continue
        bind_task(state, name, agent.name, agent.lifetime, now + late_start.seconds)
        if name not in agent.tasks:
            bound.append(name)
            _stop_elsewhere(state, name, agent)
    if bound:
        count(state, "tasks_bound", len(bound))
        tasks = bound[:MAX_LOGGED_TASKS]
        note_event(state, "tasks bound", agent=agent.name, number=len(bound), tasks=tasks)


def _stop_elsewhere(state: EntryState, name: str, agent: Agent) -> None:
    """Queues the stop of a task that was placed on another target than that of `agent`."""
    request = state.requests.get(get_request_id(name))
    task = request.placed.get(name) if request is not None else None
    if task is None or task.agent == agent.name:
        return
    state.agents[task.agent].stops.append(name)
    note_event(
        state, "task stopped: it may start elsewhere", task=name, agent=task.agent, at=agent.name
    )


def expire_bindings(state: EntryState, now: float) -> None:
    """Forgets the bindings of tasks that aren't bound any more."""
    for task in [task for task in state.bindings if not is_bound(state, task, now)]:
        del state.bindings[task]
