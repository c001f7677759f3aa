"""Measures how long a floor change takes to be in force in every process."""

import argparse
import asyncio
import pathlib
import statistics
import time

import aiohttp

from standins.processes import DeploymentPlan, LocalDeployment, start_deployment, stop_deployment

POLL_INTERVAL_SECONDS = 0.02
PROPAGATION_TIMEOUT_SECONDS = 30.0


async def measure(deployment: LocalDeployment, changes: int) -> list[float]:
    """Applies floor changes at the entries in turn.

    Returns:
        Seconds from each request until every process reports the version.
    """
    times = []
    async with aiohttp.ClientSession() as session:
        for number in range(changes):
            base = deployment.entry_url(number % deployment.plan.entries)
            async with session.get(f"{base}/admin/v1/floor") as answer:
                current = await answer.json()
            document = current["document"]
            document["teams"][0]["weight"] = 1 + number % 9
            change = {
                "previous": current["version"],
                "change_id": f"measure-{number:04d}",
                "author": "measure",
                "document": document,
            }
            started = time.monotonic()
            async with session.put(f"{base}/admin/v1/floor", json=change) as answer:
                accepted = await answer.json()
            await _await_version(session, deployment, accepted["version"])
            times.append(time.monotonic() - started)
    return times


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


async def run(agents: int, changes: int) -> None:
    """Starts a floor, measures the changes and prints the times."""
    plan = DeploymentPlan(
        entries=2,
        slownesses=[1.0] * agents,
        slots=8,
        service="s",
        zones=["a", "b", "c"],
        folder=pathlib.Path(".run/propagation"),
        base_port=26000,
    )
    deployment = await start_deployment(plan)
    try:
        times = await measure(deployment, changes)
    finally:
        await stop_deployment(deployment)
    print(
        f"{changes} changes, 2 entries, {agents} agents: in force everywhere after "
        f"p50 {statistics.median(times):.2f} s, worst {max(times):.2f} s"
    )


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--agents", type=int, default=40)
    parser.add_argument("--changes", type=int, default=20)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.agents, arguments.changes))


if __name__ == "__main__":
    main()
