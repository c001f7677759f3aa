"""Detection of stalled runs and of a slow target from the progress of runs."""

import statistics

from comfreysill.execution.calls import ListedRun
from comfreysill.execution.health import suspend_target
from comfreysill.execution.run import Run, RunState
from comfreysill.execution.starts import stop_run
from comfreysill.execution.state import (
    AgentState,
    count,
    note_event,
)

# Time without progress after which a run counts as stalled. The runner lists whole percents, and
# the longest tasks advance by one percent in 35 ms, a tenth of this time.
STALL_SECONDS = 0.35
# The progress of younger runs says little about their speed.
MIN_EVALUATED_AGE_SECONDS = 0.2
# Factor over the target's usual slowness above which the target counts as slowed, and a run as
# straggling. Declared run times are off by up to a factor of two; a larger slowdown is due to the
# target.
STRAGGLER_FACTOR = 3.0
# With fewer evaluated runs no slowdown is detected.
MIN_SLOWDOWN_RUNS = 2


def evaluate_progress(agent: AgentState, listed: list[ListedRun], now: float) -> None:
    """Updates the progress of runs from the runner's list; stops stalled and straggling runs."""
    ratios = []
    for listed_run in listed:
        run = agent.runs.get(listed_run.task)
        if run is None or run.number != listed_run.run or run.state != RunState.RUNNING:
            continue
        if listed_run.percent != run.percent:
            run.percent = listed_run.percent
            run.progress_at = now
        elif now - max(run.progress_at, run.changed_at) > STALL_SECONDS:
            _stop_stalled(agent, run, now)
            continue
        if now - run.changed_at >= MIN_EVALUATED_AGE_SECONDS:
            ratios.append(_project_ratio(run, now))
    _detect_slowdown(agent, ratios)
    _stop_stragglers(agent, now)


def _stop_stalled(agent: AgentState, run: Run, now: float) -> None:
    count(agent, "runs_stalled")
    note_event(agent, "run stalled", task=run.task, entry=run.entry, percent=run.percent)
    stop_run(agent, run, now, "it stood still")
    suspend_target(agent, now)


def _project_ratio(run: Run, now: float) -> float:
    """Returns the ratio of a run's projected total run time to the one expected at its place.

    The run has to be in state RUNNING: `changed_at` is then the time at which its start was
    confirmed.
    """
    projected_seconds = (now - run.changed_at) * 100 / max(run.percent, 1.0)
    return projected_seconds / max(run.batch.estimate * run.batch.run_factor, 1e-3)


def _detect_slowdown(agent: AgentState, ratios: list[float]) -> None:
    if len(ratios) < MIN_SLOWDOWN_RUNS:
        return
    median_ratio = statistics.median(ratios)
    is_slow = median_ratio > STRAGGLER_FACTOR * agent.slowness
    if is_slow and not agent.recent_slowness:
        count(agent, "slowdowns")
        note_event(
            agent,
            "target slowdown detected",
            ratio=round(median_ratio, 2),
            usual=round(agent.slowness, 2),
        )
    agent.recent_slowness = median_ratio if is_slow else 0.0


def _stop_stragglers(agent: AgentState, now: float) -> None:
    """Stops runs of a slowed target whose projected remaining time is too long.

    A new start on another target would probably end sooner. A task is moved at most once.
    """
    if not agent.recent_slowness:
        return
    for run in list(agent.runs.values()):
        is_young = now - run.changed_at < MIN_EVALUATED_AGE_SECONDS
        if run.state != RunState.RUNNING or run.moves or is_young:
            continue
        remaining_ratio = _project_ratio(run, now) * (1 - run.percent / 100)
        if remaining_ratio > STRAGGLER_FACTOR * agent.slowness:
            stop_run(agent, run, now, "its target turned slow")
