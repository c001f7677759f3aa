"""Crashes of the runner: what an agent reports of them to entries and keeps in the store."""

from comfreysill.crashes.report import CRASH_RETENTION_SECONDS, CrashReport
from comfreysill.execution.calls import (
    UNANSWERED_STATUSES,
    CallReply,
    ReplyStatus,
    StartCall,
)
from comfreysill.execution.entry_link import EntryLink
from comfreysill.execution.recent_crashes import RecentCrash, UnsettledCrash
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.state import AgentState, count, note_event

# A log line about a crash names at most this many of the tasks that may have caused it.
MAX_LOGGED_TASKS = 12


def record_crash(agent: AgentState, reason: str, now: float) -> None:
    """Logs a crash of the runner in use, and queues its report if runs may have been there.

    A start call that has no reply yet may be refused, as the runner had crashed before. Such a
    start is named once the call is known to have broken off; see `settle_crash`. A runner may have
    fallen silent as it crashed, so that its runs were given up before.
    """
    runs = {run.number: run for run in (*agent.silent_runs, *list_started_runs(agent))}
    agent.silent_runs = []
    crash = UnsettledCrash(lifetime=str(agent.runner_lifetime), runs={}, open_starts={})
    for number in sorted(runs, reverse=True):
        run = runs[number]
        named = crash.open_starts if _is_start_open(agent, run) else crash.runs
        named[number] = (run.task, run.batch.route)
    count(agent, "runner_crashes")
    _note_crash(agent, "runner crashed", crash, reason)
    if crash.runs:
        _report_crash(agent, crash, now)
    if crash.open_starts:
        agent.unsettled_crashes.append(crash)


def settle_crash(agent: AgentState, reply: CallReply, now: float) -> None:
    """Adds a start to the report of a crash if its call has broken off or was accepted.

    Any other reply shows that the start had no effect.
    """
    call = reply.call
    if not isinstance(call, StartCall):
        return
    agent.open_starts.discard(call.run)
    for crash in [crash for crash in agent.unsettled_crashes if call.run in crash.open_starts]:
        started = crash.open_starts.pop(call.run)
        if not crash.open_starts:
            agent.unsettled_crashes.remove(crash)
        if reply.status == ReplyStatus.ACCEPTED or reply.status in UNANSWERED_STATUSES:
            crash.runs[call.run] = started
            _note_crash(agent, "start added to a crash", crash, reply.status.name)
            _report_crash(agent, crash, now)


def _is_start_open(agent: AgentState, run: Run) -> bool:
    """Returns whether nothing shows yet that the newest start of a run had an effect or none."""
    is_confirmed = run.state in (RunState.RUNNING, RunState.STOPPING)
    return run.number in agent.open_starts and not is_confirmed


def _note_crash(agent: AgentState, text: str, crash: UnsettledCrash, reason: str) -> None:
    tasks = _list_tasks(crash)
    note_event(
        agent,
        text,
        lifetime=crash.lifetime,
        why=reason,
        runs=len(tasks),
        tasks=tasks[:MAX_LOGGED_TASKS],
        open_starts=len(crash.open_starts),
    )


def _list_tasks(crash: UnsettledCrash) -> list[str]:
    """Returns the tasks that may have been running, those started last first."""
    return [crash.runs[number][0] for number in sorted(crash.runs, reverse=True)]


def _report_crash(agent: AgentState, crash: UnsettledCrash, now: float) -> None:
    """Queues the report of a crash; a later report with its id replaces it."""
    routes = {route for _, route in crash.runs.values()}
    agent.last_crash_number += 1
    crash.crash_id = crash.crash_id or f"{agent.agent}/{agent.lifetime}/{agent.last_crash_number}"
    report = CrashReport(
        crash_id=crash.crash_id,
        tasks=tuple(dict.fromkeys(_list_tasks(crash))),
        route=routes.pop() if len(routes) == 1 else "",
    )
    agent.unsaved_crashes.append(report)
    recent = RecentCrash(
        number=agent.last_crash_number,
        report=report,
        expires_at=now + CRASH_RETENTION_SECONDS,
    )
    agent.recent_crashes.append(recent)


def list_unsent_crashes(agent: AgentState, link: EntryLink, now: float) -> tuple[CrashReport, ...]:
    """Returns the recent crashes that were not sent in the newest session of a link."""
    while agent.recent_crashes and agent.recent_crashes[0].expires_at <= now:
        agent.recent_crashes.popleft()
    return tuple(crash.report for crash in agent.recent_crashes if crash.number > link.crash_sent)


def list_started_runs(agent: AgentState) -> list[Run]:
    """Returns the runs started in the lifetime in use, those that were started last first."""
    started = [
        run
        for run in agent.runs.values()
        if run.state != RunState.WAITING and run.lifetime == agent.runner_lifetime
    ]
    return sorted(started, key=lambda run: run.number, reverse=True)
