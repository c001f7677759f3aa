"""Isolation of runs: they share the target with no run of another request.

Runs are isolated if their task may have crashed a runner. The target accepts those of one request
at a time, starts them once all other runs have ended, and refuses other tasks until they have ended
as well.
"""

from comfreysill.exchange.messages import Batch
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.state import AgentState


def check_isolation(agent: AgentState, batch: Batch) -> str:
    """Returns why a task of a batch can't share the target, empty if it can."""
    if not agent.isolated_runs:
        return ""
    isolated_request = _get_isolated_request(agent)
    if batch.isolated and batch.request_id == isolated_request:
        return ""
    return f"the target isolates request {isolated_request}"


def may_start(agent: AgentState, run: Run) -> bool:
    """Returns whether a waiting run may start beside the started ones."""
    if not agent.isolated_runs:
        return True
    started = [other for other in agent.runs.values() if other.state != RunState.WAITING]
    if run.batch.isolated:
        return all(other.batch.request_id == run.batch.request_id for other in started)
    return not any(other.batch.isolated for other in started)


def _get_isolated_request(agent: AgentState) -> str:
    return next(run.batch.request_id for run in agent.runs.values() if run.batch.isolated)
