"""Measures how long calm requests wait for their first start, on real processes.

Printed are the milliseconds from the sending of a request to the first start of one of its tasks at
a runner, on loopback: median, 95th and 99th percentile, and longest.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import tempfile
import time

import aiohttp

from standins.platform_deployment import (
    PlatformDeployment,
    start_platform_deployment,
    stop_platform_deployment,
    submit_job,
)

TASKS, RUN_TIME = 2, "0.1"
WAIT_SECONDS = 5.0
SUBMISSION_INTERVAL_SECONDS = 0.03
SETTLING_SECONDS = 2.0
# The first requests open connections and fill caches.
SKIPPED_REQUESTS = 20


async def measure_first_starts(
    entries: int, agents: int, requests: int, network: str
) -> list[float]:
    """Returns the seconds from sending to first start of each request but the first, in order.

    Args:
        entries: Number of entries, which are asked in turn.
        agents: Number of agents.
        requests: Number of requests.
        network: First two octets of the loopback addresses, as in `127.5`.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = PlatformDeployment(
            network=network, folder=pathlib.Path(folder), entries=entries, agents=agents
        )
        try:
            await start_platform_deployment(deployment)
            await asyncio.sleep(SETTLING_SECONDS)
            sent_at = await _send_requests(deployment, requests)
        finally:
            await stop_platform_deployment(deployment)
        started_at = _read_first_starts(deployment.folder)
    seconds = [started_at[job] - at for job, at in sent_at.items() if job in started_at]
    return sorted(seconds[SKIPPED_REQUESTS:])


async def _send_requests(deployment: PlatformDeployment, requests: int) -> dict[str, float]:
    """Returns the Unix times in seconds at which requests were sent, by their ids."""
    sent_at: dict[str, float] = {}
    calls = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for number in range(requests):
            job = f"{number:016x}"
            entry = deployment.entries[number % len(deployment.entries)]
            call = submit_job(session, deployment, entry, job, TASKS, RUN_TIME, WAIT_SECONDS)
            sent_at[job] = time.time()
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(SUBMISSION_INTERVAL_SECONDS)
        await asyncio.gather(*calls)
    return sent_at


def _read_first_starts(folder: pathlib.Path) -> dict[str, float]:
    """Returns the Unix times in seconds of the first starts at runners, by request id."""
    started_at: dict[str, float] = {}
    for log in folder.glob("starts-*.log"):
        for line in log.read_text().splitlines():
            logged_at, event, task, _ = json.loads(line)
            job = task.partition(".")[0]
            if event == "start":
                started_at[job] = min(logged_at, started_at.get(job, logged_at))
    return started_at


def main() -> None:
    """Measures once and prints a line."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=8)
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--network", default="127.130")
    options = parser.parse_args()
    seconds = asyncio.run(
        measure_first_starts(options.entries, options.agents, options.requests, options.network)
    )
    milliseconds = [1000 * value for value in seconds]
    ninety_fifth, ninety_ninth = (
        milliseconds[int(share * len(milliseconds))] for share in (0.95, 0.99)
    )
    print("requests median   p95   p99 longest")
    print(
        f"{len(milliseconds):8} {statistics.median(milliseconds):6.1f} {ninety_fifth:5.1f} "
        f"{ninety_ninth:5.1f} {milliseconds[-1]:7.1f}"
    )


if __name__ == "__main__":
    main()
