"""Stand-in for callers: they resubmit a job whose answer they believe lost."""

import asyncio
import json
import time

import aiohttp
import uuid_utils

PATIENCE_SECONDS = 2.0


class CallerJob:
    """One job of a caller, and its answer once there is one."""

    __slots__ = ("job_id", "body", "tries", "status", "answer", "seconds")

    def __init__(self, *, job_id: str, body: bytes) -> None:
        self.job_id = job_id
        self.body = body
        self.tries = 0
        self.status = 0
        self.answer: dict = {}
        self.seconds = 0.0


def build_job(
    service: str,
    seconds: list[float],
    within: float,
    task_class: str = "normal",
    idempotent: bool = False,
) -> CallerJob:
    """Builds a job whose id carries its time."""
    tasks = [
        {
            "payload": json.dumps({"seconds": value}),
            "run_time": value,
            "idempotent": idempotent,
        }
        for value in seconds
    ]
    document = {
        "class": task_class,
        "deadline": time.time() + within,
        "service": service,
        "tasks": tasks,
    }
    return CallerJob(job_id=str(uuid_utils.uuid7()), body=json.dumps(document).encode())


async def call_until_answered(
    session: aiohttp.ClientSession, entries: list[str], job: CallerJob, first: int
) -> None:
    """Submits a job, and again to the next entry whenever the connection is lost."""
    started = time.monotonic()
    while True:
        url = f"{entries[(first + job.tries) % len(entries)]}/v1/teams/t/jobs/{job.job_id}"
        job.tries += 1
        try:
            async with session.put(url, data=job.body) as answer:
                job.answer = await answer.json(content_type=None)
                job.status = answer.status
                job.seconds = time.monotonic() - started
                return
        except (aiohttp.ClientError, OSError):
            await asyncio.sleep(0.05)
        if time.monotonic() - started > 60:
            return
