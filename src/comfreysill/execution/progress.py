"""Detection of stalled runs and of a slow target from the progress of runs."""

import statistics

from comfreysill.execution.calls import ListedRun
from comfreysill.execution.health import suspend_target
from comfreysill.execution.starts import stop_run
from comfreysill.execution.state import AgentState, Run, RunState, count, note_event

# Time without progress after which a run counts as stalled. The runner lists whole percents, and
# the longest tasks advance by one percent in a tenth of this time.
STALL_SECONDS = 0.35
# The progress of younger runs says little about their speed.
MIN_EVALUATED_AGE_SECONDS = 0.2
# Declared run times are off by up to a factor of two; a larger slowdown is due to the target.
STRAGGLER_FACTOR = 3.0
MIN_SLOWDOWN_RUNS = 2


def evaluate_progress(state: AgentState, listed: list[ListedRun], now: float) -> None:
    """Updates the progress of all runs from the runner's list."""
    ratios = []
    for listed_run in listed:
        run = state.runs.get(listed_run.task)
        if run is None or run.number != listed_run.run or run.state != RunState.RUNNING:
            continue
        if listed_run.percent != run.percent:
            run.percent = listed_run.percent
            run.progress_at = now
        elif now - max(run.progress_at, run.changed_at) > STALL_SECONDS:
            _stop_stalled(state, run, now)
            continue
        if now - run.changed_at >= MIN_EVALUATED_AGE_SECONDS:
            ratios.append(_project_ratio(run, now))
    _detect_slowdown(state, ratios)
    _stop_stragglers(state, now)


def _stop_stalled(state: AgentState, run: Run, now: float) -> None:
    count(state, "runs_stalled")
    note_event(state, "run stalled", task=run.task, percent=run.percent)
    stop_run(state, run, now, "it stood still")
    suspend_target(state, now)


def _project_ratio(run: Run, now: float) -> float:
    """Returns the ratio of a run's projected total run time to its declared one."""
    projected_seconds = (now - run.changed_at) * 100 / max(run.percent, 1.0)
    return projected_seconds / max(run.batch.estimate, 1e-3)


def _detect_slowdown(state: AgentState, ratios: list[float]) -> None:
    if len(ratios) < MIN_SLOWDOWN_RUNS:
        return
    median_ratio = statistics.median(ratios)
    is_slow = median_ratio > STRAGGLER_FACTOR * state.slowness
    if is_slow and not state.recent_slowness:
        count(state, "slowdowns")
        note_event(
            state,
            "target slowdown detected",
            ratio=round(median_ratio, 2),
            usual=round(state.slowness, 2),
        )
    state.recent_slowness = median_ratio if is_slow else 0.0


def _stop_stragglers(state: AgentState, now: float) -> None:
    """Stops runs of a slowed target that a new start on another target would overtake.

    Only first attempts are stopped, so that a task is moved at most once.
    """
    if not state.recent_slowness:
        return
    for run in list(state.runs.values()):
        is_young = now - run.changed_at < MIN_EVALUATED_AGE_SECONDS
        if run.state != RunState.RUNNING or run.attempt > 1 or is_young:
            continue
        remaining_ratio = _project_ratio(run, now) * (1 - run.percent / 100)
        if remaining_ratio > STRAGGLER_FACTOR * state.slowness:
            stop_run(state, run, now, "its target turned slow")
