"""Stand-in for callers that resubmit a job when the connection breaks before the answer."""

import asyncio
import json
import time

import aiohttp
import uuid_utils

PATIENCE_SECONDS = 2.0


class CallerJob:
    """A job of a caller and its answer.

    Attributes:
        job_id: ID of the job.
        body: JSON body of the submission.
        submissions: How often the job was submitted.
        status: HTTP status of the answer, 0 before it arrives.
        answer: JSON document of the answer, empty before it arrives.
        response_seconds: Time in seconds from the first submission to the answer, 0 before it
            arrives.
    """

    __slots__ = ("job_id", "body", "submissions", "status", "answer", "response_seconds")

    def __init__(self, *, job_id: str, body: bytes) -> None:
        self.job_id = job_id
        self.body = body
        self.submissions = 0
        self.status = 0
        self.answer: dict = {}
        self.response_seconds = 0.0


def build_job(
    service: str,
    run_times: list[float],
    timeout_seconds: float,
    task_class: str = "normal",
    idempotent: bool = False,
) -> CallerJob:
    """Builds a job whose ID is a UUIDv7, which contains its creation time.

    Args:
        service: Service that runs the tasks.
        run_times: Run time of each task, in seconds.
        timeout_seconds: Time from now to the job's deadline.
        task_class: Class of the tasks.
        idempotent: Whether the tasks may be run more than once.
    """
    tasks = [
        {
            "payload": json.dumps({"seconds": run_time}),
            "run_time": run_time,
            "idempotent": idempotent,
        }
        for run_time in run_times
    ]
    document = {
        "class": task_class,
        "deadline": time.time() + timeout_seconds,
        "service": service,
        "tasks": tasks,
    }
    return CallerJob(job_id=str(uuid_utils.uuid7()), body=json.dumps(document).encode())


async def call_until_answered(
    session: aiohttp.ClientSession, entries: list[str], job: CallerJob, first_entry: int
) -> None:
    """Submits a job, and resubmits it to the next entry whenever the connection is lost.

    Gives up if a connection is lost more than 60 s after the first submission; the job's status is
    then still 0.

    Args:
        session: HTTP client session.
        entries: Base URLs of the entries.
        job: Job to submit; receives the answer.
        first_entry: Index of the first entry to use, modulo the number of entries.
    """
    started_at = time.monotonic()
    while True:
        url = (
            f"{entries[(first_entry + job.submissions) % len(entries)]}"
            f"/v1/teams/t/jobs/{job.job_id}"
        )
        job.submissions += 1
        try:
            async with session.put(url, data=job.body) as answer:
                job.answer = await answer.json(content_type=None)
                job.status = answer.status
                job.response_seconds = time.monotonic() - started_at
                return
        except (aiohttp.ClientError, OSError):
            await asyncio.sleep(0.05)
        if time.monotonic() - started_at > 60:
            return
