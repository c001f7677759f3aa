"""Starts and stops of runs, and what the runner's replies to them mean."""

import heapq

from comfreysill.exchange.messages import Outcome
from comfreysill.running.book import (
    Run,
    RunBook,
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
from comfreysill.running.calls import CallReply, Reply, StartCall, StopCall
from comfreysill.running.health import record_trouble

STOP_RETRY_SECONDS = 0.12
START_TRIES = 3
# A runner that was silent for longer gets no new work.
SILENCE_SECONDS = 0.3
RUN_NUMBER_JUMP = 10_000_000


def is_accepting(book: RunBook, now: float) -> bool:
    """Tells whether the target takes new work."""
    if book.stopping or book.target is None or not book.settled:
        return False
    if book.report is None or book.report.draining or now < book.suspended_until:
        return False
    if now - book.answered_at > SILENCE_SECONDS:
        return False
    return not (book.probing and book.runs)


def start_waiting(book: RunBook, now: float) -> None:
    """Starts the most urgent waiting runs that there is room for."""
    if book.target is None or not book.settled or book.clock_ms < 0:
        return
    report = book.report
    while book.waiting:
        run = book.waiting[0][3]
        if run.state != RunState.WAITING or book.runs.get(run.task) is not run:
            heapq.heappop(book.waiting)
            continue
        if book.cpu_used + run.batch.cpu > report.cpu:
            return
        if book.memory_used + run.batch.memory_mb > report.memory_mb:
            return
        if book.gpus_used + run.batch.gpus > report.gpus:
            return
        heapq.heappop(book.waiting)
        leave_queue(book, run)
        _send_start(book, run, now)


def _send_start(book: RunBook, run: Run, now: float) -> None:
    take_room(book, run)
    run.state = RunState.STARTING
    run.changed_at = now
    run.tries += 1
    book.run_number += 1
    run.number = book.run_number
    count(book, "starts")
    _call_start(book, run, now)


def _call_start(book: RunBook, run: Run, now: float) -> None:
    book.calls.append(
        StartCall(
            lifetime=book.target,
            task=run.task,
            run=run.number,
            payload=run.batch.payload,
            lease_until=extend_lease(book, now),
            token=book.token,
        )
    )


def stop_run(book: RunBook, run: Run, now: float, reason: str) -> None:
    """Has a run end as soon as possible."""
    run.reason = run.reason or reason
    if run.state == RunState.WAITING:
        end_run(book, run, Outcome.RETURNED, now, reason)
    elif run.state in (RunState.STARTING, RunState.UNSURE):
        run.stop_wanted = True
    elif run.state == RunState.RUNNING:
        run.state = RunState.STOPPING
        run.changed_at = now
        _call_stop(book, run, now)


def repeat_stops(book: RunBook, now: float) -> None:
    """Repeats orders to stop whose ends aren't listed yet."""
    for run in book.runs.values():
        late = now - run.stop_sent_at >= STOP_RETRY_SECONDS
        if run.state == RunState.STOPPING and late:
            _call_stop(book, run, now)


def _call_stop(book: RunBook, run: Run, now: float) -> None:
    run.stop_sent_at = now
    if book.target is not None:
        book.calls.append(
            StopCall(lifetime=book.target, task=run.task, run=run.number, token=book.token)
        )


def receive_call_reply(book: RunBook, reply: CallReply, now: float) -> None:
    """Takes the reply to a start or a stop."""
    call = reply.call
    if call.lifetime != book.target:
        return
    set_clock(book, reply.clock_ms, now)
    if isinstance(call, StopCall):
        return
    run = book.runs.get(call.task)
    if run is None or run.number != call.run or run.state != RunState.STARTING:
        return
    if reply.reply == Reply.ACCEPTED:
        mark_running(book, run, now)
    elif reply.reply == Reply.UNANSWERED:
        _doubt_start(book, run, now)
    elif reply.reply in (Reply.FENCED, Reply.LATE, Reply.OLD_RUN):
        _repeat_start(book, run, call, reply.reply, now)
    elif reply.reply == Reply.GONE:
        book.urgent = True
        _give_back(book, run, now, "the runner's lifetime has ended")
    else:
        record_trouble(book, run.batch.request_id, now)
        _give_back(book, run, now, f"the runner refused: {reply.reply.name}")


def mark_running(book: RunBook, run: Run, now: float) -> None:
    """Records that the runner has the run."""
    run.state = RunState.RUNNING
    run.changed_at = now
    if run.stop_wanted:
        stop_run(book, run, now, run.reason)


def _doubt_start(book: RunBook, run: Run, now: float) -> None:
    """Raises the fencing token, so that the start can't be carried out any later."""
    book.token += 1
    book.urgent = True
    run.state = RunState.UNSURE
    run.resolving_token = book.token
    count(book, "starts_unanswered")
    note_event(book, "start unanswered; token raised", task=run.task, token=book.token)


def _repeat_start(book: RunBook, run: Run, call: StartCall, reply: Reply, now: float) -> None:
    if run.tries >= START_TRIES or run.stop_wanted:
        _give_back(book, run, now, f"the runner refused: {reply.name}")
        return
    if reply == Reply.OLD_RUN:
        book.run_number += RUN_NUMBER_JUMP
    if reply == Reply.FENCED and call.token == book.token:
        book.urgent = True
    run.tries += 1
    book.run_number += 1
    run.number = book.run_number
    _call_start(book, run, now)


def retry_start(book: RunBook, run: Run, now: float) -> None:
    """Takes back a start that certainly was not and will not be carried out."""
    if run.stop_wanted or run.tries >= START_TRIES:
        record_trouble(book, run.batch.request_id, now)
        _give_back(book, run, now, "the runner gave no answer")
        return
    free_room(book, run)
    queue_run(book, run)


def _give_back(book: RunBook, run: Run, now: float, detail: str) -> None:
    end_run(book, run, Outcome.RETURNED, now, detail)
