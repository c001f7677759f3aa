"""What the progress of runs tells: runs that stand still, and a target that has turned slow."""

import statistics

from comfreysill.running.calls import ListedRun
from comfreysill.running.health import suspend_target
from comfreysill.running.starts import stop_run
from comfreysill.running.state import AgentState, Run, RunState, count, note_event

# A run that has made no progress for this long stands still: the runner lists whole percents,
# and the longest tasks advance by one in a tenth of it.
STALL_SECONDS = 0.35
# Before this age the progress of a run says little about its speed.
JUDGE_SECONDS = 0.2
# Declared run times are wrong by a factor of two; what is beyond this factor is the target.
STRAGGLER_FACTOR = 3.0
RECENT_RUNS = 2


def judge_progress(agent: AgentState, listed: list[ListedRun], now: float) -> None:
    """Takes the progress of all runs from a runner's list."""
    ratios = []
    for entry in listed:
        run = agent.runs.get(entry.task)
        if run is None or run.number != entry.run or run.state != RunState.RUNNING:
            continue
        if entry.percent != run.percent:
            run.percent = entry.percent
            run.progress_at = now
        elif now - max(run.progress_at, run.changed_at) > STALL_SECONDS:
            _stop_stalled(agent, run, now)
            continue
        if now - run.changed_at >= JUDGE_SECONDS:
            ratios.append(_project_ratio(run, now))
    _judge_speed(agent, ratios)
    _stop_stragglers(agent, now)


def _stop_stalled(agent: AgentState, run: Run, now: float) -> None:
    count(agent, "runs_stalled")
    note_event(agent, "run stands still", task=run.task, percent=run.percent)
    stop_run(agent, run, now, "it stood still")
    suspend_target(agent, now)


def _project_ratio(run: Run, now: float) -> float:
    """Returns the projected ratio of a run's whole time to its declared one."""
    whole = (now - run.changed_at) * 100 / max(run.percent, 1.0)
    return whole / max(run.batch.estimate, 1e-3)


def _judge_speed(agent: AgentState, ratios: list[float]) -> None:
    if len(ratios) < RECENT_RUNS:
        return
    middle = statistics.median(ratios)
    slow = middle > STRAGGLER_FACTOR * agent.slowness
    if slow and not agent.recent_slowness:
        count(agent, "slowdowns")
        note_event(
            agent, "target turned slow", ratio=round(middle, 2), usual=round(agent.slowness, 2)
        )
    agent.recent_slowness = middle if slow else 0.0


def _stop_stragglers(agent: AgentState, now: float) -> None:
    """Gives runs back that a fresh start elsewhere would overtake, each task once."""
    if not agent.recent_slowness:
        return
    for run in list(agent.runs.values()):
        young = now - run.changed_at < JUDGE_SECONDS
        if run.state != RunState.RUNNING or run.attempt > 1 or young:
            continue
        left = _project_ratio(run, now) * (1 - run.percent / 100)
        if left > STRAGGLER_FACTOR * agent.slowness:
            stop_run(agent, run, now, "its target turned slow")
