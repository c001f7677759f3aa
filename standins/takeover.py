"""Measures the time from kill -9 of an owner to the first task start under the new owner."""

import argparse
import asyncio
import json
import pathlib
import statistics
import time

import aiohttp

from comfreysill.job.types import JobKey
from comfreysill.partition.hashing import choose_owner, find_partition
from standins.callers import CallerJob, build_job, call_until_answered
from standins.processes import (
    DeploymentPlan,
    LocalDeployment,
    kill_process,
    read_starts,
    start_deployment,
    stop_deployment,
)

WARM_UP_SECONDS = 2.5
PROBE_INTERVAL_SECONDS = 0.02
PROBE_COUNT = 200


async def measure(deployment: LocalDeployment) -> float:
    """Kills the first entry and submits jobs of its partitions to the second.

    Returns:
        Seconds from the kill to the first start of such a job.
    """
    async with aiohttp.ClientSession() as session:
        entry_names = []
        for index in range(deployment.plan.entries):
            async with session.get(f"{deployment.entry_url(index)}/v1/status") as answer:
                entry_names.append((await answer.json())["entry"])
        killed_at = time.time()
        await kill_process(deployment, "entry-0")
        entries = [deployment.entry_url(1)]
        calls, job_ids = [], []
        for _ in range(PROBE_COUNT):
            job = _build_job_owned_by(entry_names, entry_names[0])
            job_ids.append(job.job_id)
            calls.append(asyncio.create_task(call_until_answered(session, entries, job, 0)))
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        await asyncio.gather(*calls)
    start_times = [
        start[0] for start in read_starts(deployment.plan.folder) if start[2] in set(job_ids)
    ]
    return min(start_times) - killed_at


def _build_job_owned_by(entry_names: list[str], owner: str) -> CallerJob:
    while True:
        job = build_job("s", [0.02], 20)
        partition = find_partition(JobKey(team="t", job_id=job.job_id))
        if choose_owner(partition, entry_names) == owner:
            return job


async def run(run_count: int) -> None:
    """Runs each measurement on a new deployment and prints the times as JSON."""
    times = []
    for run_index in range(run_count):
        plan = DeploymentPlan(
            entries=2,
            slownesses=[1.0] * 4,
            slots=8,
            service="s",
            zones=["a", "b", "c"],
            folder=pathlib.Path(".run/takeover"),
            base_port=27000 + 500 * run_index,
        )
        deployment = await start_deployment(plan)
        try:
            await asyncio.sleep(WARM_UP_SECONDS)
            times.append(round(await measure(deployment), 3))
        finally:
            await stop_deployment(deployment)
    print(json.dumps({"seconds": times, "median": statistics.median(times), "worst": max(times)}))


def main() -> None:
    """Measures the time from kill -9 of an owner to the first task start under the new owner."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--runs", type=int, default=5)
    asyncio.run(run(parser.parse_args().runs))


if __name__ == "__main__":
    main()
