"""Starts and stops of runs, and the runner's replies to them."""

import heapq
import math

from comfreysill.exchange.messages import (
    MAX_CALL_DELAY_SECONDS,
    MAX_RUN_LEASE_SECONDS,
    Outcome,
)
from comfreysill.execution.answer_times import (
    compute_patience,
    record_answer,
    record_loss,
    record_silence,
)
from comfreysill.execution.calls import (
    UNANSWERED_STATUSES,
    CallReply,
    RenewCall,
    ReplyStatus,
    StartCall,
    StopCall,
)
from comfreysill.execution.closures import is_zone_closed
from comfreysill.execution.crashes import settle_crash
from comfreysill.execution.health import record_failure
from comfreysill.execution.isolation import may_start
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.state import (
    AgentState,
    count,
    end_run,
    enqueue_run,
    grant_run_lease,
    note_event,
    read_clock,
    record_clock,
    release_capacity,
    reserve_capacity,
    subtract_waiting,
)
from comfreysill.execution.unfinal_starts import record_unfinal_start, settle_start

STOP_RESEND_SECONDS = 0.12
MAX_START_CALLS = 3
# From an unanswered start to the next one of the run, after MAX_START_CALLS.
MIN_START_INTERVAL_SECONDS = 0.05
# A runner that has answered no call for this long is given no new work.
MAX_RUNNER_SILENCE_SECONDS = 0.3
MAX_IDLE_RUNNER_SILENCE_SECONDS = 0.55
# A reading of the runner's clock that is further behind its estimated time is an old one, or
# another lifetime's.
MAX_CLOCK_LAG_MS = 250
# Allows for an estimate that lags behind, as the runner's clock is read between other tasks.
MAX_CLOCK_LEAD_MS = 100
# Added to the run number after the runner has rejected it as too low.
RUN_NUMBER_JUMP = 10_000_000
ZONE_CLOSED_REASON = "its zone is closed"


def is_accepting(agent: AgentState, now: float) -> bool:
    """Returns whether the target accepts new work."""
    if agent.runner_lifetime is None or not agent.reconciled or find_bar_to_starts(agent):
        return False
    if now < agent.suspended_until:
        return False
    if is_stop_overdue(agent, now):
        return False
    max_silence = MAX_RUNNER_SILENCE_SECONDS if agent.runs else MAX_IDLE_RUNNER_SILENCE_SECONDS
    if now - agent.answered_at > max_silence:
        return False
    return not (agent.probing and agent.runs)


def find_bar_to_starts(agent: AgentState) -> str:
    """Returns why the target starts nothing more, empty if it does.

    The runner or its agent is about to end, there is no runner, or its zone is closed.
    """
    if agent.stopping or agent.deregistered or agent.report is None or agent.report.draining:
        return "the target takes no new work"
    return ZONE_CLOSED_REASON if is_zone_closed(agent) else ""


def return_barred_run(agent: AgentState, run: Run, now: float, bar: str) -> None:
    """Returns a run that is not to be started here, for the reason `bar`.

    If an earlier start of it may be carried out late, its entry keeps the task to this target for
    that time.
    """
    if bar == ZONE_CLOSED_REASON:
        count(agent, "runs_returned_zone_closed")
    end_run(agent, run, Outcome.RETURNED, now, detail=bar)


def return_waiting_runs(agent: AgentState, now: float) -> None:
    """Returns the waiting runs to their entries if the target takes no new work."""
    bar = find_bar_to_starts(agent)
    if not bar:
        return
    for run in list(agent.runs.values()):
        if run.state == RunState.WAITING:
            return_barred_run(agent, run, now, bar)


def start_waiting(agent: AgentState, now: float) -> None:
    """Queues starts of waiting runs by urgency until the next one exceeds the free capacity."""
    if agent.runner_lifetime is None or not agent.reconciled or agent.clock_ms < 0:
        return
    if agent.waiting and is_zone_closed(agent):
        # The zone of the target may have changed.
        return_waiting_runs(agent, now)
        return
    # The lease in a start call extends those of all runs.
    if agent.waiting and is_stop_overdue(agent, now):
        return
    report = agent.report
    while agent.waiting:
        run = agent.waiting[0][3]
        if run.state != RunState.WAITING or agent.runs.get(run.task) is not run:
            heapq.heappop(agent.waiting)
            continue
        if not may_start(agent, run):
            return
        if agent.cpu_used + run.batch.cpu > report.cpu:
            return
        if agent.memory_used + run.batch.memory_mb > report.memory_mb:
            return
        if agent.gpus_used + run.batch.gpus > report.gpus:
            return
        heapq.heappop(agent.waiting)
        subtract_waiting(agent, run)
        _start_run(agent, run, now)


def _start_run(agent: AgentState, run: Run, now: float) -> None:
    reserve_capacity(agent, run)
    run.state = RunState.STARTING
    run.changed_at = now
    run.start_calls_sent += 1
    agent.last_run_number += 1
    run.number = agent.last_run_number
    count(agent, "starts")
    _queue_start_call(agent, run, now)


def _queue_start_call(agent: AgentState, run: Run, now: float) -> None:
    run.lifetime = agent.runner_lifetime
    run.listed = False
    agent.open_starts.add(run.number)
    agent.calls.append(
        StartCall(
            lifetime=agent.runner_lifetime,
            task=run.task,
            run=run.number,
            payload=run.batch.payload,
            lease_until_ms=grant_run_lease(agent, now),
            token=agent.token,
            sent_at=now,
            answer_by=now + compute_patience(agent.answer_times),
        )
    )


def stop_run(
    agent: AgentState, run: Run, now: float, reason: str, due_at: float = math.inf
) -> None:
    """Queues a stop call, or marks the run to be stopped once its start is confirmed.

    Args:
        agent: The agent's state.
        run: The run.
        now: Boot-clock time in seconds.
        reason: Human-readable reason.
        due_at: Boot-clock time in seconds from which the run leases are left to expire if the run
            has not ended.
    """
    run.reason = run.reason or reason
    run.stop_due_at = min(run.stop_due_at, due_at)
    if run.state == RunState.WAITING:
        end_run(agent, run, Outcome.RETURNED, now, reason)
    elif run.state in (RunState.STARTING, RunState.UNCONFIRMED):
        run.stop_wanted = True
    elif run.state == RunState.RUNNING:
        run.state = RunState.STOPPING
        run.changed_at = now
        _queue_stop_call(agent, run, now)


def is_stop_overdue(agent: AgentState, now: float) -> bool:
    """Returns whether a run that has to be gone by now may still be at the runner."""
    if agent.orphan_stop_sent_at:
        return True
    return any(
        run.stop_due_at <= now for run in agent.runs.values() if run.state != RunState.WAITING
    )


def resend_stops(agent: AgentState, now: float) -> None:
    """Queues stop calls again for runs whose end the runner hasn't listed."""
    for run in agent.runs.values():
        retry_due = now - run.stop_sent_at >= STOP_RESEND_SECONDS
        if run.state == RunState.STOPPING and retry_due:
            _queue_stop_call(agent, run, now)


def _queue_stop_call(agent: AgentState, run: Run, now: float) -> None:
    run.stop_sent_at = now
    if agent.runner_lifetime is not None:
        agent.calls.append(
            StopCall(
                lifetime=agent.runner_lifetime, task=run.task, run=run.number, token=agent.token
            )
        )


def receive_call_reply(agent: AgentState, reply: CallReply, now: float) -> None:
    """Processes the reply to a start or stop call.

    Of the reply to a stop only the clock is used: the end is confirmed by the runner's lists.
    """
    call = reply.call
    settle_crash(agent, reply, now)
    if call.lifetime != agent.runner_lifetime:
        _settle_earlier_start(agent, reply, now)
        return
    is_current = is_clock_continuous(agent, reply.clock_ms, now)
    if is_current:
        record_clock(agent, reply.clock_ms, now)
    if reply.status not in UNANSWERED_STATUSES and reply.status != ReplyStatus.REFUSED:
        agent.answered_at = now
    if isinstance(call, StopCall):
        return
    note_answer(agent, call, reply.status, now)
    run = agent.runs.get(call.task)
    if run is not None and run.number == call.run and run.state == RunState.STARTING:
        _receive_start_reply(agent, run, reply, is_current, now)


def _receive_start_reply(
    agent: AgentState, run: Run, reply: CallReply, is_current: bool, now: float
) -> None:
    """Processes the reply to the start of a run; `is_current` if its clock is the one in use."""
    if reply.status in UNANSWERED_STATUSES:
        _hold_unanswered_start(agent, run, now)
    elif reply.status == ReplyStatus.ACCEPTED and not is_current:
        # Another lifetime of the runner may have accepted it.
        note_event(
            agent,
            "start accepted on another clock; token raised",
            task=run.task,
            entry=run.entry,
        )
        mark_unconfirmed(agent, run, now)
    elif reply.status == ReplyStatus.ACCEPTED:
        mark_running(agent, run, now)
    elif reply.status in (ReplyStatus.FENCED, ReplyStatus.LATE, ReplyStatus.OLD_RUN):
        _resend_start(agent, run, reply.call, reply.status, now)
    elif reply.status == ReplyStatus.NO_ROOM:
        # The capacity has shrunk since the last report; the target is as healthy as before.
        _return_run(agent, run, now, "the runner refused: NO_ROOM")
    elif reply.status in (ReplyStatus.GONE, ReplyStatus.REFUSED):
        agent.renew_now = True
        _return_run(agent, run, now, "the runner's lifetime has ended")
    else:
        record_failure(agent, run.batch.request_id, now)
        _return_run(agent, run, now, f"the runner refused: {reply.status.name}")


def note_answer(
    agent: AgentState, call: StartCall | RenewCall, status: ReplyStatus, now: float
) -> None:
    """Takes in whether the runner has answered a call, and how long it took for one at once."""
    times = agent.answer_times
    is_long_poll = isinstance(call, RenewCall) and call.wait_ms > 0
    if status == ReplyStatus.UNANSWERED:
        record_loss(times, now)
    if is_long_poll:
        return
    if status == ReplyStatus.UNANSWERED:
        record_silence(times)
    elif status not in (ReplyStatus.DISCONNECTED, ReplyStatus.REFUSED):
        record_answer(times, now - call.sent_at)


def _hold_unanswered_start(agent: AgentState, run: Run, now: float) -> None:
    count(agent, "starts_unanswered")
    note_event(
        agent,
        "start unanswered; token raised",
        task=run.task,
        entry=run.entry,
        token=agent.token + 1,
        waited=round(now - run.changed_at, 3),
    )
    mark_unconfirmed(agent, run, now)


def mark_running(agent: AgentState, run: Run, now: float) -> None:
    """Marks a run as running, and queues its stop if one was requested meanwhile."""
    run.state = RunState.RUNNING
    run.changed_at = now
    if run.stop_wanted:
        stop_run(agent, run, now, run.reason)


def is_clock_continuous(agent: AgentState, clock_ms: int, now: float) -> bool:
    """Returns whether a reading may be of the same clock as the readings before it.

    Each lifetime of the runner has a clock of its own. Replies to starts don't name the lifetime.
    """
    expected_ms = read_clock(agent, now)
    if clock_ms < 0 or expected_ms < 0:
        return True
    return -MAX_CLOCK_LAG_MS <= clock_ms - expected_ms <= MAX_CLOCK_LEAD_MS


def _settle_earlier_start(agent: AgentState, reply: CallReply, now: float) -> None:
    """Returns an unconfirmed run whose only call, to an earlier lifetime, was refused after all."""
    run = agent.runs.get(reply.call.task)
    if run is None or run.number != reply.call.run or run.state != RunState.UNCONFIRMED:
        return
    if not isinstance(reply.call, StartCall) or run.start_calls_sent > 1:
        return
    if reply.status != ReplyStatus.ACCEPTED and reply.status not in UNANSWERED_STATUSES:
        settle_start(agent, run)
        _return_run(agent, run, now, f"the runner refused: {reply.status.name}")


def mark_unconfirmed(agent: AgentState, run: Run, now: float) -> None:
    """Marks a start as unconfirmed until a renewal with a higher token.

    After that renewal the runner rejects the start if it arrives late.
    """
    agent.token += 1
    agent.renew_now = True
    if run.state == RunState.STARTING:
        run.late_until = now + MAX_CALL_DELAY_SECONDS + MAX_RUN_LEASE_SECONDS
        record_unfinal_start(agent, run, now)
    run.state = RunState.UNCONFIRMED
    run.resolving_token = agent.token


def expire_unconfirmed(agent: AgentState, now: float) -> None:
    """Ends runs whose start call is too old to be carried out, at a runner that never answered."""
    for run in list(agent.runs.values()):
        if run.state == RunState.UNCONFIRMED and now > max(run.late_until, run.held_until):
            end_run(agent, run, Outcome.LOST, now, detail="its start was never answered")


def _resend_start(
    agent: AgentState, run: Run, call: StartCall, status: ReplyStatus, now: float
) -> None:
    if is_zone_closed(agent):
        return_barred_run(agent, run, now, ZONE_CLOSED_REASON)
        return
    is_hopeless = run.start_calls_sent >= MAX_START_CALLS or run.stop_wanted
    if is_hopeless or is_stop_overdue(agent, now):
        _return_run(agent, run, now, f"the runner refused: {status.name}")
        return
    if status == ReplyStatus.OLD_RUN:
        agent.last_run_number += RUN_NUMBER_JUMP
    if status == ReplyStatus.FENCED and call.token == agent.token:
        agent.renew_now = True
    run.start_calls_sent += 1
    agent.last_run_number += 1
    run.number = agent.last_run_number
    _queue_start_call(agent, run, now)


def requeue_start(agent: AgentState, run: Run, now: float) -> None:
    """Queues a run again whose start is known to have had no effect in this lifetime.

    It stays here, however often that happens: at another target it could meet its earlier start, if
    the runner restarts. Each MAX_START_CALLS unanswered calls count as a failure of the target. If
    a stop was requested or the target is leaving, the run is returned; if the runner has restarted,
    it is lost, as it may have begun before.
    """
    if run.lifetime != agent.runner_lifetime:
        end_run(agent, run, Outcome.LOST, now, detail="the runner restarted during its start")
        return
    if run.start_calls_sent % MAX_START_CALLS == 0:
        record_failure(agent, run.batch.request_id, now)
    bar = find_bar_to_starts(agent)
    if run.stop_wanted or bar:
        return_barred_run(agent, run, now, bar or "the runner gave no answer")
        return
    release_capacity(agent, run)
    enqueue_run(agent, run)


def _return_run(agent: AgentState, run: Run, now: float, detail: str) -> None:
    end_run(agent, run, Outcome.RETURNED, now, detail)
