"""The runner's lifetimes: its reports, its leaving and its death."""

from comfreysill.exchange.messages import Outcome
from comfreysill.running.book import RunBook, RunState, count, end_run, note_event
from comfreysill.running.calls import RunnerReport


def receive_report(book: RunBook, report: RunnerReport, now: float) -> bool:
    """Takes a runner's report.

    Returns:
        False when it comes from an earlier lifetime and is passed over.
    """
    known = book.report
    if known is not None and known.lifetime == report.lifetime:
        if report.sequence < known.sequence and report.sequence:
            return False
        if report.draining and not known.draining:
            note_event(book, "runner drains", lifetime=str(report.lifetime))
        if report.draining != known.draining or report.cpu != known.cpu:
            book.profile_version += 1
        book.report = report
        _return_waiting(book, now)
    elif known is not None and report.lifetime.born < known.lifetime.born:
        count(book, "reports_stale")
        return False
    else:
        lose_runner(book, now, "a new lifetime reported")
        book.report = report
        book.profile_version += 1
    if book.target is None:
        _adopt_runner(book, report, now)
    return True


def _adopt_runner(book: RunBook, report: RunnerReport, now: float) -> None:
    book.target = report.lifetime
    book.clock_ms = -1
    book.ended_seen = 0
    book.listed_ms = 0
    book.settled = False
    book.answered_at = now
    book.lapsed_at = now
    book.urgent = True
    note_event(book, "runner adopted", lifetime=str(report.lifetime), cpu=report.cpu)


def leave_runner(book: RunBook, runner_id: str, now: float) -> None:
    """Takes the word that a runner ends."""
    if book.report is None or book.report.lifetime.runner_id != runner_id:
        return
    note_event(book, "runner left", lifetime=str(book.report.lifetime))
    lose_runner(book, now, "the runner left")
    book.report = None
    book.profile_version += 1


def lose_runner(book: RunBook, now: float, reason: str) -> None:
    """Counts the runner's lifetime as ended, and everything on it."""
    if book.target is None:
        return
    note_event(book, "runner lost", lifetime=str(book.target), why=reason)
    book.target = None
    book.settled = False
    lose_runs(book, now, reason)


def lose_runs(book: RunBook, now: float, reason: str) -> None:
    """Ends all runs; those that still wait were never started."""
    for run in list(book.runs.values()):
        waits = run.state == RunState.WAITING
        end_run(book, run, Outcome.RETURNED if waits else Outcome.LOST, now, detail=reason)


def begin_stop(book: RunBook, now: float) -> None:
    """Takes no new work, and gives back what waits."""
    book.stopping = True
    _return_waiting(book, now)


def _return_waiting(book: RunBook, now: float) -> None:
    if not book.stopping and not book.report.draining:
        return
    for run in list(book.runs.values()):
        if run.state == RunState.WAITING:
            end_run(book, run, Outcome.RETURNED, now, detail="the target takes no new work")
