"""Measures what a pause of an entry costs its callers, on real processes.

Callers behave as on the users' page: one that has waited for its time closes its connection and
submits its job again, RETRY_SECONDS later, to another entry. A balancer probes the entries once a
second and gives no new callers to one that has missed two probes. Printed for each pause, of the
jobs first submitted to the paused entry from shortly before the pause to its end: how the first
submission ended, and how long it took until the job was answered; and the overlapping runs.
"""

import argparse
import asyncio
import contextlib
import itertools
import pathlib
import signal
import statistics
import tempfile
import time

import aiohttp

from standins.platform_deployment import (
    READY_PORT,
    RETRY_SECONDS,
    PlatformDeployment,
    read_overlaps,
    start_platform_deployment,
    stop_platform_deployment,
    submit_job,
)

ENTRIES, AGENTS = 3, 6
PAUSED_ENTRY = "entry-0"
TASKS, RUN_TIME = 4, "0.6"
SUBMISSION_INTERVAL_SECONDS = 0.05
# Jobs submitted this long before the pause may still run as it begins.
LEAD_SECONDS = 0.7
SETTLING_SECONDS = 1.5
PROBE_INTERVAL_SECONDS = 1.0
MAX_MISSES = 2
MAX_SUBMISSIONS = 6


class Job:
    """A job and its answers.

    Attributes:
        entry: Entry that it was first submitted to.
        started_at: Monotonic time in seconds of its first submission.
        statuses: HTTP status of each submission, 0 if there was no answer.
        answered_at: Monotonic time in seconds of its answer, 0 if there was none.
    """

    __slots__ = ("entry", "started_at", "statuses", "answered_at")

    def __init__(self, *, entry: str, started_at: float) -> None:
        self.entry = entry
        self.started_at = started_at
        self.statuses: list[int] = []
        self.answered_at = 0.0


class Outcome:
    """What a pause has cost the callers whose first submission it could meet.

    Attributes:
        first_statuses: HTTP status of their first submissions, 0 if there was no answer.
        answer_seconds: Seconds from the first submission to the answer, in rising order.
        unanswered: Number of jobs without an answer.
        overlaps: Starts of a task during another run of it, one line each, of all jobs.
    """

    __slots__ = ("first_statuses", "answer_seconds", "unanswered", "overlaps")

    def __init__(
        self,
        *,
        first_statuses: list[int],
        answer_seconds: list[float],
        unanswered: int,
        overlaps: list[str],
    ) -> None:
        self.first_statuses = first_statuses
        self.answer_seconds = answer_seconds
        self.unanswered = unanswered
        self.overlaps = overlaps


class Trial:
    """One pause of an entry.

    Attributes:
        deployment: The deployment.
        session: HTTP client session; each submission has a connection of its own.
        wait_seconds: How long callers wait.
        rotation: Entries that the balancer gives new callers to.
        jobs: The submitted jobs.
    """

    __slots__ = ("deployment", "session", "wait_seconds", "rotation", "jobs")

    def __init__(
        self, *, deployment: PlatformDeployment, session: aiohttp.ClientSession, wait_seconds: float
    ) -> None:
        self.deployment = deployment
        self.session = session
        self.wait_seconds = wait_seconds
        self.rotation = list(deployment.entries)
        self.jobs: list[Job] = []


async def run_trial(pause_seconds: float, wait_seconds: float, network: str) -> Outcome:
    """Plays one pause on a deployment of its own.

    Args:
        pause_seconds: Length of the pause.
        wait_seconds: How long callers wait.
        network: First two octets of the loopback addresses, as in `127.5`.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = PlatformDeployment(
            network=network, folder=pathlib.Path(folder), entries=ENTRIES, agents=AGENTS
        )
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        try:
            await start_platform_deployment(deployment)
            async with aiohttp.ClientSession(connector=connector) as session:
                trial = Trial(deployment=deployment, session=session, wait_seconds=wait_seconds)
                paused_at = await _play_pause(trial, pause_seconds)
        finally:
            await stop_platform_deployment(deployment)
        overlaps = read_overlaps(deployment.folder)
    affected = [
        job
        for job in trial.jobs
        if job.entry == PAUSED_ENTRY
        and paused_at - LEAD_SECONDS <= job.started_at <= paused_at + pause_seconds
    ]
    answered = [job for job in affected if job.answered_at]
    return Outcome(
        first_statuses=[job.statuses[0] for job in affected],
        answer_seconds=sorted(job.answered_at - job.started_at for job in answered),
        unanswered=len(affected) - len(answered),
        overlaps=overlaps,
    )


async def _play_pause(trial: Trial, pause_seconds: float) -> float:
    """Returns the monotonic time in seconds at which the pause began."""
    probes = [asyncio.create_task(_probe(trial, name)) for name in trial.deployment.entries]
    load = asyncio.create_task(_submit_jobs(trial))
    process = trial.deployment.processes[PAUSED_ENTRY]
    await asyncio.sleep(SETTLING_SECONDS)
    process.send_signal(signal.SIGSTOP)
    paused_at = time.monotonic()
    await asyncio.sleep(pause_seconds)
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(SETTLING_SECONDS)
    load.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await load
    for probe in probes:
        probe.cancel()
    return paused_at


async def _probe(trial: Trial, name: str) -> None:
    url = f"http://{trial.deployment.find_ip(name)}:{READY_PORT}/api/readyz"
    misses = 0
    timeout = aiohttp.ClientTimeout(total=PROBE_INTERVAL_SECONDS)
    while True:
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        try:
            async with trial.session.get(url, timeout=timeout) as answer:
                misses = 0 if answer.status == 200 else misses + 1
        except (aiohttp.ClientError, TimeoutError, OSError):
            misses += 1
        in_rotation = [entry for entry in trial.rotation if entry != name]
        trial.rotation = sorted([*in_rotation, name] if misses < MAX_MISSES else in_rotation)


async def _submit_jobs(trial: Trial) -> None:
    calls: list[asyncio.Task] = []
    try:
        for number in itertools.count():
            entry = trial.rotation[number % len(trial.rotation)]
            job = Job(entry=entry, started_at=time.monotonic())
            trial.jobs.append(job)
            calls.append(asyncio.create_task(_submit_until_answered(trial, job, f"{number:016x}")))
            await asyncio.sleep(SUBMISSION_INTERVAL_SECONDS)
    finally:
        await asyncio.gather(*calls)


async def _submit_until_answered(trial: Trial, job: Job, job_id: str) -> None:
    entry = job.entry
    for _ in range(MAX_SUBMISSIONS):
        status, _ = await submit_job(
            trial.session, trial.deployment, entry, job_id, TASKS, RUN_TIME, trial.wait_seconds
        )
        job.statuses.append(status)
        if status == 200:
            job.answered_at = time.monotonic()
            return
        await asyncio.sleep(RETRY_SECONDS)
        others = [name for name in trial.rotation if name != entry]
        entry = others[0] if others else entry


def format_outcome(outcome: Outcome) -> str:
    """Returns the columns of the table from the number of jobs on."""
    statuses, seconds = outcome.first_statuses, outcome.answer_seconds
    counts = " ".join(f"{statuses.count(status):5}" for status in (200, 503, 504, 0))
    times = f"{statistics.median(seconds):7.2f} {seconds[-1]:7.2f}" if seconds else f"{'':15}"
    return f"{len(statuses):5} {counts} {outcome.unanswered:10} {times} {len(outcome.overlaps):8}"


def main() -> None:
    """Plays pauses one after the other and prints a table."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--pauses", type=float, nargs="+", default=[0.2, 1.0, 2.0, 3.5])
    parser.add_argument("--waits", type=float, nargs="+", default=[1.5, 3.0])
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args()
    print("wait pause  jobs   200   503   504  none unanswered  median longest overlaps")
    octet = 30
    for wait, pause, _ in itertools.product(options.waits, options.pauses, range(options.runs)):
        octet += 1
        outcome = asyncio.run(run_trial(pause, wait, f"127.{octet}"))
        print(f"{wait:4.1f} {pause:5.1f} {format_outcome(outcome)}", flush=True)


if __name__ == "__main__":
    main()
