"""Tables for people."""

import statistics
from collections.abc import Iterable
from typing import Any

from rich.console import Console
from rich.table import Table

from comfreysill.cli.batch import JobReport, estimate_ideal


def print_table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """Prints rows under column names."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def summarize_classes(reports: list[JobReport], slots: int) -> list[dict[str, Any]]:
    """Returns response times against the ideal for each class.

    Args:
        reports: Answered jobs.
        slots: Slots of the floor.

    Returns:
        One mapping for each class with counts, and p50, p99 and maximum of the slowdown.
    """
    rows = []
    for task_class in ("urgent", "normal", "bulk"):
        of_class = [r for r in reports if r.request.document["class"] == task_class]
        complete = [r for r in of_class if r.status == 200]
        if not of_class:
            continue
        ratios = sorted(r.seconds / estimate_ideal(r.request.document, slots) for r in complete)
        rows.append(
            {
                "class": task_class,
                "jobs": len(of_class),
                "tasks": sum(len(r.request.document["tasks"]) for r in of_class),
                "complete": len(complete),
                "slowdown_p50": round(statistics.median(ratios), 3) if ratios else None,
                "slowdown_p99": round(_pick(ratios, 0.99), 3) if ratios else None,
                "slowdown_max": round(ratios[-1], 3) if ratios else None,
            }
        )
    return rows


def _pick(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
