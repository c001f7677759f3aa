"""Measures how long a change of the floor document takes to reach every process."""

import argparse
import asyncio
import pathlib
import statistics
import time

import aiohttp

from standins.processes import DeploymentPlan, LocalDeployment, start_deployment, stop_deployment

# Also the resolution of the measurement.
POLL_INTERVAL_SECONDS = 0.02
PROPAGATION_TIMEOUT_SECONDS = 30.0


async def measure(deployment: LocalDeployment, change_count: int) -> list[float]:
    """Applies changes of the floor document at the entries in turn.

    Returns:
        Seconds from each request until each entry lists that version for every process.
    """
    durations = []
    async with aiohttp.ClientSession() as session:
        for change_index in range(change_count):
            base = deployment.entry_url(change_index % deployment.plan.entries)
            async with session.get(f"{base}/admin/v1/floor") as answer:
                current = await answer.json()
            document = current["document"]
            # Any weight that differs from the previous one.
            document["teams"][0]["weight"] = 1 + change_index % 9
            change = {
                "previous": current["version"],
                "change_id": f"measure-{change_index:04d}",
                "author": "measure",
                "document": document,
            }
            started = time.monotonic()
            async with session.put(f"{base}/admin/v1/floor", json=change) as answer:
                result = await answer.json()
            await _await_version(session, deployment, result["version"])
            durations.append(time.monotonic() - started)
    return durations


async def _await_version(
    session: aiohttp.ClientSession, deployment: LocalDeployment, version: int
) -> None:
    deadline = time.monotonic() + PROPAGATION_TIMEOUT_SECONDS
    urls = [deployment.entry_url(index) for index in range(deployment.plan.entries)]
    while time.monotonic() < deadline:
        lowest = version
        for url in urls:
            async with session.get(f"{url}/admin/v1/floor/versions") as answer:
                versions = (await answer.json())["versions"]
            lowest = min(lowest, *versions.values())
        if lowest >= version:
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(f"version {version} is not in force after {PROPAGATION_TIMEOUT_SECONDS} s")


async def run(agent_count: int, change_count: int) -> None:
    """Measures on a new deployment, and prints the median and maximum time."""
    plan = DeploymentPlan(
        entries=2,
        slownesses=[1.0] * agent_count,
        slots=8,
        service="s",
        zones=["a", "b", "c"],
        folder=pathlib.Path(".run/propagation"),
        base_port=26000,
    )
    deployment = await start_deployment(plan)
    try:
        durations = await measure(deployment, change_count)
    finally:
        await stop_deployment(deployment)
    print(
        f"{change_count} changes, 2 entries, {agent_count} agents: in force everywhere after "
        f"p50 {statistics.median(durations):.2f} s, worst {max(durations):.2f} s"
    )


def main() -> None:
    """Measures how long a change of the floor document takes to reach every process."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--agents", type=int, default=40)
    parser.add_argument("--changes", type=int, default=20)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.agents, arguments.changes))


if __name__ == "__main__":
    main()
