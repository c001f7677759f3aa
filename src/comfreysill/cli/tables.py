"""Tables on the terminal, and the summary of submitted jobs by class."""

import statistics
from collections.abc import Iterable
from typing import Any

import orjson
from rich.console import Console
from rich.table import Table

from comfreysill.cli.batch import JobReport, estimate_ideal_time


def print_table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """Prints a table with a title and column headers."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def print_json(document: Any) -> None:
    """Prints a document as JSON."""
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())


def summarize_classes(reports: list[JobReport], slots: int) -> list[dict[str, Any]]:
    """Returns the slowdown of jobs by class, relative to the ideal response time.

    Args:
        reports: Outcomes of the jobs.
        slots: Total number of slots of all targets.

    Returns:
        One mapping per class that has jobs: counts, and p50, p99 and maximum of the slowdown of
        completed jobs, None if none completed.
    """
    rows = []
    for task_class in ("urgent", "normal", "bulk"):
        class_reports = [r for r in reports if r.request.document["class"] == task_class]
        completed = [r for r in class_reports if r.status == 200]
        if not class_reports:
            continue
        ratios = sorted(
            r.seconds / estimate_ideal_time(r.request.document, slots) for r in completed
        )
        rows.append(
            {
                "class": task_class,
                "jobs": len(class_reports),
                "tasks": sum(len(r.request.document["tasks"]) for r in class_reports),
                "complete": len(completed),
                "slowdown_p50": round(statistics.median(ratios), 3) if ratios else None,
                "slowdown_p99": round(_pick_quantile(ratios, 0.99), 3) if ratios else None,
                "slowdown_max": round(ratios[-1], 3) if ratios else None,
            }
        )
    return rows


def _pick_quantile(sorted_values: list[float], fraction: float) -> float:
    return sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]
