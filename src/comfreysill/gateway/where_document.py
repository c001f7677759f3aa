"""The JSON document of an answer to the question where the tasks of a request would go."""

import math
from typing import Any

from comfreysill.placement.whereabouts import Exclusion, Place, StepPlaces, Whereabouts


def build_document(answer: Whereabouts, now: float) -> dict[str, Any]:
    """Returns the document; times are in seconds from now."""
    refused_in = max(0.0, answer.refused_at - now) if answer.refused_at else None
    return {
        "job": answer.request_id or None,
        "known": answer.known,
        "refused": answer.refused,
        "reason": answer.reason,
        "retry_after": answer.retry_seconds or None,
        "refused_in": _round(refused_in),
        "queued_ahead": answer.queued_ahead,
        "placed": [
            {"task": task.task, "agent": task.agent, "ends_in": _round(task.ends_in)}
            for task in answer.placed
        ],
        "steps": [_describe_step(step) for step in answer.steps],
    }


def _describe_step(step: StepPlaces) -> dict[str, Any]:
    return {
        "step": step.step,
        "after": list(step.after),
        "tasks": step.task_count,
        "suspects": step.suspect_count,
        "waiting": step.waiting_count,
        "may_wait": step.may_wait,
        "unplaced": step.task_count - sum(place.task_count for place in step.places),
        "candidates": [_describe_place(place) for place in step.places],
        "excluded": [_describe_exclusion(exclusion) for exclusion in step.excluded],
    }


def _describe_place(place: Place) -> dict[str, Any]:
    return {
        "agent": place.agent,
        "tasks": place.task_count,
        "run_seconds": _round(place.run_seconds),
        "cpu": place.cpu,
        "zone": place.zone,
        "near": place.near,
        "load_age": _round(place.load_age),
        "reason": place.reason,
    }


def _describe_exclusion(exclusion: Exclusion) -> dict[str, Any]:
    return {
        "agent": exclusion.agent,
        "reason": exclusion.reason,
        "load_age": _round(exclusion.load_age),
    }


def _round(seconds: float | None) -> float | None:
    """Returns None for a time that isn't known."""
    return None if seconds is None or math.isinf(seconds) else round(seconds, 3)
