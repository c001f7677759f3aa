"""Arrivals of an experiment, drawn from a seeded generator."""

import json
from typing import Any

import numpy as np

from comfreysill.load.experiment import Experiment

REPEATS_AFTER_SECONDS = 0.05


class Arrival:
    """One job that arrives.

    Attributes:
        at: Seconds after the start of the experiment.
        team: Team that submits.
        task_class: Name of the class.
        seconds: True run time of each task on a target of slowness 1.
        declared: Declared run time of each task.
        idempotent: Whether the tasks are idempotent.
        within: Seconds from arrival to deadline.
        repeat: Whether the caller submits it twice.
        cancel: Whether the caller cancels it.
    """

    __slots__ = (
        "at",
        "team",
        "task_class",
        "seconds",
        "declared",
        "idempotent",
        "within",
        "repeat",
        "cancel",
    )

    def __init__(
        self,
        *,
        at: float,
        team: str,
        task_class: str,
        seconds: list[float],
        declared: list[float],
        idempotent: bool,
        within: float,
        repeat: bool,
        cancel: bool,
    ) -> None:
        self.at = at
        self.team = team
        self.task_class = task_class
        self.seconds = seconds
        self.declared = declared
        self.idempotent = idempotent
        self.within = within
        self.repeat = repeat
        self.cancel = cancel


def draw_arrivals(experiment: Experiment) -> list[Arrival]:
    """Draws all arrivals in the order of their times; the same seed draws the same ones."""
    generator = np.random.default_rng(experiment.document["seed"])
    arrivals = []
    for entry in experiment.document["classes"]:
        arrivals += _draw_class(experiment, entry, generator)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def build_document(arrival: Arrival, service: str, now: float) -> dict[str, Any]:
    """Builds the submission of an arrival; `now` is a Unix time in seconds."""
    return {
        "class": arrival.task_class,
        "deadline": now + arrival.within,
        "service": service,
        "tasks": [
            {
                "payload": json.dumps({"seconds": seconds}),
                "run_time": declared,
                "idempotent": arrival.idempotent,
            }
            for seconds, declared in zip(arrival.seconds, arrival.declared, strict=True)
        ],
    }


def _draw_class(
    experiment: Experiment, entry: dict[str, Any], generator: np.random.Generator
) -> list[Arrival]:
    document = experiment.document
    mean_work = float(np.mean(entry["sizes"])) * _mean_seconds(document["run_times"], entry)
    rate = document["load"] * experiment.capacity * entry["share"] / mean_work
    arrivals = []
    at = 0.0
    while rate > 0:
        at += generator.exponential(1 / (rate * _find_factor(document, at)))
        if at >= document["seconds"]:
            break
        arrivals.append(_draw_arrival(document, entry, at, generator))
    return arrivals


def _draw_arrival(
    document: dict[str, Any], entry: dict[str, Any], at: float, generator: np.random.Generator
) -> Arrival:
    size = int(generator.choice(entry["sizes"]))
    seconds = [round(float(value), 4) for value in _draw_seconds(document, entry, size, generator)]
    spread = np.log(document.get("declared_factor", 1.0))
    error = float(np.exp(generator.uniform(-spread, spread)))
    return Arrival(
        at=float(at),
        team=f"team-{generator.integers(document.get('teams', 1))}",
        task_class=entry["class"],
        seconds=seconds,
        declared=[round(max(0.001, value * error), 4) for value in seconds],
        idempotent=bool(generator.random() < entry.get("idempotent_share", 0.0)),
        within=entry["within_seconds"],
        repeat=bool(generator.random() < document.get("resubmit_share", 0.0)),
        cancel=bool(generator.random() < document.get("cancel_share", 0.0)),
    )


def _draw_seconds(
    document: dict[str, Any], entry: dict[str, Any], size: int, generator: np.random.Generator
) -> np.ndarray:
    times = document["run_times"]
    seconds = generator.uniform(times["low"], times["high"], size)
    if entry.get("long", False):
        long = generator.random(size) < times["long_share"]
        longer = generator.uniform(times["long_low"], times["long_high"], size)
        seconds = np.where(long, longer, seconds)
    return seconds


def _mean_seconds(times: dict[str, float], entry: dict[str, Any]) -> float:
    usual = (times["low"] + times["high"]) / 2
    if not entry.get("long", False):
        return usual
    longer = (times["long_low"] + times["long_high"]) / 2
    return usual + times["long_share"] * (longer - usual)


def _find_factor(document: dict[str, Any], at: float) -> float:
    burst = document.get("burst")
    if burst is None:
        return 1.0
    inside = at % burst["every_seconds"] >= burst["every_seconds"] - burst["length_seconds"]
    return burst["factor"] if inside else 1.0
