"""Lifetimes of the runner: its reports, its deregistration and the end of a lifetime."""

from comfreysill.exchange.messages import Outcome
from comfreysill.execution.calls import RunnerReport
from comfreysill.execution.state import AgentState, RunState, count, end_run, note_event


def receive_report(state: AgentState, report: RunnerReport, now: float) -> bool:
    """Processes a report of the runner.

    Returns:
        False if the report is stale, from an earlier lifetime or out of order, and was ignored.
    """
    previous = state.report
    if previous is not None and previous.lifetime == report.lifetime:
        if report.sequence < previous.sequence and report.sequence:
            return False
        if report.draining and not previous.draining:
            note_event(state, "runner is draining", lifetime=str(report.lifetime))
        if report.draining != previous.draining or report.cpu != previous.cpu:
            state.profile_version += 1
        state.report = report
        _return_waiting_runs(state, now)
    elif previous is not None and report.lifetime.started_at_ms < previous.lifetime.started_at_ms:
        count(state, "reports_stale")
        return False
    else:
        end_runner_lifetime(state, now, "a new lifetime reported")
        state.report = report
        state.profile_version += 1
    if state.runner_lifetime is None:
        _adopt_runner(state, report, now)
    return True


def _adopt_runner(state: AgentState, report: RunnerReport, now: float) -> None:
    state.runner_lifetime = report.lifetime
    state.clock_ms = -1
    state.runner_ends_seen = 0
    state.listed_at_ms = 0
    state.reconciled = False
    state.answered_at = now
    state.leases_expire_at = now
    state.renew_now = True
    note_event(state, "runner adopted", lifetime=str(report.lifetime), cpu=report.cpu)


def receive_deregistration(state: AgentState, runner_id: str, now: float) -> None:
    """Processes the deregistration of a runner that is shutting down."""
    if state.report is None or state.report.lifetime.runner_id != runner_id:
        return
    note_event(state, "runner deregistered", lifetime=str(state.report.lifetime))
    end_runner_lifetime(state, now, "the runner left")
    state.report = None
    state.profile_version += 1


def end_runner_lifetime(state: AgentState, now: float, reason: str) -> None:
    """Marks the runner's lifetime as ended, and ends all runs on it."""
    if state.runner_lifetime is None:
        return
    note_event(state, "runner lost", lifetime=str(state.runner_lifetime), why=reason)
    state.runner_lifetime = None
    state.reconciled = False
    end_all_runs(state, now, reason)


def end_all_runs(state: AgentState, now: float, reason: str) -> None:
    """Ends all runs: waiting ones as RETURNED, all others as LOST."""
    for run in list(state.runs.values()):
        was_waiting = run.state == RunState.WAITING
        end_run(state, run, Outcome.RETURNED if was_waiting else Outcome.LOST, now, detail=reason)


def begin_shutdown(state: AgentState, now: float) -> None:
    """Stops accepting new work and returns waiting runs to their entries."""
    state.stopping = True
    _return_waiting_runs(state, now)


def _return_waiting_runs(state: AgentState, now: float) -> None:
    if not state.stopping and not state.report.draining:
        return
    for run in list(state.runs.values()):
        if run.state == RunState.WAITING:
            end_run(state, run, Outcome.RETURNED, now, detail="the target takes no new work")
