"""The runner's lifetimes: its reports, its leaving and its death."""

from comfreysill.exchange.messages import Outcome
from comfreysill.running.calls import RunnerReport
from comfreysill.running.state import AgentState, RunState, count, end_run, note_event


def receive_report(agent: AgentState, report: RunnerReport, now: float) -> bool:
    """Takes a runner's report.

    Returns:
        False when it comes from an earlier lifetime and is passed over.
    """
    known = agent.report
    if known is not None and known.lifetime == report.lifetime:
        if report.sequence < known.sequence and report.sequence:
            return False
        if report.draining and not known.draining:
            note_event(agent, "runner drains", lifetime=str(report.lifetime))
        if report.draining != known.draining or report.cpu != known.cpu:
            agent.profile_version += 1
        agent.report = report
        _return_waiting(agent, now)
    elif known is not None and report.lifetime.started_at_ms < known.lifetime.started_at_ms:
        count(agent, "reports_stale")
        return False
    else:
        lose_runner(agent, now, "a new lifetime reported")
        agent.report = report
        agent.profile_version += 1
    if agent.target is None:
        _adopt_runner(agent, report, now)
    return True


def _adopt_runner(agent: AgentState, report: RunnerReport, now: float) -> None:
    agent.target = report.lifetime
    agent.clock_ms = -1
    agent.ended_seen = 0
    agent.listed_ms = 0
    agent.settled = False
    agent.answered_at = now
    agent.lapsed_at = now
    agent.urgent = True
    note_event(agent, "runner adopted", lifetime=str(report.lifetime), cpu=report.cpu)


def receive_deregistration(agent: AgentState, runner_id: str, now: float) -> None:
    """Takes the word that a runner ends."""
    if agent.report is None or agent.report.lifetime.runner_id != runner_id:
        return
    note_event(agent, "runner left", lifetime=str(agent.report.lifetime))
    lose_runner(agent, now, "the runner left")
    agent.report = None
    agent.profile_version += 1


def lose_runner(agent: AgentState, now: float, reason: str) -> None:
    """Counts the runner's lifetime as ended, and everything on it."""
    if agent.target is None:
        return
    note_event(agent, "runner lost", lifetime=str(agent.target), why=reason)
    agent.target = None
    agent.settled = False
    lose_runs(agent, now, reason)


def lose_runs(agent: AgentState, now: float, reason: str) -> None:
    """Ends all runs; those that still wait were never started."""
    for run in list(agent.runs.values()):
        waits = run.state == RunState.WAITING
        end_run(agent, run, Outcome.RETURNED if waits else Outcome.LOST, now, detail=reason)


def begin_shutdown(agent: AgentState, now: float) -> None:
    """Takes no new work, and gives back what waits."""
    agent.stopping = True
    _return_waiting(agent, now)


def _return_waiting(agent: AgentState, now: float) -> None:
    if not agent.stopping and not agent.report.draining:
        return
    for run in list(agent.runs.values()):
        if run.state == RunState.WAITING:
            end_run(agent, run, Outcome.RETURNED, now, detail="the target takes no new work")
