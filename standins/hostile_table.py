"""Measures an entry beside clients that keep no limits, on real processes.

Printed are, for each form of crowd: the peak memory of the entry, its memory 2 s after the crowd
has left, its largest number of descriptors, and how long ordinary jobs take meanwhile.
"""

import argparse
import asyncio
import pathlib
import statistics
import tempfile
import time

import aiohttp
import psutil

from standins.hostile_crowd import Crowd, close_crowd, send_all
from standins.hostile_forms import FORMS, LINK_FORMS
from standins.platform_deployment import (
    CALLERS_PORT,
    LINK_PORT,
    PlatformDeployment,
    start_platform_deployment,
    stop_platform_deployment,
    submit_job,
)

ALL_FORMS = FORMS | LINK_FORMS
MB = 1 << 20
ATTEMPTS = 1_000
RUN_TIME = "0.02"
WAIT_SECONDS = 5.0
JOB_INTERVAL_SECONDS = 0.1
SETTLING_SECONDS = 2.0
# Sending is stopped for good above this, on code without limits.
MAX_MEMORY_MB = 1_500.0
MEMORY_INTERVAL_SECONDS = 0.05


class Measurement:
    """What was seen beside one crowd.

    Attributes:
        peak_mb: Largest resident memory of the entry, in MB.
        descriptors: Largest number of its open descriptors.
        seconds: Times to the answers with status 200, in seconds.
        others: Number of other answers, and of jobs without an answer.
    """

    __slots__ = ("peak_mb", "descriptors", "seconds", "others")

    def __init__(self) -> None:
        self.peak_mb = 0.0
        self.descriptors = 0
        self.seconds: list[float] = []
        self.others = 0


async def measure_crowd(
    form: str, connections: int, megabytes: float, seconds: float, network: str, port: int = 0
) -> str:
    """Returns a line of the table; for the arguments see `main`."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = PlatformDeployment(
            network=network, folder=pathlib.Path(folder), entries=1, agents=2
        )
        deployment.limits = {"memory-mb": 160, "max-fds": 1_638}
        try:
            await start_platform_deployment(deployment)
            await asyncio.sleep(SETTLING_SECONDS)
            return await _measure(deployment, form, connections, megabytes, seconds, port)
        finally:
            await stop_platform_deployment(deployment)


async def _measure(
    deployment: PlatformDeployment,
    form: str,
    connections: int,
    megabytes: float,
    seconds: float,
    port: int,
) -> str:
    port = port or (LINK_PORT if form in LINK_FORMS else CALLERS_PORT)
    crowd = Crowd(
        address=f"{deployment.find_ip('entry-0')}:{port}",
        form=ALL_FORMS[form],
        connections=connections,
        attempts=ATTEMPTS,
        max_bytes=int(megabytes * MB),
        seconds=seconds,
    )
    process = psutil.Process(deployment.processes["entry-0"].pid)
    measurement = Measurement()
    watch = asyncio.create_task(_watch_memory(process, crowd, measurement))
    callers = asyncio.create_task(_call_as_ordinary_caller(deployment, seconds, measurement))
    await send_all(crowd)
    await callers
    close_crowd(crowd)
    await asyncio.sleep(SETTLING_SECONDS)
    watch.cancel()
    after_mb = process.memory_info().rss / MB
    milliseconds = sorted(1000 * value for value in measurement.seconds) or [0.0]
    return (
        f"{form:28} {connections:5} {crowd.sent / MB:7.0f} {measurement.peak_mb:7.0f} "
        f"{after_mb:7.0f} {measurement.descriptors:6} {len(measurement.seconds):6} "
        f"{measurement.others:6} {statistics.median(milliseconds):7.0f} "
        f"{milliseconds[int(0.95 * len(milliseconds))]:7.0f} {milliseconds[-1]:7.0f}"
    )


async def _watch_memory(process: psutil.Process, crowd: Crowd, measurement: Measurement) -> None:
    while True:
        memory_mb = process.memory_info().rss / MB
        measurement.peak_mb = max(measurement.peak_mb, memory_mb)
        measurement.descriptors = max(measurement.descriptors, process.num_fds())
        if memory_mb > MAX_MEMORY_MB:
            crowd.ends_at = time.monotonic()
            crowd.max_bytes = 0
        await asyncio.sleep(MEMORY_INTERVAL_SECONDS)


async def _call_as_ordinary_caller(
    deployment: PlatformDeployment, seconds: float, measurement: Measurement
) -> None:
    ends_at = time.monotonic() + seconds
    calls = []
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < ends_at:
            job = f"{len(calls):016x}"
            calls.append(asyncio.create_task(_call(session, deployment, job, measurement)))
            await asyncio.sleep(JOB_INTERVAL_SECONDS)
        await asyncio.gather(*calls)


async def _call(
    session: aiohttp.ClientSession,
    deployment: PlatformDeployment,
    job: str,
    measurement: Measurement,
) -> None:
    began_at = time.monotonic()
    status, _ = await submit_job(session, deployment, "entry-0", job, 1, RUN_TIME, WAIT_SECONDS)
    if status == 200:
        measurement.seconds.append(time.monotonic() - began_at)
    else:
        measurement.others += 1


def main() -> None:
    """Measures the crowds named, or one of each form, and prints a line for each."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--form", action="append", choices=ALL_FORMS)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--megabytes", type=float, default=200.0, help="of each connection")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--port", type=int, default=0, help="of the entry; 0 for the usual one")
    parser.add_argument("--network", default="127.131")
    options = parser.parse_args()
    print("form                         conns sent MB peak MB   after    fds served others", end="")
    print("  p50 ms  p95 ms longest")
    for form in options.form or ALL_FORMS:
        line = measure_crowd(
            form,
            options.connections,
            options.megabytes,
            options.seconds,
            options.network,
            options.port,
        )
        print(asyncio.run(line), flush=True)


if __name__ == "__main__":
    main()
