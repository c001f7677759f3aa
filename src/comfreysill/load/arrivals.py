"""Job arrivals of an experiment, drawn from a seeded random generator."""

import json
from typing import Any

import numpy as np

from comfreysill.load.experiment import Experiment

RESUBMIT_DELAY_SECONDS = 0.05


class Arrival:
    """Arrival of one job.

    Attributes:
        offset_seconds: Time of arrival in seconds after the start of the experiment.
        team: Team that submits the job.
        task_class: Name of the task class.
        run_times: Actual run time of each task in seconds on a target of slowness 1.
        declared_run_times: Declared run time of each task in seconds, at least 0.001.
        idempotent: Whether the tasks are idempotent.
        seconds_to_deadline: Time from arrival to deadline in seconds.
        resubmit: Whether the caller submits the job again, to the next entry, after
            `RESUBMIT_DELAY_SECONDS`.
        cancel: Whether the caller cancels the job.
    """

    __slots__ = (
        "offset_seconds",
        "team",
        "task_class",
        "run_times",
        "declared_run_times",
        "idempotent",
        "seconds_to_deadline",
        "resubmit",
        "cancel",
    )

    def __init__(
        self,
        *,
        offset_seconds: float,
        team: str,
        task_class: str,
        run_times: list[float],
        declared_run_times: list[float],
        idempotent: bool,
        seconds_to_deadline: float,
        resubmit: bool,
        cancel: bool,
    ) -> None:
        self.offset_seconds = offset_seconds
        self.team = team
        self.task_class = task_class
        self.run_times = run_times
        self.declared_run_times = declared_run_times
        self.idempotent = idempotent
        self.seconds_to_deadline = seconds_to_deadline
        self.resubmit = resubmit
        self.cancel = cancel


def draw_arrivals(experiment: Experiment) -> list[Arrival]:
    """Draws all arrivals, ordered by time; the same seed yields the same arrivals."""
    generator = np.random.default_rng(experiment.document["seed"])
    arrivals = []
    for workload in experiment.document["classes"]:
        arrivals += _draw_class_arrivals(experiment, workload, generator)
    return sorted(arrivals, key=lambda arrival: arrival.offset_seconds)


def build_submission(arrival: Arrival, service: str, now: float) -> dict[str, Any]:
    """Builds the JSON body that submits an arrival; `now` is a Unix time in seconds."""
    return {
        "class": arrival.task_class,
        "deadline": now + arrival.seconds_to_deadline,
        "service": service,
        "tasks": [
            {
                "payload": json.dumps({"seconds": run_time}),
                "run_time": declared_run_time,
                "idempotent": arrival.idempotent,
            }
            for run_time, declared_run_time in zip(
                arrival.run_times, arrival.declared_run_times, strict=True
            )
        ],
    }


def _draw_class_arrivals(
    experiment: Experiment, workload: dict[str, Any], generator: np.random.Generator
) -> list[Arrival]:
    document = experiment.document
    mean_job_seconds = float(np.mean(workload["sizes"])) * _compute_mean_run_time(
        document["run_times"], workload
    )
    jobs_per_second = document["load"] * experiment.capacity * workload["share"] / mean_job_seconds
    arrivals = []
    offset_seconds = 0.0
    while jobs_per_second > 0:
        offset_seconds += generator.exponential(
            1 / (jobs_per_second * _get_burst_factor(document, offset_seconds))
        )
        if offset_seconds >= document["seconds"]:
            break
        arrivals.append(_draw_arrival(document, workload, offset_seconds, generator))
    return arrivals


def _draw_arrival(
    document: dict[str, Any],
    workload: dict[str, Any],
    offset_seconds: float,
    generator: np.random.Generator,
) -> Arrival:
    task_count = int(generator.choice(workload["sizes"]))
    run_times = [
        round(float(value), 4)
        for value in _draw_run_times(document, workload, task_count, generator)
    ]
    # All declared run times of a job are wrong by the same factor, at most `declared_factor` up or
    # down.
    max_log_ratio = np.log(document.get("declared_factor", 1.0))
    declared_ratio = float(np.exp(generator.uniform(-max_log_ratio, max_log_ratio)))
    return Arrival(
        offset_seconds=float(offset_seconds),
        team=f"team-{generator.integers(document.get('teams', 1))}",
        task_class=workload["class"],
        run_times=run_times,
        declared_run_times=[round(max(0.001, value * declared_ratio), 4) for value in run_times],
        idempotent=bool(generator.random() < workload.get("idempotent_share", 0.0)),
        seconds_to_deadline=workload["within_seconds"],
        resubmit=bool(generator.random() < document.get("resubmit_share", 0.0)),
        cancel=bool(generator.random() < document.get("cancel_share", 0.0)),
    )


def _draw_run_times(
    document: dict[str, Any],
    workload: dict[str, Any],
    task_count: int,
    generator: np.random.Generator,
) -> np.ndarray:
    times = document["run_times"]
    run_times = generator.uniform(times["low"], times["high"], task_count)
    if workload.get("long", False):
        is_long = generator.random(task_count) < times["long_share"]
        long_run_times = generator.uniform(times["long_low"], times["long_high"], task_count)
        run_times = np.where(is_long, long_run_times, run_times)
    return run_times


def _compute_mean_run_time(times: dict[str, float], workload: dict[str, Any]) -> float:
    short_mean = (times["low"] + times["high"]) / 2
    if not workload.get("long", False):
        return short_mean
    long_mean = (times["long_low"] + times["long_high"]) / 2
    return short_mean + times["long_share"] * (long_mean - short_mean)


def _get_burst_factor(document: dict[str, Any], offset_seconds: float) -> float:
    burst = document.get("burst")
    if burst is None:
        return 1.0
    # A burst is the last `length_seconds` of each period of `every_seconds`.
    in_burst = (
        offset_seconds % burst["every_seconds"] >= burst["every_seconds"] - burst["length_seconds"]
    )
    return burst["factor"] if in_burst else 1.0
