"""Ledger of the crashes that an entry knows of, and the rules that decide on tasks by it.

A task that crashes its runner takes the tasks beside it down as well. To tell which one is at
fault, suspects are run isolated: on a target without tasks of any other request. The tasks that ran
beside the one at fault before are never given up for it. A crash under an isolated task proves its
guilt, unless its target has had another crash that no proved task explains: some targets go down
and up by themselves. Nor does it prove anything if several other targets crashed at the same
moment, which no task on one of them can have caused.
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
# Agents notice crashes of one moment within this time of each other: the calls that are open break,
# and the next ones, 0.05 s later, are refused. A recent crash is judged after it.
COINCIDENCE_SECONDS = 0.1
# Number of other targets that have to crash at the same moment as one, for a cause of their own.
# Of several deadly tasks at a time, two often crash their runners together by chance, three seldom.
MIN_COINCIDENT_TARGETS = 2
# A crash mostly follows the start that causes it, so that the requests that were started last are
# suspects after one crash. The other tasks become suspects after MIN_CRASHES.
SUSPECT_REQUESTS_PER_CRASH = 2
# A route is confined for this long after one of its requests was proved to crash runners.
CONFINEMENT_SECONDS = 10.0


class TaskCrashes:
    """The crashes under one task.

    Attributes:
        total: Number of crashes, judged or not.
        telling: Number of judged crashes that weren't coincident.
        isolated: Number of telling crashes with no task of another request on the runner, by
            target.
        lone: Number of isolated crashes, coincident ones included.
        conclusive: Number of isolated crashes of targets that had no unexplained crash before.
        among_last: Number of crashes with the request among those started last on the runner.
    """

    __slots__ = ("total", "telling", "isolated", "lone", "conclusive", "among_last")

    def __init__(self) -> None:
        self.total = 0
        self.telling = 0
        self.isolated: Counter[str] = Counter()
        self.lone = 0
        self.conclusive = 0
        self.among_last = 0


class KnownCrash:
    """A crash in the ledger.

    Attributes:
        report: The report.
        noted_at: Boot-clock time in seconds of its first report, None if it is older than that.
        settled: True once it has been judged; until then it proves nothing.
        conclusive: True if it is isolated, and its target had no unexplained crash before.
        coincident: True if several other targets crashed at the same moment.
        expires_at: Boot-clock time in seconds at which it is forgotten.
    """

    __slots__ = ("report", "noted_at", "settled", "conclusive", "coincident", "expires_at")

    def __init__(self, *, report: CrashReport, noted_at: float | None, expires_at: float) -> None:
        self.report = report
        self.noted_at = noted_at
        self.settled = False
        self.conclusive = False
        self.coincident = False
        self.expires_at = expires_at


class CrashLedger:
    """The crashes that an entry knows of.

    Attributes:
        known: Known crashes, oldest first.
        crash_ids: Ids of the known crashes.
        unsettled: Recent crashes that haven't been judged, oldest first.
        requests: Crashes of tasks by the task's name, by request id.
        confined_until: Boot-clock time in seconds at which the confinement of a route ends, by
            route.
    """

    __slots__ = ("known", "crash_ids", "unsettled", "requests", "confined_until")

    def __init__(self) -> None:
        self.known: deque[KnownCrash] = deque()
        self.crash_ids: set[str] = set()
        self.unsettled: deque[KnownCrash] = deque()
        self.requests: dict[str, dict[str, TaskCrashes]] = {}
        self.confined_until: dict[str, float] = {}


def record_crash(
    ledger: CrashLedger, report: CrashReport, now: float, is_recent: bool = False
) -> list[str]:
    """Records a crash, or the tasks that a later report of a known crash names in addition.

    A recent crash is judged by `settle_crashes`, when others of the same moment are known. Any
    other crash is judged at once: reports that were kept for an entry come all together.

    Returns:
        The ids of the requests whose tasks were running; empty if nothing is new.
    """
    if report.crash_id in ledger.crash_ids:
        return _extend_crash(ledger, report)
    crash = KnownCrash(
        report=report,
        noted_at=now if is_recent else None,
        expires_at=now + CRASH_RETENTION_SECONDS,
    )
    ledger.crash_ids.add(report.crash_id)
    ledger.known.append(crash)
    _add_crash(ledger, crash, 1)
    if is_recent:
        ledger.unsettled.append(crash)
    else:
        _settle_crash(ledger, crash, now)
    return list_request_ids(report)


def settle_crashes(ledger: CrashLedger, now: float) -> list[str]:
    """Judges the recent crashes that happened COINCIDENCE_SECONDS ago or earlier.

    Returns:
        The ids of the requests whose tasks were running.
    """
    request_ids: list[str] = []
    while ledger.unsettled and ledger.unsettled[0].noted_at + COINCIDENCE_SECONDS <= now:
        crash = ledger.unsettled.popleft()
        _settle_crash(ledger, crash, now)
        request_ids += list_request_ids(crash.report)
    return request_ids


def _settle_crash(ledger: CrashLedger, crash: KnownCrash, now: float) -> None:
    request_ids = list_request_ids(crash.report)
    agent = get_agent_name(crash.report)
    _add_crash(ledger, crash, -1)
    crash.settled = True
    crash.coincident = _is_coincident(ledger, crash)
    crash.conclusive = (
        len(request_ids) == 1
        and not crash.coincident
        and not is_crash_prone(ledger, agent, request_ids[0])
    )
    _add_crash(ledger, crash, 1)
    route = crash.report.route
    if route and any(find_deadly_task(ledger, request_id) for request_id in request_ids):
        ledger.confined_until[route] = now + CONFINEMENT_SECONDS


def _is_coincident(ledger: CrashLedger, crash: KnownCrash) -> bool:
    """Returns whether several other targets crashed at the same moment without its requests."""
    if crash.noted_at is None:
        return False
    request_ids = list_request_ids(crash.report)
    others = {
        get_agent_name(other.report)
        for other in ledger.known
        if other.noted_at is not None
        and abs(other.noted_at - crash.noted_at) <= COINCIDENCE_SECONDS
        and not any(_is_explained(ledger, other.report, request_id) for request_id in request_ids)
    }
    return len(others - {get_agent_name(crash.report)}) >= MIN_COINCIDENT_TARGETS


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


def is_judgement_open(ledger: CrashLedger, task: str) -> bool:
    """Returns whether a crash that isn't judged yet may prove that a task crashes runners."""
    crashes = ledger.requests.get(get_request_id(task), {}).get(task)
    if crashes is None or crashes.total < MIN_CRASHES:
        return False
    return any(
        task in crash.report.tasks
        and (crashes.conclusive or len(list_request_ids(crash.report)) == 1)
        for crash in ledger.unsettled
    )


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
        is_proved = crashes.telling >= MIN_CRASHES and crashes.conclusive > 0
        isolated = [number for number in crashes.isolated.values() if number]
        if is_proved or len(isolated) >= MIN_INCONCLUSIVE_TARGETS:
            return task
        if crashes.lone >= MIN_INCONCLUSIVE_CRASHES:
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
    is_telling = crash.settled and not crash.coincident
    is_lone = crash.settled and len(request_ids) == 1
    for task in report.tasks:
        request_id = get_request_id(task)
        crashes = ledger.requests.setdefault(request_id, {}).setdefault(task, TaskCrashes())
        crashes.total += amount
        crashes.telling += amount * is_telling
        crashes.isolated[get_agent_name(report)] += amount * (is_lone and is_telling)
        crashes.lone += amount * is_lone
        crashes.conclusive += amount * crash.conclusive
        crashes.among_last += amount * (request_id in started_last)
