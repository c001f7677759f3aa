"""Open-loop driver: each job goes out at its own time, whatever became of the others."""

import asyncio
import time

import aiohttp
import orjson
import uuid_utils

from comfreysill.cli.client import JOB_PATH
from comfreysill.load.arrivals import REPEATS_AFTER_SECONDS, Arrival, build_document

CANCEL_AFTER_SECONDS = 0.1
PROBES = 21


class Sample:
    """What became of one arrival.

    Attributes:
        arrival: The job.
        job_id: Its id.
        status: HTTP status, 0 when the connection broke.
        answer: The answer's document.
        seconds: Response time in seconds, from the time at which the job was due.
    """

    __slots__ = ("arrival", "job_id", "status", "answer", "seconds")

    def __init__(self, *, arrival: Arrival, job_id: str) -> None:
        self.arrival = arrival
        self.job_id = job_id
        self.status = 0
        self.answer: dict = {}
        self.seconds = 0.0


async def drive_arrivals(entries: list[str], service: str, arrivals: list[Arrival]) -> list[Sample]:
    """Submits all arrivals at their times and waits for the answers.

    Args:
        entries: Addresses of entries, used in turn as by a balancer.
        service: Service that runs the tasks.
        arrivals: The jobs in the order of their times.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    samples, calls = [], []
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        started = time.monotonic()
        for number, arrival in enumerate(arrivals):
            delay = started + arrival.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            sample = Sample(arrival=arrival, job_id=str(uuid_utils.uuid7()))
            samples.append(sample)
            due = started + arrival.at
            call = _submit(session, entries, number, service, sample, due)
            calls.append(asyncio.create_task(call))
        await asyncio.gather(*calls)
    return samples


async def measure_round_trip(entry: str) -> float:
    """Returns the median time in seconds of a request that does nothing."""
    times = []
    async with aiohttp.ClientSession() as session:
        for _ in range(PROBES):
            started = time.perf_counter()
            async with session.get(f"{entry}/health") as answer:
                await answer.read()
            times.append(time.perf_counter() - started)
    return sorted(times)[PROBES // 2]


async def _submit(
    session: aiohttp.ClientSession,
    entries: list[str],
    number: int,
    service: str,
    sample: Sample,
    due: float,
) -> None:
    arrival = sample.arrival
    path = JOB_PATH.format(team=arrival.team, job_id=sample.job_id)
    body = orjson.dumps(build_document(arrival, service, time.time()))
    url = entries[number % len(entries)] + path
    others = []
    if arrival.repeat:
        other = entries[(number + 1) % len(entries)] + path
        others.append(asyncio.create_task(_repeat(session, other, body)))
    if arrival.cancel:
        others.append(asyncio.create_task(_cancel(session, url)))
    try:
        async with session.put(url, data=body) as answer:
            sample.answer = orjson.loads(await answer.read())
            sample.status = answer.status
    except (aiohttp.ClientError, OSError, orjson.JSONDecodeError):
        sample.status = 0
    sample.seconds = time.monotonic() - due
    await asyncio.gather(*others)


async def _repeat(session: aiohttp.ClientSession, url: str, body: bytes) -> None:
    await asyncio.sleep(REPEATS_AFTER_SECONDS)
    try:
        async with session.put(url, data=body) as answer:
            await answer.read()
    except (aiohttp.ClientError, OSError):
        return


async def _cancel(session: aiohttp.ClientSession, url: str) -> None:
    await asyncio.sleep(CANCEL_AFTER_SECONDS)
    try:
        async with session.delete(url) as answer:
            await answer.read()
    except (aiohttp.ClientError, OSError):
        return
