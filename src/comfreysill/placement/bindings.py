"""Tasks that are bound to a target, because a start there may still be carried out late.

A task that started elsewhere could run twice at the same time: the runner may restart and carry out
the start before its agent can have it rejected. At the same target there is one run at a time.
"""

from comfreysill.placement.state import Binding, EntryState


def bind_task(state: EntryState, task: str, agent: str, expires_at: float) -> None:
    """Binds a task to the target of an agent.

    Args:
        state: The entry's state.
        task: Name of the task.
        agent: Name of the agent.
        expires_at: Boot-clock time in seconds after which the task may start elsewhere.
    """
    state.bindings[task] = Binding(agent=agent, expires_at=expires_at)


def is_bound(state: EntryState, task: str, now: float) -> bool:
    """Returns whether a task is bound to a target."""
    binding = state.bindings.get(task)
    return binding is not None and now < binding.expires_at


def is_bound_to(state: EntryState, task: str, agent: str, now: float) -> bool:
    """Returns whether a task may start only on the target of an agent."""
    return is_bound(state, task, now) and state.bindings[task].agent == agent


def may_place(state: EntryState, task: str, agent: str, now: float) -> bool:
    """Returns whether a task may start on the target of an agent."""
    return not is_bound(state, task, now) or state.bindings[task].agent == agent


def expire_bindings(state: EntryState, now: float) -> None:
    """Forgets bindings that have expired."""
    for task in [task for task, binding in state.bindings.items() if now >= binding.expires_at]:
        del state.bindings[task]
