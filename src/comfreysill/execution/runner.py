"""Lifetimes of the runner: its reports, its deregistration and the end of a lifetime."""

from comfreysill.exchange.messages import (
    LEASE_MARGIN_SECONDS,
    MAX_RUN_LEASE_SECONDS,
    Outcome,
)
from comfreysill.execution.answer_times import AnswerTimes
from comfreysill.execution.calls import RunnerReport
from comfreysill.execution.capacity import return_excess_runs
from comfreysill.execution.crashes import record_crash
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.starts import mark_unconfirmed, return_waiting_runs
from comfreysill.execution.state import (
    AgentState,
    count,
    end_run,
    note_event,
    reserve_capacity,
    subtract_waiting,
)
from comfreysill.execution.unfinal_starts import settle_start, settle_starts_under_other_ids


def receive_report(agent: AgentState, report: RunnerReport, now: float) -> bool:
    """Processes a report of the runner.

    Returns:
        False if the report was ignored, being from an earlier lifetime or out of order.
    """
    previous = agent.report
    if report.lifetime == agent.departed_lifetime:
        count(agent, "reports_stale")
        return False
    if previous is not None and previous.lifetime == report.lifetime:
        if report.sequence < previous.sequence and report.sequence:
            return False
        _update_report(agent, previous, report, now)
    elif previous is not None and report.lifetime.started_at_ms < previous.lifetime.started_at_ms:
        count(agent, "reports_stale")
        return False
    else:
        ended = agent.runner_lifetime
        is_reborn = ended is not None and ended.runner_id == report.lifetime.runner_id
        end_runner_lifetime(agent, now, "a new lifetime reported", is_reborn=is_reborn)
        agent.report = report
        agent.profile_version += 1
    if agent.runner_lifetime is None:
        _adopt_runner(agent, report, now)
    return True


def _update_report(
    agent: AgentState, previous: RunnerReport, report: RunnerReport, now: float
) -> None:
    """Processes a newer report of the lifetime in use."""
    if report.draining and not previous.draining:
        note_event(agent, "runner is draining", lifetime=str(report.lifetime))
    if report.draining != previous.draining:
        agent.profile_version += 1
    if _get_capacity(report) != _get_capacity(previous):
        agent.profile_version += 1
        note_event(
            agent,
            "capacity changed",
            cpu=report.cpu,
            cpu_before=previous.cpu,
            memory_mb=report.memory_mb,
            memory_before=previous.memory_mb,
        )
    agent.report = report
    if report.sequence > previous.sequence:
        agent.deregistered = False
    return_waiting_runs(agent, now)
    return_excess_runs(agent, now)


def _get_capacity(report: RunnerReport) -> tuple[int, int, int]:
    return report.cpu, report.memory_mb, report.gpus


def _adopt_runner(agent: AgentState, report: RunnerReport, now: float) -> None:
    agent.runner_lifetime = report.lifetime
    agent.answer_times = AnswerTimes()
    # Calls to an earlier lifetime under the same id may be carried out late by this one, which has
    # seen no token.
    agent.token += 1
    _settle_starts_under_other_ids(agent, report.lifetime.runner_id, now)
    agent.clock_ms = -1
    agent.runner_ends_seen = 0
    agent.listed_at_ms = 0
    agent.reconciled = False
    agent.silent_runs = []
    agent.answered_at = now
    agent.disconnected = False
    agent.leases_expire_at = now
    agent.renew_now = True
    agent.renewal_due_at = 0.0
    note_event(agent, "runner adopted", lifetime=str(report.lifetime), cpu=report.cpu)


def receive_deregistration(agent: AgentState, runner_id: str, now: float) -> None:
    """Processes the deregistration of a runner that is shutting down.

    The call names no lifetime and may arrive late, when the next one is in use. So the runner is
    given no new work, and its runs end when it no longer answers; a newer report of it shows that
    an earlier lifetime has deregistered.
    """
    if agent.runner_lifetime is None or agent.runner_lifetime.runner_id != runner_id:
        return
    note_event(agent, "runner deregistered", lifetime=str(agent.runner_lifetime))
    agent.deregistered = True
    agent.renew_now = True
    return_waiting_runs(agent, now)


def end_runner_lifetime(
    agent: AgentState, now: float, reason: str, is_certain: bool = True, is_reborn: bool = False
) -> None:
    """Marks the runner's lifetime as ended, if one is in use, and ends all runs on it.

    A lifetime that ends neither after a deregistration nor while draining has crashed. Unless
    `is_certain`, a later report of it shows that it goes on. If `is_reborn`, a later lifetime is
    there under its id.
    """
    if agent.runner_lifetime is None:
        return
    if agent.deregistered or agent.report.draining:
        note_event(agent, "runner lost", lifetime=str(agent.runner_lifetime), why=reason)
    else:
        record_crash(agent, reason, now)
    if agent.deregistered:
        agent.departed_lifetime = agent.runner_lifetime if is_certain else None
        agent.report = None
        agent.profile_version += 1
    agent.deregistered = False
    agent.runner_lifetime = None
    agent.reconciled = False
    end_all_runs(agent, now, reason, is_reborn)


def end_all_runs(agent: AgentState, now: float, reason: str, is_reborn: bool = False) -> None:
    """Ends the runs of a lifetime: waiting ones as RETURNED, started ones as LOST.

    Those with a start call that got no answer become unconfirmed, as the call may be carried out
    late; if `is_reborn`, also those that no list has shown, as a later lifetime of the runner may
    have accepted them.
    """
    for run in list(agent.runs.values()):
        if run.state == RunState.UNCONFIRMED:
            continue
        if run.state == RunState.STARTING or now < run.late_until:
            _hold_run(agent, run, now, reason)
        elif run.state == RunState.WAITING:
            end_run(agent, run, Outcome.RETURNED, now, detail=reason)
        elif is_reborn and not run.listed:
            run.stop_wanted = run.stop_wanted or run.state == RunState.STOPPING
            run.held_until = now + MAX_RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
            _hold_run(agent, run, now, reason)
        else:
            end_run(agent, run, Outcome.LOST, now, detail=reason)


def _hold_run(agent: AgentState, run: Run, now: float, reason: str) -> None:
    if run.state == RunState.WAITING:
        subtract_waiting(agent, run)
        reserve_capacity(agent, run)
    count(agent, "starts_held")
    note_event(
        agent,
        "start held until it is final",
        task=run.task,
        entry=run.entry,
        run=run.number,
        why=reason,
    )
    mark_unconfirmed(agent, run, now)


def _settle_starts_under_other_ids(agent: AgentState, runner_id: str, now: float) -> None:
    """Ends unconfirmed runs whose start calls the present runner refuses, being addressed by id."""
    settle_starts_under_other_ids(agent, runner_id)
    for run in list(agent.runs.values()):
        if run.state == RunState.UNCONFIRMED and run.lifetime.runner_id != runner_id:
            settle_start(agent, run)
            end_run(agent, run, Outcome.LOST, now, detail="another runner has replaced its own")


def begin_shutdown(agent: AgentState, now: float) -> None:
    """Stops accepting new work and returns waiting runs to their entries."""
    agent.stopping = True
    return_waiting_runs(agent, now)


def is_idle(agent: AgentState) -> bool:
    """Returns whether no run can be at a runner, so that the agent may end at once.

    Held starts without a runner are none: a later lifetime of the agent can fence them as well.
    """
    if agent.runner_lifetime is not None:
        return not agent.runs
    return all(run.state == RunState.UNCONFIRMED for run in agent.runs.values())
