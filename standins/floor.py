"""Starts a small floor on loopback, submits the jobs of an example and stops gracefully."""

import asyncio
import pathlib
import subprocess
import sys

import yaml

from standins.processes import (
    DeploymentPlan,
    LocalDeployment,
    read_starts,
    start_deployment,
    stop_deployment,
)


def build_plan(folder: pathlib.Path) -> DeploymentPlan:
    """Builds the floor plan of an example."""
    example = yaml.safe_load((folder / "trial.yaml").read_text())
    return DeploymentPlan(
        entries=example["entries"],
        slownesses=example["slownesses"],
        slots=example["slots"],
        service=example["service"],
        zones=example["zones"],
        folder=pathlib.Path(".run") / folder.name,
        document=folder / "floor.yaml",
    )


def run_cli(deployment: LocalDeployment, arguments: list[str]) -> int:
    """Runs the command-line tool against the floor.

    Returns:
        Exit status of the tool.
    """
    entries = ",".join(deployment.entry_url(index) for index in range(deployment.plan.entries))
    command = [sys.executable, "-m", "comfreysill.cli.main", *arguments, "--entry", entries]
    return subprocess.run(command, check=False).returncode


async def run(folder: pathlib.Path) -> int:
    """Runs an example.

    Returns:
        0 if all jobs completed, no task started twice and all processes but the store exited
        with status 0; 1 otherwise.
    """
    plan = build_plan(folder)
    example = yaml.safe_load((folder / "trial.yaml").read_text())
    print(f"starting {plan.entries} entries and {len(plan.slownesses)} targets ...")
    deployment = await start_deployment(plan)
    try:
        status = await asyncio.to_thread(
            run_cli, deployment, ["job", "submit", str(folder / example["jobs"])]
        )
    finally:
        exit_statuses = await stop_deployment(deployment)
    starts = [start[1:4] for start in read_starts(plan.folder)]
    doubles = len(starts) - len(set(starts))
    failed = {name: code for name, code in exit_statuses.items() if code and name != "store"}
    print(f"starts logged by the runners: {len(starts)}, doubles: {doubles}")
    print(
        f"processes stopped gracefully: {len(exit_statuses) - len(failed)} of {len(exit_statuses)}"
    )
    return 1 if status or doubles or failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run(pathlib.Path(sys.argv[1]))))
