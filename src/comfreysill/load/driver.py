"""Open-loop load driver: submits each job at its arrival time, regardless of earlier jobs."""

import asyncio
import time

import aiohttp
import orjson
import uuid_utils

from comfreysill.cli.client import JOB_PATH
from comfreysill.load.arrivals import RESUBMIT_DELAY_SECONDS, Arrival, build_submission

CANCEL_DELAY_SECONDS = 0.1
ROUND_TRIP_PROBES = 21


class Sample:
    """Outcome of one arrival.

    Attributes:
        arrival: The job.
        job_id: ID of the job.
        status: HTTP status, 0 if the connection failed or the body is not JSON.
        answer: JSON body of the answer, empty for status 0.
        response_seconds: Time in seconds from the scheduled arrival to the answer or the failure.
    """

    __slots__ = ("arrival", "job_id", "status", "answer", "response_seconds")

    def __init__(self, *, arrival: Arrival, job_id: str) -> None:
        self.arrival = arrival
        self.job_id = job_id
        self.status = 0
        self.answer: dict = {}
        self.response_seconds = 0.0


async def drive_arrivals(entries: list[str], service: str, arrivals: list[Arrival]) -> list[Sample]:
    """Submits all jobs at their arrival times and waits for the answers.

    Args:
        entries: Base URLs of entries, used round-robin.
        service: Service that runs the tasks.
        arrivals: The jobs, ordered by arrival time.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    samples, calls = [], []
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        started_at = time.monotonic()
        for arrival_index, arrival in enumerate(arrivals):
            delay = started_at + arrival.offset_seconds - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            sample = Sample(arrival=arrival, job_id=str(uuid_utils.uuid7()))
            samples.append(sample)
            due_at = started_at + arrival.offset_seconds
            call = _submit(session, entries, arrival_index, service, sample, due_at)
            calls.append(asyncio.create_task(call))
        await asyncio.gather(*calls)
    return samples


async def measure_round_trip(entry: str) -> float:
    """Returns the median round-trip time in seconds of health requests."""
    times = []
    async with aiohttp.ClientSession() as session:
        for _ in range(ROUND_TRIP_PROBES):
            started_at = time.perf_counter()
            async with session.get(f"{entry}/health") as answer:
                await answer.read()
            times.append(time.perf_counter() - started_at)
    return sorted(times)[ROUND_TRIP_PROBES // 2]


async def _submit(
    session: aiohttp.ClientSession,
    entries: list[str],
    arrival_index: int,
    service: str,
    sample: Sample,
    due_at: float,
) -> None:
    arrival = sample.arrival
    path = JOB_PATH.format(team=arrival.team, job_id=sample.job_id)
    body = orjson.dumps(build_submission(arrival, service, time.time()))
    url = entries[arrival_index % len(entries)] + path
    extra_calls = []
    if arrival.resubmit:
        other_url = entries[(arrival_index + 1) % len(entries)] + path
        extra_calls.append(asyncio.create_task(_resubmit(session, other_url, body)))
    if arrival.cancel:
        extra_calls.append(asyncio.create_task(_cancel(session, url)))
    try:
        async with session.put(url, data=body) as answer:
            sample.answer = orjson.loads(await answer.read())
            sample.status = answer.status
    except (aiohttp.ClientError, OSError, orjson.JSONDecodeError):
        sample.status = 0
    sample.response_seconds = time.monotonic() - due_at
    await asyncio.gather(*extra_calls)


async def _resubmit(session: aiohttp.ClientSession, url: str, body: bytes) -> None:
    await asyncio.sleep(RESUBMIT_DELAY_SECONDS)
    try:
        async with session.put(url, data=body) as answer:
            await answer.read()
    except (aiohttp.ClientError, OSError):
        return


async def _cancel(session: aiohttp.ClientSession, url: str) -> None:
    await asyncio.sleep(CANCEL_DELAY_SECONDS)
    try:
        async with session.delete(url) as answer:
            await answer.read()
    except (aiohttp.ClientError, OSError):
        return
