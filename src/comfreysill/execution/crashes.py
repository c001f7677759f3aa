"""Crashes of the runner: what an agent reports of them to entries and keeps in the store."""

from comfreysill.crashes.report import CRASH_RETENTION_SECONDS, CrashReport
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.state import (
    AgentState,
    EntryLink,
    RecentCrash,
    count,
    note_event,
)

# A log line about a crash names at most this many of the tasks that may have caused it.
MAX_LOGGED_TASKS = 12


def record_crash(agent: AgentState, reason: str, now: float) -> None:
    """Logs a crash of the runner in use, and queues its report if runs may have been there.

    A runner may have fallen silent as it crashed, so that its runs were given up before.
    """
    lifetime = str(agent.runner_lifetime)
    started = list_started_runs(agent)
    present = {run.task for run in started}
    started += [run for run in agent.silent_runs if run.task not in present]
    agent.silent_runs = []
    tasks = tuple(run.task for run in started)
    routes = {run.batch.route for run in started}
    count(agent, "runner_crashes")
    note_event(
        agent,
        "runner crashed",
        lifetime=lifetime,
        why=reason,
        runs=len(tasks),
        tasks=list(tasks[:MAX_LOGGED_TASKS]),
    )
    if tasks:
        agent.last_crash_number += 1
        crash_id = f"{agent.agent}/{agent.lifetime}/{agent.last_crash_number}"
        route = routes.pop() if len(routes) == 1 else ""
        report = CrashReport(crash_id=crash_id, tasks=tasks, route=route)
        agent.unsaved_crashes.append(report)
        crash = RecentCrash(
            number=agent.last_crash_number,
            report=report,
            expires_at=now + CRASH_RETENTION_SECONDS,
        )
        agent.recent_crashes.append(crash)


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
