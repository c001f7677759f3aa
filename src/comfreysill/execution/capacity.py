"""Capacity of the target, which may shrink and grow while runs wait for it."""

from comfreysill.exchange.messages import Batch, Outcome
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.state import AgentState, end_run


def has_room(agent: AgentState, batch: Batch) -> bool:
    """Returns whether one more task of a batch fits beside the runs that it may share with."""
    return _fits(agent, batch, batch.cpu, batch.memory_mb, batch.gpus)


def return_excess_runs(agent: AgentState, now: float) -> None:
    """Returns waiting runs to their entries until the others fit, the least urgent ones first."""
    waiting = [run for run in agent.runs.values() if run.state == RunState.WAITING]
    waiting.sort(key=_get_urgency, reverse=True)
    for run in waiting:
        if _fits(agent, run.batch, 0, 0, 0):
            return
        end_run(agent, run, Outcome.RETURNED, now, detail="the capacity of the target has shrunk")


def _get_urgency(run: Run) -> tuple[int, float, str]:
    return run.batch.priority, run.batch.due, run.task


def _fits(agent: AgentState, batch: Batch, cpu: int, memory_mb: int, gpus: int) -> bool:
    """Returns whether an additional need fits beside the runs that a batch may share with.

    Isolated tasks wait until other runs have ended, so that only waiting runs count for them.
    """
    report = agent.report
    cpu += agent.cpu_waiting
    memory_mb += agent.memory_waiting
    gpus += agent.gpus_waiting
    if not batch.isolated:
        cpu += agent.cpu_used
        memory_mb += agent.memory_used
        gpus += agent.gpus_used
    return cpu <= report.cpu and memory_mb <= report.memory_mb and gpus <= report.gpus
