"""Starts and stops of runs, and what the runner's replies to them mean."""

import heapq

from comfreysill.exchange.messages import Outcome
from comfreysill.running.calls import CallReply, ReplyStatus, StartCall, StopCall
from comfreysill.running.health import record_trouble
from comfreysill.running.state import (
    AgentState,
    Run,
    RunState,
    count,
    end_run,
    extend_lease,
    free_room,
    leave_queue,
    note_event,
    queue_run,
    set_clock,
    take_room,
)

STOP_RETRY_SECONDS = 0.12
START_TRIES = 3
# A runner that was silent for longer gets no new work.
SILENCE_SECONDS = 0.3
RUN_NUMBER_JUMP = 10_000_000


def is_accepting(agent: AgentState, now: float) -> bool:
    """Tells whether the target takes new work."""
    if agent.stopping or agent.target is None or not agent.settled:
        return False
    if agent.report is None or agent.report.draining or now < agent.suspended_until:
        return False
    if now - agent.answered_at > SILENCE_SECONDS:
        return False
    return not (agent.probing and agent.runs)


def start_waiting(agent: AgentState, now: float) -> None:
    """Starts the most urgent waiting runs that there is room for."""
    if agent.target is None or not agent.settled or agent.clock_ms < 0:
        return
    report = agent.report
    while agent.waiting:
        run = agent.waiting[0][3]
        if run.state != RunState.WAITING or agent.runs.get(run.task) is not run:
            heapq.heappop(agent.waiting)
            continue
        if agent.cpu_used + run.batch.cpu > report.cpu:
            return
        if agent.memory_used + run.batch.memory_mb > report.memory_mb:
            return
        if agent.gpus_used + run.batch.gpus > report.gpus:
            return
        heapq.heappop(agent.waiting)
        leave_queue(agent, run)
        _send_start(agent, run, now)


def _send_start(agent: AgentState, run: Run, now: float) -> None:
    take_room(agent, run)
    run.state = RunState.STARTING
    run.changed_at = now
    run.tries += 1
    agent.run_number += 1
    run.number = agent.run_number
    count(agent, "starts")
    _call_start(agent, run, now)


def _call_start(agent: AgentState, run: Run, now: float) -> None:
    agent.calls.append(
        StartCall(
            lifetime=agent.target,
            task=run.task,
            run=run.number,
            payload=run.batch.payload,
            lease_until=extend_lease(agent, now),
            token=agent.token,
        )
    )


def stop_run(agent: AgentState, run: Run, now: float, reason: str) -> None:
    """Has a run end as soon as possible."""
    run.reason = run.reason or reason
    if run.state == RunState.WAITING:
        end_run(agent, run, Outcome.RETURNED, now, reason)
    elif run.state in (RunState.STARTING, RunState.UNSURE):
        run.stop_wanted = True
    elif run.state == RunState.RUNNING:
        run.state = RunState.STOPPING
        run.changed_at = now
        _call_stop(agent, run, now)


def repeat_stops(agent: AgentState, now: float) -> None:
    """Repeats orders to stop whose ends aren't listed yet."""
    for run in agent.runs.values():
        late = now - run.stop_sent_at >= STOP_RETRY_SECONDS
        if run.state == RunState.STOPPING and late:
            _call_stop(agent, run, now)


def _call_stop(agent: AgentState, run: Run, now: float) -> None:
    run.stop_sent_at = now
    if agent.target is not None:
        agent.calls.append(
            StopCall(lifetime=agent.target, task=run.task, run=run.number, token=agent.token)
        )


def receive_call_reply(agent: AgentState, reply: CallReply, now: float) -> None:
    """Takes the reply to a start or a stop."""
    call = reply.call
    if call.lifetime != agent.target:
        return
    set_clock(agent, reply.clock_ms, now)
    if isinstance(call, StopCall):
        return
    run = agent.runs.get(call.task)
    if run is None or run.number != call.run or run.state != RunState.STARTING:
        return
    if reply.reply == ReplyStatus.ACCEPTED:
        mark_running(agent, run, now)
    elif reply.reply == ReplyStatus.UNANSWERED:
        _doubt_start(agent, run, now)
    elif reply.reply in (ReplyStatus.FENCED, ReplyStatus.LATE, ReplyStatus.OLD_RUN):
        _repeat_start(agent, run, call, reply.reply, now)
    elif reply.reply == ReplyStatus.GONE:
        agent.urgent = True
        _give_back(agent, run, now, "the runner's lifetime has ended")
    else:
        record_trouble(agent, run.batch.request_id, now)
        _give_back(agent, run, now, f"the runner refused: {reply.reply.name}")


def mark_running(agent: AgentState, run: Run, now: float) -> None:
    """Records that the runner has the run."""
    run.state = RunState.RUNNING
    run.changed_at = now
    if run.stop_wanted:
        stop_run(agent, run, now, run.reason)


def _doubt_start(agent: AgentState, run: Run, now: float) -> None:
    """Raises the fencing token, so that the start can't be carried out any later."""
    agent.token += 1
    agent.urgent = True
    run.state = RunState.UNSURE
    run.resolving_token = agent.token
    count(agent, "starts_unanswered")
    note_event(agent, "start unanswered; token raised", task=run.task, token=agent.token)


def _repeat_start(
    agent: AgentState, run: Run, call: StartCall, reply: ReplyStatus, now: float
) -> None:
    if run.tries >= START_TRIES or run.stop_wanted:
        _give_back(agent, run, now, f"the runner refused: {reply.name}")
        return
    if reply == ReplyStatus.OLD_RUN:
        agent.run_number += RUN_NUMBER_JUMP
    if reply == ReplyStatus.FENCED and call.token == agent.token:
        agent.urgent = True
    run.tries += 1
    agent.run_number += 1
    run.number = agent.run_number
    _call_start(agent, run, now)


def retry_start(agent: AgentState, run: Run, now: float) -> None:
    """Takes back a start that certainly was not and will not be carried out."""
    if run.stop_wanted or run.tries >= START_TRIES:
        record_trouble(agent, run.batch.request_id, now)
        _give_back(agent, run, now, "the runner gave no answer")
        return
    free_room(agent, run)
    queue_run(agent, run)


def _give_back(agent: AgentState, run: Run, now: float, detail: str) -> None:
    end_run(agent, run, Outcome.RETURNED, now, detail)
