"""Renewals of the runner's lease, and the lists of runs that come back with them."""

from comfreysill.exchange.messages import Outcome
from comfreysill.running.calls import RenewCall, RenewReply, ReplyStatus, RunEnd, StopCall
from comfreysill.running.health import record_success, record_trouble
from comfreysill.running.progress import judge_progress
from comfreysill.running.runner import lose_runner, lose_runs
from comfreysill.running.starts import STOP_RETRY_SECONDS, mark_running, retry_start
from comfreysill.running.state import (
    AgentState,
    Run,
    RunState,
    end_run,
    extend_lease,
    note_event,
    set_clock,
)

RENEW_WAIT_MS = 150
# Without an answer for this long the lease is no longer renewed, so that it lapses.
RENEW_GIVE_UP_SECONDS = 0.55
ENDS_PER_REPLY = 500
TOKEN_JUMP = 1000


def call_renewal(agent: AgentState, now: float) -> None:
    """Sends the next renewal if none is out, or one at once where something is in doubt."""
    if agent.target is None:
        return
    if agent.renewals_out and not agent.urgent:
        return
    silent = agent.answered_at and now - agent.answered_at > RENEW_GIVE_UP_SECONDS
    agent.calls.append(
        RenewCall(
            lifetime=agent.target,
            token=agent.token,
            ended_seen=agent.ended_seen,
            lease_until=0 if silent or not agent.runs else extend_lease(agent, now),
            wait_ms=0 if agent.urgent or not agent.settled else RENEW_WAIT_MS,
            sent_at=now,
        )
    )
    agent.renewals_out += 1
    agent.urgent = False


def receive_renewal(agent: AgentState, reply: RenewReply, now: float) -> None:
    """Takes the reply to a renewal."""
    agent.renewals_out -= 1
    call = reply.call
    if call.lifetime != agent.target:
        return
    if reply.reply == ReplyStatus.GONE:
        lose_runner(agent, now, "another lifetime answered")
        return
    if reply.reply == ReplyStatus.UNANSWERED:
        agent.urgent = True
        check_lease_expiry(agent, now)
        return
    agent.answered_at = now
    set_clock(agent, reply.clock_ms, now)
    if reply.reply == ReplyStatus.FENCED:
        if call.token == agent.token:
            agent.token += TOKEN_JUMP
            note_event(agent, "fencing token was too low", token=agent.token)
        return
    if reply.reply != ReplyStatus.ACCEPTED:
        return
    if (
        reply.started_at_ms
        and call.lifetime.started_at_ms
        and reply.started_at_ms != call.lifetime.started_at_ms
    ):
        lose_runner(agent, now, "the runner was born again")
        return
    _take_ends(agent, reply.ended, now)
    # Replies may overtake one another; an older list says nothing about what runs now.
    if reply.clock_ms >= agent.listed_ms:
        agent.listed_ms = reply.clock_ms
        _compare_runs(agent, reply, now)


def check_lease_expiry(agent: AgentState, now: float) -> None:
    """Counts all runs as ended once no lease can hold any more."""
    silent = now - agent.answered_at > RENEW_GIVE_UP_SECONDS
    if agent.answered_at and silent and agent.settled and now > agent.lapsed_at:
        agent.settled = False
        lose_runs(agent, now, "the runner gave no answer until its lease lapsed")


def _take_ends(agent: AgentState, ended: list[RunEnd], now: float) -> None:
    for end in ended:
        if end.number <= agent.ended_seen:
            continue
        agent.ended_seen = end.number
        run = agent.runs.get(end.task)
        if run is not None and run.number == end.run and run.state != RunState.WAITING:
            _take_end(agent, run, end.outcome, now)


def _take_end(agent: AgentState, run: Run, outcome: str, now: float) -> None:
    if outcome == "done":
        seconds = now - run.changed_at if run.state == RunState.RUNNING else 0.0
        if seconds:
            record_success(agent, seconds, run.batch.estimate)
        end_run(agent, run, Outcome.DONE, now, seconds=seconds)
    elif outcome == "failed":
        record_trouble(agent, run.batch.request_id, now)
        end_run(agent, run, Outcome.FAILED, now)
    else:
        end_run(
            agent, run, Outcome.LOST, now, detail=run.reason or f"the runner ended it: {outcome}"
        )


def _compare_runs(agent: AgentState, reply: RenewReply, now: float) -> None:
    listed = {entry.task: entry.run for entry in reply.running}
    for run in list(agent.runs.values()):
        if run.state == RunState.WAITING:
            continue
        there = listed.get(run.task) == run.number
        if run.state == RunState.UNSURE:
            _settle_unsure(agent, run, reply, there, now)
        elif run.state == RunState.STARTING:
            if there:
                mark_running(agent, run, now)
        elif not there:
            older = run.changed_at < reply.call.sent_at
            if older and len(reply.ended) < ENDS_PER_REPLY:
                end_run(agent, run, Outcome.LOST, now, detail="the runner doesn't list it")
    judge_progress(agent, reply.running, now)
    _stop_strays(agent, listed, now)
    if not agent.settled and not any(name not in agent.runs for name in listed):
        agent.settled = True
        note_event(agent, "runner is settled", token=agent.token, lifetime=str(agent.target))


def _settle_unsure(agent: AgentState, run: Run, reply: RenewReply, there: bool, now: float) -> None:
    if there:
        mark_running(agent, run, now)
    elif reply.call.token >= run.resolving_token:
        retry_start(agent, run, now)


def _stop_strays(agent: AgentState, listed: dict[str, int], now: float) -> None:
    """Stops runs that an earlier agent started or that were carried out late."""
    for name, number in listed.items():
        run = agent.runs.get(name)
        if run is not None and (run.number == number or run.state == RunState.STARTING):
            continue
        if now - agent.strays.get(name, 0.0) < STOP_RETRY_SECONDS:
            continue
        agent.strays[name] = now
        note_event(agent, "stray run stopped", task=name, run=number)
        agent.calls.append(
            StopCall(lifetime=agent.target, task=name, run=number, token=agent.token)
        )
    for name in [name for name in agent.strays if name not in listed]:
        del agent.strays[name]
