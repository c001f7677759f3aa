"""Starts that aren't final: what an agent tells all of its entries of them.

Such a start may be carried out late by a later lifetime of the runner under the same id. Any entry
may be asked for the task next, as the one that has ordered it may end, or lose its caller. So each
entry keeps the task to this target until the start is final.
"""

from itertools import takewhile

from comfreysill.exchange.messages import LateStart
from comfreysill.execution.entry_link import EntryLink
from comfreysill.execution.run import Run
from comfreysill.execution.state import AgentState, UnfinalStart

# Maximum number of tasks in a frame; the next frame has those that follow.
MAX_LATE_STARTS_PER_FRAME = 1000


def record_unfinal_start(agent: AgentState, run: Run, now: float) -> None:
    """Records that a start of a run may be carried out until its `late_until`."""
    known = agent.unfinal_starts.pop(run.task, None)
    is_shared = known is not None and known.late_until > now and known.run is not run
    agent.last_unfinal_start_number += 1
    agent.unfinal_starts[run.task] = UnfinalStart(
        number=agent.last_unfinal_start_number,
        task=run.task,
        run=None if is_shared else run,
        runner_id=run.lifetime.runner_id,
        late_until=run.late_until,
    )


def settle_start(agent: AgentState, run: Run) -> None:
    """Records that each start of a run is final."""
    run.late_until = 0.0
    unfinal_start = agent.unfinal_starts.get(run.task)
    if unfinal_start is not None and unfinal_start.run is run:
        _withdraw(agent, unfinal_start)


def settle_starts_under_other_ids(agent: AgentState, runner_id: str) -> None:
    """Records that the starts that the present runner refuses, being addressed by id, are final.

    Those of ended runs are as well.
    """
    for unfinal_start in list(agent.unfinal_starts.values()):
        if unfinal_start.late_until and unfinal_start.runner_id != runner_id:
            _withdraw(agent, unfinal_start)


def _withdraw(agent: AgentState, unfinal_start: UnfinalStart) -> None:
    agent.last_unfinal_start_number += 1
    unfinal_start.number = agent.last_unfinal_start_number
    unfinal_start.late_until = 0.0
    # Moved to the end.
    agent.unfinal_starts[unfinal_start.task] = agent.unfinal_starts.pop(unfinal_start.task)


def expire_unfinal_starts(agent: AgentState, now: float) -> None:
    """Forgets tasks whose starts are too old to be carried out.

    A task behind a newer one is forgotten with it.
    """
    while agent.unfinal_starts:
        first = next(iter(agent.unfinal_starts.values()))
        if now < first.expires_at:
            return
        del agent.unfinal_starts[first.task]


def has_unsent_late_starts(agent: AgentState, link: EntryLink) -> bool:
    """Returns whether the newest session of a link is to be told of late starts."""
    newest = next(reversed(agent.unfinal_starts.values()), None)
    return newest is not None and newest.number > link.unfinal_start_sent


def take_late_starts(agent: AgentState, link: EntryLink, now: float) -> tuple[LateStart, ...]:
    """Returns what the next frame of a link's newest session tells, and marks it as sent."""
    newest_first = reversed(agent.unfinal_starts.values())
    unsent = list(takewhile(lambda item: item.number > link.unfinal_start_sent, newest_first))
    chosen = unsent[::-1][:MAX_LATE_STARTS_PER_FRAME]
    if not chosen:
        return ()
    link.unfinal_start_sent = chosen[-1].number
    return tuple(
        LateStart(task=item.task, seconds=max(0.0, item.late_until - now)) for item in chosen
    )
