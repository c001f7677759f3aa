"""Plots that compare experiment runs."""

import json
import pathlib
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

PERCENTILE_COLUMNS = ("p50", "p90", "p99", "p99.9")


def read_runs(paths: list[pathlib.Path]) -> list[dict[str, Any]]:
    """Reads the JSON summaries of runs."""
    return [json.loads(path.read_text()) for path in paths]


def draw_runs(runs: list[dict[str, Any]], image_path: pathlib.Path) -> None:
    """Plots slowdown by class, and messages per task by kind, of all runs into one image file."""
    classes = sorted({name for run in runs for name in run["classes"]})
    figure, axes = pyplot.subplots(
        1, len(classes) + 1, figsize=(4 * (len(classes) + 1), 4), layout="constrained"
    )
    width = 0.8 / len(runs)
    for axis, name in zip(axes, classes, strict=False):
        for run_index, run in enumerate(runs):
            values = [
                run["classes"].get(name, {}).get(column) or 0 for column in PERCENTILE_COLUMNS
            ]
            positions = [
                position + run_index * width for position in range(len(PERCENTILE_COLUMNS))
            ]
            axis.bar(positions, values, width, label=run["title"])
        axis.set_xticks(range(len(PERCENTILE_COLUMNS)), PERCENTILE_COLUMNS)
        axis.set_title(f"slowdown, {name}")
        axis.set_yscale("log")
    _draw_messages(axes[-1], runs)
    figure.legend(*axes[0].get_legend_handles_labels(), loc="outside lower center")
    figure.savefig(image_path)
    pyplot.close(figure)


def _draw_messages(axis: Any, runs: list[dict[str, Any]]) -> None:
    kinds = sorted({kind for run in runs for kind in run.get("messages", {})})
    for run_index, run in enumerate(runs):
        bottom = 0.0
        for kind in kinds:
            value = run.get("messages", {}).get(kind, 0) / max(1, run["tasks"])
            color = f"C{kinds.index(kind)}"
            axis.bar(
                run_index, value, bottom=bottom, color=color, label=kind if not run_index else ""
            )
            bottom += value
    axis.set_xticks(range(len(runs)), [run["experiment"] for run in runs], rotation=20)
    axis.set_title("messages per task, by kind")
    axis.legend(fontsize="small")
