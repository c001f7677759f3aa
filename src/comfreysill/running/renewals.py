"""Renewals of the runner's lease, and the lists of runs that come back with them."""

from comfreysill.exchange.messages import Outcome
from comfreysill.running.book import (
    Run,
    RunBook,
    RunState,
    end_run,
    extend_lease,
    note_event,
    set_clock,
)
from comfreysill.running.calls import RenewCall, RenewReply, Reply, RunEnd, StopCall
from comfreysill.running.health import record_success, record_trouble
from comfreysill.running.progress import judge_progress
from comfreysill.running.runner import lose_runner, lose_runs
from comfreysill.running.starts import STOP_RETRY_SECONDS, mark_running, retry_start

RENEW_WAIT_MS = 150
# Without an answer for this long the lease is no longer renewed, so that it lapses.
RENEW_GIVE_UP_SECONDS = 0.55
ENDS_PER_REPLY = 500
TOKEN_JUMP = 1000


def call_renewal(book: RunBook, now: float) -> None:
    """Sends the next renewal if none is out, or one at once where something is in doubt."""
    if book.target is None:
        return
    if book.renewals_out and not book.urgent:
        return
    silent = book.answered_at and now - book.answered_at > RENEW_GIVE_UP_SECONDS
    book.calls.append(
        RenewCall(
            lifetime=book.target,
            token=book.token,
            ended_seen=book.ended_seen,
            lease_until=0 if silent or not book.runs else extend_lease(book, now),
            wait_ms=0 if book.urgent or not book.settled else RENEW_WAIT_MS,
            sent_at=now,
        )
    )
    book.renewals_out += 1
    book.urgent = False


def receive_renewal(book: RunBook, reply: RenewReply, now: float) -> None:
    """Takes the reply to a renewal."""
    book.renewals_out -= 1
    call = reply.call
    if call.lifetime != book.target:
        return
    if reply.reply == Reply.GONE:
        lose_runner(book, now, "another lifetime answered")
        return
    if reply.reply == Reply.UNANSWERED:
        book.urgent = True
        check_lapse(book, now)
        return
    book.answered_at = now
    set_clock(book, reply.clock_ms, now)
    if reply.reply == Reply.FENCED:
        if call.token == book.token:
            book.token += TOKEN_JUMP
            note_event(book, "fencing token was too low", token=book.token)
        return
    if reply.reply != Reply.ACCEPTED:
        return
    if reply.born and call.lifetime.born and reply.born != call.lifetime.born:
        lose_runner(book, now, "the runner was born again")
        return
    _take_ends(book, reply.ended, now)
    # Replies may overtake one another; an older list says nothing about what runs now.
    if reply.clock_ms >= book.listed_ms:
        book.listed_ms = reply.clock_ms
        _compare_runs(book, reply, now)


def check_lapse(book: RunBook, now: float) -> None:
    """Counts all runs as ended once no lease can hold any more."""
    silent = now - book.answered_at > RENEW_GIVE_UP_SECONDS
    if book.answered_at and silent and book.settled and now > book.lapsed_at:
        book.settled = False
        lose_runs(book, now, "the runner gave no answer until its lease lapsed")


def _take_ends(book: RunBook, ended: list[RunEnd], now: float) -> None:
    for end in ended:
        if end.number <= book.ended_seen:
            continue
        book.ended_seen = end.number
        run = book.runs.get(end.task)
        if run is not None and run.number == end.run and run.state != RunState.WAITING:
            _take_end(book, run, end.how, now)


def _take_end(book: RunBook, run: Run, how: str, now: float) -> None:
    if how == "done":
        seconds = now - run.changed_at if run.state == RunState.RUNNING else 0.0
        if seconds:
            record_success(book, seconds, run.batch.estimate)
        end_run(book, run, Outcome.DONE, now, seconds=seconds)
    elif how == "failed":
        record_trouble(book, run.batch.request_id, now)
        end_run(book, run, Outcome.FAILED, now)
    else:
        end_run(book, run, Outcome.LOST, now, detail=run.reason or f"the runner ended it: {how}")


def _compare_runs(book: RunBook, reply: RenewReply, now: float) -> None:
    listed = {entry.task: entry.run for entry in reply.running}
    for run in list(book.runs.values()):
        if run.state == RunState.WAITING:
            continue
        there = listed.get(run.task) == run.number
        if run.state == RunState.UNSURE:
            _settle_unsure(book, run, reply, there, now)
        elif run.state == RunState.STARTING:
            if there:
                mark_running(book, run, now)
        elif not there:
            older = run.changed_at < reply.call.sent_at
            if older and len(reply.ended) < ENDS_PER_REPLY:
                end_run(book, run, Outcome.LOST, now, detail="the runner doesn't list it")
    judge_progress(book, reply.running, now)
    _stop_strays(book, listed, now)
    if not book.settled and not any(name not in book.runs for name in listed):
        book.settled = True
        note_event(book, "runner is settled", token=book.token, lifetime=str(book.target))


def _settle_unsure(book: RunBook, run: Run, reply: RenewReply, there: bool, now: float) -> None:
    if there:
        mark_running(book, run, now)
    elif reply.call.token >= run.resolving_token:
        retry_start(book, run, now)


def _stop_strays(book: RunBook, listed: dict[str, int], now: float) -> None:
    """Stops runs that an earlier agent started or that were carried out late."""
    for name, number in listed.items():
        run = book.runs.get(name)
        if run is not None and (run.number == number or run.state == RunState.STARTING):
            continue
        if now - book.strays.get(name, 0.0) < STOP_RETRY_SECONDS:
            continue
        book.strays[name] = now
        note_event(book, "stray run stopped", task=name, run=number)
        book.calls.append(StopCall(lifetime=book.target, task=name, run=number, token=book.token))
    for name in [name for name in book.strays if name not in listed]:
        del book.strays[name]
