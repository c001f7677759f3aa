"""Experiment files: a floor, the jobs that arrive at it, and for how long."""

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
        "load": {**_POSITIVE, "description": "offered work as a share of the floor's capacity"},
        "teams": {"type": "integer", "minimum": 1, "maximum": 1000},
        "resubmit_share": _SHARE,
        "cancel_share": _SHARE,
        "declared_factor": {**_POSITIVE, "minimum": 1, "description": "error of declared times"},
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
                    "share": {**_SHARE, "description": "share of the offered work"},
                    "sizes": {
                        "type": "array",
                        "minItems": 1,
                        "items": {"type": "integer", "minimum": 1, "maximum": 2000},
                    },
                    "within_seconds": _POSITIVE,
                    "idempotent_share": _SHARE,
                    "long": {"type": "boolean", "description": "whether long tasks occur"},
                },
            },
        },
    },
}


class Experiment:
    """A checked experiment.

    Attributes:
        name: Name of the file without its ending.
        document: The file's content, as `EXPERIMENT_SCHEMA` describes it.
    """

    __slots__ = ("name", "document")

    def __init__(self, *, name: str, document: dict[str, Any]) -> None:
        self.name = name
        self.document = document

    @property
    def slownesses(self) -> list[float]:
        """Factor on the run time at each target."""
        return self.document["floor"]["slownesses"]

    @property
    def capacity(self) -> float:
        """Seconds of work that the floor does in a second."""
        slots = self.document["floor"]["slots"]
        return sum(slots / slowness for slowness in self.slownesses)


def read_experiment(path: pathlib.Path) -> Experiment:
    """Reads and checks an experiment file.

    Raises:
        DocumentError: The file has errors; all of them are listed.
        UsageError: The file can't be read.
    """
    document = read_yaml(path, "EXPERIMENT")
    check_document(document, EXPERIMENT_SCHEMA, str(path))
    return Experiment(name=path.stem, document=document)


def find_ideal(experiment: Experiment, seconds: list[float], round_trip: float) -> float:
    """Returns the least response time in seconds of a job alone on the empty floor.

    Args:
        experiment: The experiment, for the speeds of its targets.
        seconds: True run time of each task on a target of slowness 1.
        round_trip: Network round trip in seconds.
    """
    longest = max(seconds) * min(experiment.slownesses)
    return max(longest, sum(seconds) / experiment.capacity) + round_trip
