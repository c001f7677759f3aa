"""Job files: YAML documents that describe jobs to submit together."""

import asyncio
import pathlib
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import uuid_utils

from comfreysill.cli.client import JOB_PATH, send_request
from comfreysill.entry.documents import NAME_PATTERN
from comfreysill.schemas import check_document, read_yaml

JOBS_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["jobs"],
    "properties": {
        "jobs": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["team", "class", "within_seconds", "service", "tasks"],
                "properties": {
                    "team": {"type": "string", "pattern": NAME_PATTERN},
                    "id": {"type": "string", "pattern": NAME_PATTERN},
                    "name": {"type": "string"},
                    "copies": {"type": "integer", "minimum": 1, "maximum": 10000},
                    "class": {"enum": ["urgent", "normal", "bulk"]},
                    "within_seconds": {"type": "number", "exclusiveMinimum": 0},
                    "service": {"type": "string", "pattern": NAME_PATTERN},
                    "tasks": {
                        "type": "array",
                        "minItems": 1,
                        "items": {
                            "type": "object",
                            "additionalProperties": False,
                            "required": ["payload", "run_time"],
                            "properties": {
                                "payload": {"type": "string"},
                                "run_time": {"type": "number", "exclusiveMinimum": 0},
                                "size_mb": {"type": "integer", "minimum": 0},
                                "idempotent": {"type": "boolean"},
                                "count": {"type": "integer", "minimum": 1, "maximum": 2000},
                            },
                        },
                    },
                },
            },
        }
    },
}


class JobRequest:
    """One job to submit.

    Attributes:
        team: Team that submits the job.
        job_id: ID of the job, the idempotency key; a new UUID if the file gives none.
        name: Display name of the job; the ID if the file gives none.
        document: JSON body of the submission.
    """

    __slots__ = ("team", "job_id", "name", "document")

    def __init__(self, *, team: str, job_id: str, name: str, document: dict[str, Any]) -> None:
        self.team = team
        self.job_id = job_id
        self.name = name
        self.document = document


class JobReport:
    """Outcome of one submitted job.

    Attributes:
        request: The job.
        status: HTTP status of the answer.
        answer: JSON body of the answer, or the problem details of an error.
        seconds: Response time in seconds.
    """

    __slots__ = ("request", "status", "answer", "seconds")

    def __init__(
        self, *, request: JobRequest, status: int, answer: dict[str, Any], seconds: float
    ) -> None:
        self.request = request
        self.status = status
        self.answer = answer
        self.seconds = seconds


def read_jobs(path: pathlib.Path, now: float) -> list[JobRequest]:
    """Reads a job file.

    Args:
        path: The file.
        now: Unix time in seconds to which `within_seconds` is added.

    Raises:
        DocumentError: The file has errors; all of them are listed.
        UsageError: The file can't be read.
    """
    document = read_yaml(path, "FILE")
    check_document(document, JOBS_SCHEMA, str(path))
    requests = []
    for job in document["jobs"]:
        for _ in range(job.get("copies", 1)):
            requests.append(_build_request(job, now))
    return requests


async def submit_jobs(
    entries: list[str], requests: list[JobRequest], report: Callable[[JobReport], None]
) -> list[JobReport]:
    """Submits jobs concurrently, distributed round-robin over the entries.

    Args:
        entries: Base URLs of entries.
        requests: The jobs.
        report: Called with the outcome of each job once it is answered.

    Returns:
        The outcomes in the order of `requests`.

    Raises:
        UnreachableError: An entry did not answer a submission, or not with JSON.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:

        async def submit(request: JobRequest, entry: str) -> JobReport:
            path = JOB_PATH.format(team=request.team, job_id=request.job_id)
            started_at = time.monotonic()
            reply = await send_request(session, entry, "PUT", path, request.document)
            job_report = JobReport(
                request=request,
                status=reply.status,
                answer=reply.document,
                seconds=time.monotonic() - started_at,
            )
            report(job_report)
            return job_report

        calls = [
            submit(request, entries[index % len(entries)]) for index, request in enumerate(requests)
        ]
        return list(await asyncio.gather(*calls))


def estimate_ideal_time(document: dict[str, Any], slots: int) -> float:
    """Returns a lower bound in seconds on the response time of a job on idle targets.

    The bound is the greater of the longest run time and the total run time divided by `slots`.
    """
    times = [task["run_time"] for task in document["tasks"]]
    return max(max(times), sum(times) / max(1, slots))


def _build_request(job: dict[str, Any], now: float) -> JobRequest:
    tasks = []
    for task in job["tasks"]:
        fields = {name: value for name, value in task.items() if name != "count"}
        tasks += [fields] * task.get("count", 1)
    document = {
        "class": job["class"],
        "deadline": now + job["within_seconds"],
        "service": job["service"],
        "tasks": tasks,
    }
    job_id = job.get("id") or str(uuid_utils.uuid7())
    name = job.get("name", job_id)
    return JobRequest(team=job["team"], job_id=job_id, name=name, document=document)
