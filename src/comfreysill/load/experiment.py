"""Experiment files: the processes to start, the workload and its duration."""

import pathlib
from typing import Any

from comfreysill.schemas import check_document, read_yaml

_SHARE = {"type": "number", "minimum": 0, "maximum": 1}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
EXPERIMENT_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["seed", "floor", "seconds", "load", "run_times", "classes"],
    "properties": {
        "title": {"type": "string"},
        "seed": {"type": "integer", "minimum": 0},
        "seconds": _POSITIVE,
        "load": {**_POSITIVE, "description": "offered work as a fraction of the total capacity"},
        "teams": {"type": "integer", "minimum": 1, "maximum": 1000},
        "resubmit_share": _SHARE,
        "cancel_share": _SHARE,
        "declared_factor": {
            **_POSITIVE,
            "minimum": 1,
            "description": "largest factor between declared and actual run times",
        },
        "floor": {
            "type": "object",
            "additionalProperties": False,
            "required": ["entries", "slots", "slownesses", "service", "zones"],
            "properties": {
                "entries": {"type": "integer", "minimum": 1, "maximum": 20},
                "slots": {"type": "integer", "minimum": 1, "maximum": 256},
                "slownesses": {"type": "array", "minItems": 1, "items": _POSITIVE},
                "service": {"type": "string"},
                "zones": {"type": "array", "minItems": 1, "items": {"type": "string"}},
                "queue_share": {"type": "number", "minimum": 0, "maximum": 4},
                "placement": {"enum": ["finish", "random", "round-robin", "least-loaded"]},
            },
        },
        "burst": {
            "type": "object",
            "additionalProperties": False,
            "required": ["every_seconds", "length_seconds", "factor"],
            "properties": {
                "every_seconds": _POSITIVE,
                "length_seconds": _POSITIVE,
                "factor": {**_POSITIVE, "minimum": 1},
            },
        },
        "run_times": {
            "type": "object",
            "additionalProperties": False,
            "required": ["low", "high", "long_share", "long_low", "long_high"],
            "properties": {
                "low": _POSITIVE,
                "high": _POSITIVE,
                "long_share": _SHARE,
                "long_low": _POSITIVE,
                "long_high": _POSITIVE,
            },
        },
        "classes": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["class", "share", "sizes", "within_seconds"],
                "properties": {
                    "class": {"enum": ["urgent", "normal", "bulk"]},
                    "share": {**_SHARE, "description": "fraction of the offered work"},
                    "sizes": {
                        "type": "array",
                        "minItems": 1,
                        "items": {"type": "integer", "minimum": 1, "maximum": 2000},
                    },
                    "within_seconds": _POSITIVE,
                    "idempotent_share": _SHARE,
                    "long": {"type": "boolean", "description": "whether the class has long tasks"},
                },
            },
        },
    },
}


class Experiment:
    """A validated experiment.

    Attributes:
        name: Name of the file without its extension.
        document: Content of the file, which conforms to `EXPERIMENT_SCHEMA`.
    """

    __slots__ = ("name", "document")

    def __init__(self, *, name: str, document: dict[str, Any]) -> None:
        self.name = name
        self.document = document

    @property
    def slownesses(self) -> list[float]:
        """Slowness of each target, a factor on the run time of tasks."""
        return self.document["floor"]["slownesses"]

    @property
    def capacity(self) -> float:
        """Work that all targets complete per second, in seconds of run time at slowness 1."""
        slots = self.document["floor"]["slots"]
        return sum(slots / slowness for slowness in self.slownesses)


def read_experiment(path: pathlib.Path) -> Experiment:
    """Reads and validates an experiment file.

    Raises:
        DocumentError: The file has errors; all of them are listed.
        UsageError: The file can't be read.
    """
    document = read_yaml(path, "EXPERIMENT")
    check_document(document, EXPERIMENT_SCHEMA, str(path))
    return Experiment(name=path.stem, document=document)


def compute_ideal_time(experiment: Experiment, run_times: list[float], round_trip: float) -> float:
    """Returns a lower bound in seconds on the response time of a job on idle targets.

    Args:
        experiment: The experiment, which defines the slots and slowness of the targets.
        run_times: Actual run time of each task in seconds on a target of slowness 1.
        round_trip: Network round-trip time in seconds.
    """
    longest = max(run_times) * min(experiment.slownesses)
    return max(longest, sum(run_times) / experiment.capacity) + round_trip
