"""Runs an example deployment: starts its processes, submits its jobs and stops it gracefully."""

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
    """Builds the deployment plan of an example from its `trial.yaml`."""
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
    """Runs the command-line tool against the entries of a deployment.

    Returns:
        Exit status of the tool.
    """
    entries = ",".join(deployment.entry_url(index) for index in range(deployment.plan.entries))
    command = [sys.executable, "-m", "comfreysill.cli.main", *arguments, "--entry", entries]
    return subprocess.run(command, check=False).returncode


async def run_example(folder: pathlib.Path) -> int:
    """Starts the processes of an example, submits its jobs and stops the processes.

    Returns:
        0 if all jobs completed, no task started more than once and all processes but the store,
        which isn't checked, exited with status 0; 1 otherwise.
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
    # Team, job and task of each start.
    starts = [start[1:4] for start in read_starts(plan.folder)]
    repeated_starts = len(starts) - len(set(starts))
    failed = {name: code for name, code in exit_statuses.items() if code and name != "store"}
    print(f"starts logged by the runners: {len(starts)}, doubles: {repeated_starts}")
    print(
        "processes that exited with status 0 (store not checked): "
        f"{len(exit_statuses) - len(failed)} of {len(exit_statuses)}"
    )
    return 1 if status or repeated_starts or failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_example(pathlib.Path(sys.argv[1]))))
