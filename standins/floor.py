"""Starts a small floor on loopback, submits an example's jobs and stops it gracefully."""

import asyncio
import pathlib
import subprocess
import sys

import yaml

from standins.processes import Floor, FloorPlan, read_starts, start_floor, stop_floor


def build_plan(folder: pathlib.Path) -> FloorPlan:
    """Builds the plan of an example."""
    trial = yaml.safe_load((folder / "trial.yaml").read_text())
    return FloorPlan(
        entries=trial["entries"],
        slownesses=trial["slownesses"],
        slots=trial["slots"],
        service=trial["service"],
        zones=trial["zones"],
        folder=pathlib.Path(".run") / folder.name,
        document=folder / "floor.yaml",
    )


def run_tool(floor: Floor, arguments: list[str]) -> int:
    """Runs the command-line tool against the floor."""
    entries = ",".join(floor.entry_url(index) for index in range(floor.plan.entries))
    command = [sys.executable, "-m", "comfreysill.cli.main", *arguments, "--entry", entries]
    return subprocess.run(command, check=False).returncode


async def run(folder: pathlib.Path) -> int:
    """Runs an example.

    Returns:
        0 when all jobs were completed, no task was started twice and all processes ended well.
    """
    plan = build_plan(folder)
    trial = yaml.safe_load((folder / "trial.yaml").read_text())
    print(f"starting {plan.entries} entries and {len(plan.slownesses)} targets ...")
    floor = await start_floor(plan)
    try:
        status = await asyncio.to_thread(
            run_tool, floor, ["job", "submit", str(folder / trial["jobs"])]
        )
    finally:
        ends = await stop_floor(floor)
    starts = [start[1:4] for start in read_starts(plan.folder)]
    doubles = len(starts) - len(set(starts))
    unclean = {name: code for name, code in ends.items() if code and name != "store"}
    print(f"starts logged by the runners: {len(starts)}, doubles: {doubles}")
    print(f"processes stopped gracefully: {len(ends) - len(unclean)} of {len(ends)}")
    return 1 if status or doubles or unclean else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run(pathlib.Path(sys.argv[1]))))
