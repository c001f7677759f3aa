"""Ledger of the crashes that an entry knows of, and the rules that decide on tasks by it.

A task that crashes its runner takes the tasks beside it down as well. To tell which one is at
fault, suspects are run isolated: on a target without tasks of any other request. The tasks that ran
beside the one at fault before are never given up for it. A crash under an isolated task proves its
guilt, unless its target has had another crash that no proved task explains: some targets go down
and up by themselves.
"""

from collections import Counter, deque

from comfreysill.crashes.report import (
    CRASH_RETENTION_SECONDS,
    CrashReport,
    get_agent_name,
    list_request_ids,
)
from comfreysill.request.request import get_request_id

# A request is given up after this many crashes under one of its tasks, one of them conclusive.
MIN_CRASHES = 2
# The same without a conclusive crash: isolated ones of this many targets, or this many of any. One
# target that goes down and up by itself proves nothing, even to a task that is bound to it.
MIN_INCONCLUSIVE_TARGETS = 3
MIN_INCONCLUSIVE_CRASHES = 6
# A crash mostly follows the start that causes it, so that the requests that were started last are
# suspects after one crash. The other tasks become suspects after MIN_CRASHES.
SUSPECT_REQUESTS_PER_CRASH = 2
# A route is confined for this long after one of its requests was proved to crash runners.
CONFINEMENT_SECONDS = 10.0


class TaskCrashes:
    """The crashes under one task.

    Attributes:
        total: Number of crashes.
        isolated: Number of crashes with no task of another request on the runner, by target.
        conclusive: Number of isolated crashes of targets that had no unexplained crash before.
        among_last: Number of crashes with the request among those started last on the runner.
    """

    __slots__ = ("total", "isolated", "conclusive", "among_last")

    def __init__(self) -> None:
        self.total = 0
        self.isolated: Counter[str] = Counter()
        self.conclusive = 0
        self.among_last = 0


class KnownCrash:
    """A crash in the ledger.

    Attributes:
        report: The report.
        conclusive: True if it is isolated, and its target had no unexplained crash before.
        expires_at: Boot-clock time in seconds at which it is forgotten.
    """

    __slots__ = ("report", "conclusive", "expires_at")

    def __init__(self, *, report: CrashReport, conclusive: bool, expires_at: float) -> None:
        self.report = report
        self.conclusive = conclusive
        self.expires_at = expires_at


class CrashLedger:
    """The crashes that an entry knows of.

    Attributes:
        known: Known crashes, oldest first.
        crash_ids: Ids of the known crashes.
        requests: Crashes of tasks by the task's name, by request id.
        confined_until: Boot-clock time in seconds at which the confinement of a route ends, by
            route.
    """

    __slots__ = ("known", "crash_ids", "requests", "confined_until")

    def __init__(self) -> None:
        self.known: deque[KnownCrash] = deque()
        self.crash_ids: set[str] = set()
        self.requests: dict[str, dict[str, TaskCrashes]] = {}
        self.confined_until: dict[str, float] = {}


def record_crash(ledger: CrashLedger, report: CrashReport, now: float) -> list[str]:
    """Records a crash, or the tasks that a later report of a known crash names in addition.

    Returns:
        The ids of the requests whose tasks were running; empty if nothing is new.
    """
    if report.crash_id in ledger.crash_ids:
        return _extend_crash(ledger, report)
    request_ids = list_request_ids(report)
    is_isolated = len(request_ids) == 1
    is_doubtful = is_isolated and is_crash_prone(ledger, get_agent_name(report), request_ids[0])
    crash = KnownCrash(
        report=report,
        conclusive=is_isolated and not is_doubtful,
        expires_at=now + CRASH_RETENTION_SECONDS,
    )
    ledger.crash_ids.add(report.crash_id)
    ledger.known.append(crash)
    _add_crash(ledger, crash, 1)
    if report.route and any(find_deadly_task(ledger, request_id) for request_id in request_ids):
        ledger.confined_until[report.route] = now + CONFINEMENT_SECONDS
    return request_ids


def _extend_crash(ledger: CrashLedger, report: CrashReport) -> list[str]:
    """Adds the tasks to a known crash that only this report of it names."""
    crash = next(crash for crash in ledger.known if crash.report.crash_id == report.crash_id)
    known = crash.report
    if set(report.tasks) <= set(known.tasks):
        return []
    _add_crash(ledger, crash, -1)
    crash.report = CrashReport(
        crash_id=known.crash_id,
        tasks=tuple(dict.fromkeys((*report.tasks, *known.tasks))),
        route=report.route,
    )
    request_ids = list_request_ids(crash.report)
    crash.conclusive = crash.conclusive and len(request_ids) == 1
    _add_crash(ledger, crash, 1)
    return request_ids


def expire_crashes(ledger: CrashLedger, now: float) -> None:
    """Forgets crashes whose retention has ended, and ends confinements."""
    for route, ends_at in list(ledger.confined_until.items()):
        if ends_at <= now:
            del ledger.confined_until[route]
    while ledger.known and ledger.known[0].expires_at <= now:
        crash = ledger.known.popleft()
        ledger.crash_ids.discard(crash.report.crash_id)
        _add_crash(ledger, crash, -1)
        for request_id in list_request_ids(crash.report):
            if not any(crashes.total for crashes in ledger.requests[request_id].values()):
                del ledger.requests[request_id]


def is_suspect(ledger: CrashLedger, task: str) -> bool:
    """Returns whether a task must run isolated if it is started again."""
    crashes = ledger.requests.get(get_request_id(task), {}).get(task)
    return crashes is not None and (crashes.among_last > 0 or crashes.total >= MIN_CRASHES)


def list_confined_routes(ledger: CrashLedger, now: float) -> set[str]:
    """Returns the routes whose requests are kept to a part of the targets for now."""
    return {route for route, ends_at in ledger.confined_until.items() if ends_at > now}


def find_deadly_task(ledger: CrashLedger, request_id: str) -> str:
    """Returns the name of a task of a request that is proved to crash runners, empty if none is."""
    for task, crashes in ledger.requests.get(request_id, {}).items():
        is_proved = crashes.total >= MIN_CRASHES and crashes.conclusive > 0
        isolated = [number for number in crashes.isolated.values() if number]
        if is_proved or len(isolated) >= MIN_INCONCLUSIVE_TARGETS:
            return task
        if sum(isolated) >= MIN_INCONCLUSIVE_CRASHES:
            return task
    return ""


def is_crash_prone(ledger: CrashLedger, agent: str, request_id: str = "") -> bool:
    """Returns whether the target of an agent has had a crash that no proved task explains.

    Crashes under tasks of the request `request_id` are left out.
    """
    return any(
        not _is_explained(ledger, crash.report, request_id)
        for crash in ledger.known
        if get_agent_name(crash.report) == agent
    )


def _is_explained(ledger: CrashLedger, report: CrashReport, request_id: str) -> bool:
    request_ids = list_request_ids(report)
    return request_id in request_ids or any(
        find_deadly_task(ledger, other_id) for other_id in request_ids
    )


def _add_crash(ledger: CrashLedger, crash: KnownCrash, amount: int) -> None:
    """Adds `amount`, 1 or -1, to the crashes of each task that was running."""
    report = crash.report
    request_ids = list_request_ids(report)
    started_last = request_ids[:SUSPECT_REQUESTS_PER_CRASH]
    for task in report.tasks:
        request_id = get_request_id(task)
        crashes = ledger.requests.setdefault(request_id, {}).setdefault(task, TaskCrashes())
        crashes.total += amount
        crashes.isolated[get_agent_name(report)] += amount * (len(request_ids) == 1)
        crashes.conclusive += amount * crash.conclusive
        crashes.among_last += amount * (request_id in started_last)
