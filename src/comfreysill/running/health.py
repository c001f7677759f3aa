"""Judges the runner by what comes of its runs, and how slow it is."""

from comfreysill.running.book import RunBook, count, note_event

SUSPEND_AFTER_REQUESTS = 3
SUSPEND_SECONDS = 1.0
SUSPEND_MOST_SECONDS = 4.0
SMOOTHING = 0.05
SLOWNESS_LOW = 0.1
SLOWNESS_HIGH = 20.0


def record_trouble(book: RunBook, request_id: str, now: float) -> None:
    """Counts a task that failed here; tasks of several requests in a row suspend the target.

    Failures of one request count once, as the request itself may be at fault.
    """
    book.failed_requests.add(request_id)
    limit = 1 if book.probing else SUSPEND_AFTER_REQUESTS
    if len(book.failed_requests) >= limit:
        suspend_target(book, now)


def suspend_target(book: RunBook, now: float) -> None:
    """Takes no new work for a while, then one task at a time until one is done."""
    if now < book.suspended_until:
        return
    seconds = min(SUSPEND_SECONDS * 2**book.suspensions, SUSPEND_MOST_SECONDS)
    book.failed_requests.clear()
    book.suspended_until = now + seconds
    book.suspensions += 1
    book.probing = True
    count(book, "suspensions")
    note_event(book, "target suspended", seconds=seconds)


def record_success(book: RunBook, seconds: float, estimate: float) -> None:
    """Learns from a task that is done."""
    book.failed_requests.clear()
    if book.probing:
        book.probing = False
        book.suspensions = 0
        note_event(book, "target works again")
    ratio = min(max(seconds / max(estimate, 1e-3), SLOWNESS_LOW), SLOWNESS_HIGH)
    book.samples += 1
    share = max(SMOOTHING, 1 / (book.samples + 2))
    book.slowness += share * (ratio - book.slowness)
