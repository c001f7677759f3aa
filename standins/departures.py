"""Measures runs of a task at the same time where an entry can't know that callers have left.

Real processes; callers behave as on the users' page: one that has waited for its time closes its
connection. RETRY_SECONDS after that, or after its connection has broken, it submits its job again,
to the next entry. All first ask the entry whose path harms: connections break at their callers, and
the entry is told late or never; or all that passes is held for a time, each opening, byte and end.
Printed for each case: the jobs by the submission that was answered, how long that took, and the
overlapping runs.
"""

import argparse
import asyncio
import itertools
import math
import pathlib
import statistics
import tempfile
import time

import aiohttp

from standins.pauses import Job
from standins.platform_deployment import (
    CALLERS_PORT,
    RETRY_SECONDS,
    Overlap,
    PlatformDeployment,
    find_overlaps,
    start_platform_deployment,
    stop_platform_deployment,
    submit_job,
)
from standins.proxy import Proxy, start_proxy, stop_proxy

ENTRIES, AGENTS = 3, 6
HARMED_ENTRY = "entry-0"
PROXY_PORT = 8203
TASKS = 2
WARM_UP_RUN_TIME = "0.05"
SUBMISSION_INTERVAL_SECONDS = 0.1
# Runs that callers have given up end within this.
SETTLING_SECONDS = 0.5
MAX_SUBMISSIONS = 6
FIRST_OCTET, LAST_OCTET = 220, 249


class Case:
    """What the path between callers and an entry does, and to which jobs.

    Attributes:
        break_seconds: Connections break at their callers this long after their opening; infinite
            for never.
        told_seconds: For how long the entry isn't told of a break; infinite for never.
        hold_seconds: For how long what passes is held.
        kept_alive: Whether callers use connections that they have had an answer on before.
        run_seconds: Run time of the tasks.
        wait_seconds: How long callers wait.
    """

    __slots__ = (
        "break_seconds",
        "told_seconds",
        "hold_seconds",
        "kept_alive",
        "run_seconds",
        "wait_seconds",
    )

    def __init__(
        self,
        *,
        break_seconds: float = math.inf,
        told_seconds: float = math.inf,
        hold_seconds: float = 0.0,
        kept_alive: bool = False,
        run_seconds: float = 1.45,
        wait_seconds: float = 1.5,
    ) -> None:
        self.break_seconds = break_seconds
        self.told_seconds = told_seconds
        self.hold_seconds = hold_seconds
        self.kept_alive = kept_alive
        self.run_seconds = run_seconds
        self.wait_seconds = wait_seconds


class Outcome:
    """What has become of a case's jobs.

    Attributes:
        jobs: The jobs.
        overlaps: Starts of a task during another run of it.
    """

    __slots__ = ("jobs", "overlaps")

    def __init__(self, *, jobs: list[Job], overlaps: list[Overlap]) -> None:
        self.jobs = jobs
        self.overlaps = overlaps

    @property
    def unanswered(self) -> int:
        """Number of jobs without an answer."""
        return sum(not job.answered_at for job in self.jobs)


class Trial:
    """State of one case's trial.

    Attributes:
        case: The case.
        deployment: The deployment.
        session: HTTP client session.
        jobs: The submitted jobs.
    """

    __slots__ = ("case", "deployment", "session", "jobs")

    def __init__(
        self, *, case: Case, deployment: PlatformDeployment, session: aiohttp.ClientSession
    ) -> None:
        self.case = case
        self.deployment = deployment
        self.session = session
        self.jobs: list[Job] = []


async def run_trial(case: Case, network: str, job_count: int) -> Outcome:
    """Plays a case on a deployment of its own.

    Args:
        case: The case.
        network: First two octets of the loopback addresses, as in `127.5`.
        job_count: Number of jobs.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = PlatformDeployment(
            network=network, folder=pathlib.Path(folder), entries=ENTRIES, agents=AGENTS
        )
        ip = deployment.find_ip(HARMED_ENTRY)
        proxy = Proxy(address=f"{ip}:{PROXY_PORT}", target=f"{ip}:{CALLERS_PORT}")
        deployment.callers_addresses[HARMED_ENTRY] = proxy.address
        connector = aiohttp.TCPConnector(force_close=not case.kept_alive, limit=0)
        try:
            await start_platform_deployment(deployment)
            await start_proxy(proxy)
            async with aiohttp.ClientSession(connector=connector) as session:
                trial = Trial(case=case, deployment=deployment, session=session)
                if case.kept_alive:
                    await _open_connections(trial, job_count)
                _harm(proxy, case)
                await _submit_jobs(trial, job_count)
            await stop_proxy(proxy)
        finally:
            await stop_platform_deployment(deployment)
        return Outcome(jobs=trial.jobs, overlaps=find_overlaps(deployment.folder))


def _harm(proxy: Proxy, case: Case) -> None:
    proxy.break_seconds = case.break_seconds
    proxy.told_seconds = case.told_seconds
    proxy.hold_seconds = case.hold_seconds


async def _open_connections(trial: Trial, count: int) -> None:
    """Submits short jobs to the entry at the same time, so that as many connections stay open."""
    calls = [
        submit_job(
            trial.session,
            trial.deployment,
            HARMED_ENTRY,
            f"{number:016x}",
            tasks=1,
            payload=WARM_UP_RUN_TIME,
        )
        for number in range(count)
    ]
    await asyncio.gather(*calls)


async def _submit_jobs(trial: Trial, count: int) -> None:
    calls: list[asyncio.Task] = []
    for number in range(count):
        job = Job(entry=HARMED_ENTRY, started_at=time.monotonic())
        trial.jobs.append(job)
        call = _submit_until_answered(trial, job, f"{count + number:016x}")
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(SUBMISSION_INTERVAL_SECONDS)
    await asyncio.gather(*calls)
    await asyncio.sleep(SETTLING_SECONDS)


async def _submit_until_answered(trial: Trial, job: Job, job_id: str) -> None:
    entries = itertools.cycle(trial.deployment.entries)
    for entry in itertools.islice(entries, MAX_SUBMISSIONS):
        status, _ = await submit_job(
            trial.session,
            trial.deployment,
            entry,
            job_id,
            TASKS,
            str(trial.case.run_seconds),
            trial.case.wait_seconds,
        )
        job.statuses.append(status)
        if status == 200:
            job.answered_at = time.monotonic()
        # A refusal is final for a caller as well.
        if status in (200, 503):
            return
        await asyncio.sleep(RETRY_SECONDS)


def format_case(case: Case) -> str:
    """Returns the columns of the table up to the number of jobs."""
    path = f"{case.break_seconds:5.2f} {case.told_seconds:5.2f} {case.hold_seconds:5.2f}"
    kept = "yes" if case.kept_alive else "no"
    return f"{path} {kept:>4} {case.run_seconds:4.2f} {case.wait_seconds:4.1f}"


def format_outcome(outcome: Outcome) -> str:
    """Returns the columns of the table from the number of jobs on."""
    answered = [job for job in outcome.jobs if job.answered_at]
    submissions = [len(job.statuses) for job in answered]
    counts = " ".join(f"{submissions.count(number):3}" for number in (1, 2, 3))
    later = sum(number > 3 for number in submissions)
    refused = sum(job.statuses[-1] == 503 for job in outcome.jobs)
    seconds = [job.answered_at - job.started_at for job in answered]
    times = f"{statistics.median(seconds):6.2f} {max(seconds):7.2f}" if seconds else f"{'':14}"
    longest = max([overlap.seconds for overlap in outcome.overlaps], default=0.0)
    return (
        f"{len(outcome.jobs):4} {counts} {later:5} {refused:7} {outcome.unanswered:10} {times} "
        f"{len(outcome.overlaps):8} {longest:10.2f}"
    )


def build_cases(options: argparse.Namespace) -> list[Case]:
    """Returns the cases that the command line asks for."""
    jobs = {"run_seconds": options.run_seconds, "wait_seconds": options.wait_seconds}
    breaks = itertools.product(options.breaks, options.told)
    holds = itertools.product(options.holds, (False, True))
    return [
        *(Case(break_seconds=at, told_seconds=told, **jobs) for at, told in breaks),
        *(Case(hold_seconds=seconds, kept_alive=kept, **jobs) for seconds, kept in holds),
    ]


def main() -> None:
    """Plays cases one after the other and prints a table."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--breaks", type=float, nargs="*", default=[0.05])
    parser.add_argument("--told", type=float, nargs="*", default=[0.0, 1.2, 2.5, math.inf])
    parser.add_argument("--holds", type=float, nargs="*", default=[0.3, 1.4, 2.0, 2.75, 3.5])
    parser.add_argument("--run-seconds", type=float, default=1.45)
    parser.add_argument("--wait-seconds", type=float, default=1.5)
    parser.add_argument("--jobs", type=int, default=20)
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args()
    print("break  told  held kept  run wait jobs 1st 2nd 3rd later refused", end=" ")
    print("unanswered median longest overlaps longest s", flush=True)
    octets = itertools.cycle(range(FIRST_OCTET, LAST_OCTET + 1))
    for case, _ in itertools.product(build_cases(options), range(options.runs)):
        outcome = asyncio.run(run_trial(case, f"127.{next(octets)}", options.jobs))
        print(f"{format_case(case)} {format_outcome(outcome)}", flush=True)


if __name__ == "__main__":
    main()
