"""Summary of an experiment: slowdown by class and team, failures and partial answers."""

from typing import Any

from hdrh.histogram import HdrHistogram

from comfreysill.load.driver import Sample
from comfreysill.load.experiment import Experiment, compute_ideal_time

# The histogram holds integers, so slowdowns are recorded in thousandths.
SLOWDOWN_SCALE = 1000
# Larger slowdowns are left out of the percentiles.
MAX_SLOWDOWN = 10_000
SIGNIFICANT_DIGITS = 3
MAX_SLOWEST_ROWS = 20
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def summarize(experiment: Experiment, samples: list[Sample], round_trip: float) -> dict[str, Any]:
    """Summarizes the samples of an experiment.

    Args:
        experiment: The experiment.
        samples: One sample per arrival.
        round_trip: Network round-trip time in seconds, included in the ideal response time.
    """
    return {
        "experiment": experiment.name,
        "title": experiment.document.get("title", experiment.name),
        "seed": experiment.document["seed"],
        "load": experiment.document["load"],
        "round_trip_seconds": round(round_trip, 5),
        "jobs": len(samples),
        "tasks": sum(len(sample.arrival.run_times) for sample in samples),
        "complete": sum(sample.status == 200 for sample in samples),
        # Status 0: the connection failed, or the answer was not JSON.
        "broken": sum(sample.status == 0 for sample in samples),
        "partial": sum(_is_partial(sample) for sample in samples),
        "failures": _count_failures(samples),
        "classes": _summarize_groups(experiment, samples, round_trip, "task_class"),
        "teams": _summarize_groups(experiment, samples, round_trip, "team"),
        "slowest": _list_slowest(experiment, samples, round_trip),
    }


def _list_slowest(
    experiment: Experiment, samples: list[Sample], round_trip: float
) -> list[dict[str, Any]]:
    rows = [
        {
            "at": round(sample.arrival.offset_seconds, 2),
            "class": sample.arrival.task_class,
            "tasks": len(sample.arrival.run_times),
            "longest": max(sample.arrival.run_times),
            "seconds": round(sample.response_seconds, 3),
            "slowdown": round(
                sample.response_seconds
                / compute_ideal_time(experiment, sample.arrival.run_times, round_trip),
                2,
            ),
        }
        for sample in samples
    ]
    # Jobs of any status are listed, but no bulk jobs.
    rows.sort(key=lambda row: row["slowdown"], reverse=True)
    return [row for row in rows if row["class"] != "bulk"][:MAX_SLOWEST_ROWS]


def _summarize_groups(
    experiment: Experiment, samples: list[Sample], round_trip: float, field: str
) -> dict[str, Any]:
    groups: dict[str, list[Sample]] = {}
    for sample in samples:
        groups.setdefault(getattr(sample.arrival, field), []).append(sample)
    return {name: _summarize_group(experiment, groups[name], round_trip) for name in sorted(groups)}


def _summarize_group(
    experiment: Experiment, samples: list[Sample], round_trip: float
) -> dict[str, Any]:
    histogram = HdrHistogram(1, MAX_SLOWDOWN * SLOWDOWN_SCALE, SIGNIFICANT_DIGITS)
    complete = [sample for sample in samples if sample.status == 200]
    for sample in complete:
        ideal = compute_ideal_time(experiment, sample.arrival.run_times, round_trip)
        histogram.record_value(int(sample.response_seconds / ideal * SLOWDOWN_SCALE))
    summary: dict[str, Any] = {"jobs": len(samples), "complete": len(complete)}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / SLOWDOWN_SCALE if complete else None
        summary[f"p{percentile:g}"] = value
    return summary


def _is_partial(sample: Sample) -> bool:
    """Returns whether a job failed with results, or completed without one result per task."""
    if sample.status != 200:
        return bool(sample.answer.get("results"))
    return len(sample.answer["results"]) != len(sample.arrival.run_times)


def _count_failures(samples: list[Sample]) -> dict[str, int]:
    failures: dict[str, int] = {}
    for sample in samples:
        if sample.status in (0, 200):
            continue
        name = f"{sample.answer.get('title')} ({sample.answer.get('verdict')})"
        failures[name] = failures.get(name, 0) + 1
    return failures
