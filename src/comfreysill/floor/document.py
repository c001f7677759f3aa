"""The floor aggregate: teams, services, operators and limits of one document version."""

from collections.abc import Iterable
from typing import Any

from comfreysill.exceptions import Problem

DEFAULT_WEIGHT = 1.0
DEFAULT_MAX_JOBS = 50_000
DEFAULT_MAX_QUEUED_TASKS = 20_000
DEFAULT_MAX_TASKS_PER_JOB = 2_000
DEFAULT_QUEUE_SHARE = 0.25


class Team:
    """A team and its limits.

    Attributes:
        name: Name of the team.
        weight: Share of the capacity, relative to the weights of other teams.
        queued_tasks: Maximum number of the team's tasks queued at one entry, 0 if only the limit
            of the entry applies.
        services: Services that the team may use; empty for all.
        keys: Salted hashes of the team's keys; empty if no key is required.
    """

    __slots__ = ("name", "weight", "queued_tasks", "services", "keys")

    def __init__(
        self,
        *,
        name: str,
        weight: float,
        queued_tasks: int,
        services: frozenset[str],
        keys: tuple[str, ...] = (),
    ) -> None:
        self.keys = keys
        self.name = name
        self.weight = weight
        self.queued_tasks = queued_tasks
        self.services = services


class Service:
    """A service; `max_run_time` limits declared run times, in seconds, 0 for no limit."""

    __slots__ = ("name", "max_run_time")

    def __init__(self, *, name: str, max_run_time: float) -> None:
        self.name = name
        self.max_run_time = max_run_time


class Floor:
    """One version of a valid floor document.

    Attributes:
        version: Number of the version, 0 before the first document.
        teams: Teams by name.
        services: Services by name.
        operators: Salted hashes of keys by operator name; empty if operators need no key.
        jobs: Maximum number of jobs kept at one entry.
        queued_tasks: Maximum number of tasks queued at one entry.
        tasks_per_job: Maximum number of tasks of one job.
        queue_share: Maximum number of normal and bulk tasks queued at a target, as a fraction of
            its slots.
    """

    __slots__ = (
        "version",
        "teams",
        "services",
        "operators",
        "jobs",
        "queued_tasks",
        "tasks_per_job",
        "queue_share",
    )

    def __init__(
        self,
        *,
        version: int,
        teams: dict[str, Team],
        services: dict[str, Service],
        jobs: int = DEFAULT_MAX_JOBS,
        queued_tasks: int = DEFAULT_MAX_QUEUED_TASKS,
        tasks_per_job: int = DEFAULT_MAX_TASKS_PER_JOB,
        queue_share: float = DEFAULT_QUEUE_SHARE,
        operators: dict[str, tuple[str, ...]] | None = None,
    ) -> None:
        self.operators = operators or {}
        self.version = version
        self.teams = teams
        self.services = services
        self.jobs = jobs
        self.queued_tasks = queued_tasks
        self.tasks_per_job = tasks_per_job
        self.queue_share = queue_share


NO_FLOOR = Floor(version=0, teams={}, services={})


def build_floor(version: int, document: dict[str, Any]) -> Floor:
    """Builds the floor from a valid document."""
    limits = document.get("limits", {})
    return Floor(
        version=version,
        teams={team["name"]: _build_team(team) for team in document["teams"]},
        services={
            service["name"]: Service(
                name=service["name"], max_run_time=float(service.get("max_run_time", 0))
            )
            for service in document["services"]
        },
        operators={item["name"]: tuple(item["keys"]) for item in document.get("operators", ())},
        jobs=limits.get("jobs", DEFAULT_MAX_JOBS),
        queued_tasks=limits.get("queued_tasks", DEFAULT_MAX_QUEUED_TASKS),
        tasks_per_job=limits.get("tasks_per_job", DEFAULT_MAX_TASKS_PER_JOB),
        queue_share=limits.get("queue_share", DEFAULT_QUEUE_SHARE),
    )


def find_inconsistencies(document: dict[str, Any]) -> list[Problem]:
    """Finds duplicate names, unknown references and quotas that are too high.

    Args:
        document: A document that is valid by the schema.
    """
    zones = set(document["zones"])
    services = {service["name"] for service in document["services"]}
    problems = _find_duplicate_names("services", [s["name"] for s in document["services"]])
    problems += _find_duplicate_names("teams", [t["name"] for t in document["teams"]])
    operators = [operator["name"] for operator in document.get("operators", ())]
    problems += _find_duplicate_names("operators", operators)
    for position, service in enumerate(document["services"]):
        path = f"services[{position}].zones"
        problems += _find_unknown_names(path, service["zones"], zones, "zone")
    for position, team in enumerate(document["teams"]):
        path = f"teams[{position}].services"
        problems += _find_unknown_names(path, team.get("services", []), services, "service")
    limits = document.get("limits", {})
    max_queued_tasks = limits.get("queued_tasks", DEFAULT_MAX_QUEUED_TASKS)
    for position, team in enumerate(document["teams"]):
        if team.get("queued_tasks", 0) > max_queued_tasks:
            problems.append(
                Problem(
                    path=f"teams[{position}].queued_tasks",
                    value=str(team["queued_tasks"]),
                    reason="is above the bound of the whole entry",
                    hint=f"limits.queued_tasks is {max_queued_tasks}",
                )
            )
    return problems


def diff_documents(old: Any, new: Any, path: str = "") -> list[str]:
    """Returns one line, with its path, for each difference between two documents.

    Lists are compared by the names of their items if all items have one, otherwise as a whole. A
    missing value is shown as None.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        lines = []
        for key in sorted(set(old) | set(new)):
            child_path = f"{path}.{key}" if path else key
            lines += diff_documents(old.get(key), new.get(key), child_path)
        return lines
    if isinstance(old, list) and isinstance(new, list):
        return _diff_lists(old, new, path)
    return [] if old == new else [f"{path}: {old!r} -> {new!r}"]


def _diff_lists(old: list, new: list, path: str) -> list[str]:
    all_named = all(isinstance(item, dict) and "name" in item for item in old + new)
    if all_named:
        old_by_name = {item["name"]: item for item in old}
        new_by_name = {item["name"]: item for item in new}
        return diff_documents(old_by_name, new_by_name, path)
    return [] if old == new else [f"{path}: {old!r} -> {new!r}"]


def _build_team(team: dict[str, Any]) -> Team:
    return Team(
        name=team["name"],
        weight=float(team.get("weight", DEFAULT_WEIGHT)),
        queued_tasks=team.get("queued_tasks", 0),
        services=frozenset(team.get("services", ())),
        keys=tuple(team.get("keys", ())),
    )


def _find_duplicate_names(path: str, names: list[str]) -> list[Problem]:
    return [
        Problem(path=f"{path}[{position}].name", value=name, reason="the name is used twice")
        for position, name in enumerate(names)
        if name in names[:position]
    ]


def _find_unknown_names(
    path: str, names: Iterable[str], known_names: set[str], kind: str
) -> list[Problem]:
    return [
        Problem(
            path=f"{path}[{position}]",
            value=name,
            reason=f"no such {kind}",
            hint=f"known: {', '.join(sorted(known_names))}",
        )
        for position, name in enumerate(names)
        if name not in known_names
    ]
