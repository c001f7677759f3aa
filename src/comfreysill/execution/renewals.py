"""Lease renewals at the runner, and processing of the lists of runs in its replies."""

from comfreysill.exchange.messages import (
    LEASE_MARGIN_SECONDS,
    MAX_RUN_LEASE_SECONDS,
    Outcome,
)
from comfreysill.execution.answer_times import compute_patience
from comfreysill.execution.calls import (
    UNANSWERED_STATUSES,
    RenewCall,
    RenewReply,
    ReplyStatus,
    RunEnd,
    StopCall,
)
from comfreysill.execution.crashes import list_started_runs
from comfreysill.execution.health import record_failure, record_success
from comfreysill.execution.progress import evaluate_progress
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.runner import end_all_runs, end_runner_lifetime
from comfreysill.execution.starts import (
    MAX_START_CALLS,
    MIN_START_INTERVAL_SECONDS,
    STOP_RESEND_SECONDS,
    expire_unconfirmed,
    is_clock_continuous,
    is_stop_overdue,
    mark_running,
    note_answer,
    requeue_start,
)
from comfreysill.execution.state import (
    AgentState,
    end_run,
    grant_run_lease,
    note_event,
    record_clock,
)
from comfreysill.execution.unfinal_starts import settle_start

RENEWAL_WAIT_MS = 150
# Without runs there is no lease to extend; the renewals show that the runner answers.
IDLE_RENEWAL_WAIT_MS = 400
# Shorter where calls get lost: a run that ends during a poll without an answer is known to have
# ended only after it.
LOSSY_RENEWAL_WAIT_MS = 40
# Time from a renewal that failed to the next one; from its sending if it got no answer. A runner
# that resets connections fails a call at once; without the delay the agent would call it without a
# pause.
RENEWAL_RETRY_SECONDS = 0.05
# After this time without an answer the run leases are no longer renewed, so that they expire.
RENEWAL_GIVE_UP_SECONDS = 0.55
# A reply with this many ended runs may leave out others.
MAX_ENDS_PER_REPLY = 500
# Added to a fencing token that the runner has rejected as too low.
TOKEN_JUMP = 1000


def queue_renewal(agent: AgentState, now: float) -> None:
    """Queues a renewal if none is in flight or `renew_now` is set.

    Does nothing while no runner is in use. The call extends the run leases only if the agent has
    runs, the runner has answered within RENEWAL_GIVE_UP_SECONDS, and no stop is overdue: a lease
    covers all runs, so that one that can't be stopped ends only if all of them expire.
    """
    if agent.runner_lifetime is None:
        return
    if agent.renewals_in_flight and not agent.renew_now:
        return
    if now < agent.renewal_due_at:
        return
    silent = agent.answered_at and now - agent.answered_at > RENEWAL_GIVE_UP_SECONDS
    is_extending = agent.runs and not silent and not is_stop_overdue(agent, now)
    wait_ms = _choose_wait_ms(agent, now)
    agent.calls.append(
        RenewCall(
            lifetime=agent.runner_lifetime,
            token=agent.token,
            ended_seen=agent.runner_ends_seen,
            lease_until_ms=grant_run_lease(agent, now) if is_extending else 0,
            wait_ms=wait_ms,
            sent_at=now,
            answer_by=now + wait_ms / 1000 + compute_patience(agent.answer_times),
        )
    )
    agent.renewals_in_flight += 1
    agent.renew_now = False


def _choose_wait_ms(agent: AgentState, now: float) -> int:
    if agent.renew_now or not agent.reconciled:
        return 0
    if not agent.runs:
        return IDLE_RENEWAL_WAIT_MS
    return LOSSY_RENEWAL_WAIT_MS if now < agent.answer_times.lossy_until else RENEWAL_WAIT_MS


def receive_renewal(agent: AgentState, reply: RenewReply, now: float) -> None:
    """Processes the reply to a renewal."""
    agent.renewals_in_flight -= 1
    call = reply.call
    if call.lifetime != agent.runner_lifetime:
        return
    if _is_born_again(reply):
        end_runner_lifetime(agent, now, "the runner was born again", is_reborn=True)
        return
    end_reason = _find_end_of_lifetime(agent, reply)
    if end_reason:
        end_runner_lifetime(agent, now, end_reason)
        return
    note_answer(agent, call, reply.status, now)
    _delay_next_renewal(agent, reply, now)
    if reply.status in UNANSWERED_STATUSES:
        agent.disconnected = agent.disconnected or reply.status == ReplyStatus.DISCONNECTED
        agent.renew_now = True
        check_lease_expiry(agent, now)
        return
    if reply.status == ReplyStatus.REFUSED:
        return
    agent.answered_at = now
    agent.disconnected = False
    # Only lists tell the lifetime that answers; a clock may be another one's.
    if reply.status == ReplyStatus.ACCEPTED or is_clock_continuous(agent, reply.clock_ms, now):
        record_clock(agent, reply.clock_ms, now)
    if reply.status == ReplyStatus.FENCED:
        if call.token == agent.token:
            agent.token += TOKEN_JUMP
            note_event(agent, "fencing token was too low; raised", token=agent.token)
        return
    if reply.status != ReplyStatus.ACCEPTED:
        return
    agent.silent_runs = []
    _apply_ends(agent, reply.ended, now)
    # Replies may arrive out of order; an older list says nothing about the current runs.
    if reply.clock_ms >= agent.listed_at_ms:
        agent.listed_at_ms = reply.clock_ms
        _reconcile_runs(agent, reply, now)


def _delay_next_renewal(agent: AgentState, reply: RenewReply, now: float) -> None:
    """Sets the time of the next renewal after one that failed."""
    if reply.status in (ReplyStatus.ACCEPTED, ReplyStatus.FENCED):
        return
    is_unanswered = reply.status == ReplyStatus.UNANSWERED
    failed_at = reply.call.sent_at if is_unanswered else now
    agent.renewal_due_at = failed_at + RENEWAL_RETRY_SECONDS


def _find_end_of_lifetime(agent: AgentState, reply: RenewReply) -> str:
    """Returns why a reply shows that the addressed lifetime has ended, empty if it doesn't."""
    if reply.status == ReplyStatus.GONE:
        return "another lifetime answered"
    # The end of a process closes its open connections before new ones are refused; a cut that
    # refuses new ones leaves the open ones silent, or resets them.
    is_refused = reply.status == ReplyStatus.REFUSED and not agent.renewals_in_flight
    if is_refused and agent.disconnected:
        return "nothing listens at its address"
    return ""


def _is_born_again(reply: RenewReply) -> bool:
    """Returns whether a later lifetime under the same id has answered."""
    expected_ms = reply.call.lifetime.started_at_ms
    is_other = reply.started_at_ms and expected_ms and reply.started_at_ms != expected_ms
    return bool(is_other) and reply.status != ReplyStatus.GONE


def check_lease_expiry(agent: AgentState, now: float) -> None:
    """Ends all runs once every run lease has expired at a runner that answers no renewals."""
    expire_unconfirmed(agent, now)
    is_silent = agent.answered_at and now - agent.answered_at > RENEWAL_GIVE_UP_SECONDS
    if not is_silent or now <= agent.leases_expire_at:
        return
    if agent.reconciled:
        agent.reconciled = False
        agent.silent_runs = list_started_runs(agent)
        end_all_runs(agent, now, "the runner gave no answer until its lease lapsed")
    if agent.deregistered:
        reason = "it has deregistered and gives no answer"
        end_runner_lifetime(agent, now, reason, is_certain=False)


def _apply_ends(agent: AgentState, ended: list[RunEnd], now: float) -> None:
    for end in ended:
        if end.number <= agent.runner_ends_seen:
            continue
        agent.runner_ends_seen = end.number
        run = agent.runs.get(end.task)
        if run is not None and run.number == end.run and run.state != RunState.WAITING:
            _apply_end(agent, run, end.outcome, now)


def _apply_end(agent: AgentState, run: Run, outcome: str, now: float) -> None:
    if outcome == "done":
        seconds = now - run.changed_at if run.state == RunState.RUNNING else 0.0
        if seconds:
            batch = run.batch
            record_success(agent, seconds, batch.estimate * batch.run_factor, batch.route, now)
        end_run(agent, run, Outcome.DONE, now, seconds=seconds)
    elif outcome == "failed":
        record_failure(agent, run.batch.request_id, now)
        end_run(agent, run, Outcome.FAILED, now)
    else:
        end_run(
            agent, run, Outcome.LOST, now, detail=run.reason or f"the runner ended it: {outcome}"
        )


def _reconcile_runs(agent: AgentState, reply: RenewReply, now: float) -> None:
    listed = {listed_run.task: listed_run.run for listed_run in reply.running}
    for run in list(agent.runs.values()):
        if run.state == RunState.WAITING:
            continue
        is_listed = listed.get(run.task) == run.number
        run.listed = run.listed or is_listed
        if run.state == RunState.UNCONFIRMED:
            _resolve_unconfirmed_start(agent, run, reply, listed.get(run.task), now)
        elif run.state == RunState.STARTING:
            if is_listed:
                mark_running(agent, run, now)
        elif not is_listed:
            # The list may lack a run that was started after the call was sent.
            predates_call = run.changed_at < reply.call.sent_at
            if predates_call and len(reply.ended) < MAX_ENDS_PER_REPLY:
                end_run(agent, run, Outcome.LOST, now, detail="the runner doesn't list it")
    evaluate_progress(agent, reply.running, now)
    _stop_orphaned_runs(agent, listed, now)
    if not agent.reconciled and not any(name not in agent.runs for name in listed):
        agent.reconciled = True
        note_event(
            agent, "runner reconciled", token=agent.token, lifetime=str(agent.runner_lifetime)
        )


def _resolve_unconfirmed_start(
    agent: AgentState, run: Run, reply: RenewReply, listed_number: int | None, now: float
) -> None:
    if listed_number == run.number:
        if run.start_calls_sent == 1:
            # Its only call has been carried out.
            settle_start(agent, run)
        if run.lifetime != agent.runner_lifetime:
            # The lease in its call was for another clock.
            run.lifetime = agent.runner_lifetime
            lease_end = now + MAX_RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
            agent.leases_expire_at = max(agent.leases_expire_at, lease_end)
        mark_running(agent, run, now)
    elif listed_number is None and reply.call.token >= run.resolving_token:
        may_retry = run.start_calls_sent < MAX_START_CALLS or run.stop_wanted
        if may_retry or now - run.changed_at >= MIN_START_INTERVAL_SECONDS:
            requeue_start(agent, run, now)


def _stop_orphaned_runs(agent: AgentState, listed: dict[str, int], now: float) -> None:
    """Queues stops of listed runs that the agent has no record of.

    They are from an earlier lifetime of the agent, or from a start that arrived late. A stop is
    queued again after STOP_RESEND_SECONDS while the run is still listed.
    """
    for name, number in listed.items():
        run = agent.runs.get(name)
        if run is not None and (run.number == number or run.state == RunState.STARTING):
            continue
        if now - agent.orphan_stop_sent_at.get(name, 0.0) < STOP_RESEND_SECONDS:
            continue
        agent.orphan_stop_sent_at[name] = now
        note_event(agent, "orphaned run stopped", task=name, run=number)
        agent.calls.append(
            StopCall(lifetime=agent.runner_lifetime, task=name, run=number, token=agent.token)
        )
    for name in [name for name in agent.orphan_stop_sent_at if name not in listed]:
        del agent.orphan_stop_sent_at[name]
