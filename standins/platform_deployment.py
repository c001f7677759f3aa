"""A deployment on the platform, on loopback: real entries and agents, with stand-ins.

Each instance has its own loopback address, since all instances use the same ports.
"""

import asyncio
import base64
import json
import math
import os
import pathlib
import sys
import time

import aiohttp
import yaml

from standins.platform_runner import ALL_TASKS, CRASH_PREFIX, LATE_EVENT

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_TIMEOUT_SECONDS = 20.0
CALLERS_PORT, READY_PORT, CONTROL_PORT, RUNNER_PORT = 8161, 8167, 8166, 8165
LINK_PORT, METRICS_PORT = 7720, 7735
STORE_PORT = 8169
RETRY_SECONDS = 1.3
ROUTE_HOST, ROUTE_PREFIX, SERVICE = "desk.example", "/q1/", "s1"


class PlatformDeployment:
    """A deployment and its running processes.

    Attributes:
        network: First two octets of the loopback addresses, as in `127.5`.
        folder: Folder for settings and logs.
        entries: Names of the entries.
        agents: Names of the agents.
        grace_seconds: Maximum duration of the graceful stop of an instance, in seconds.
        store_addresses: Address of the proxy in front of the store, by instance that uses one.
        runner_addresses: Address of the proxy in front of the runner, by agent that uses one.
        advertised_addresses: Address of the proxy in front of the link port, by instance that
            uses one.
        callers_addresses: Address of the proxy in front of the callers' port, by entry that uses
            one.
        limits: Limits of each instance in its settings, by the platform's names.
        processes: Latest process started under each name; it may have exited.
    """

    __slots__ = (
        "network",
        "folder",
        "entries",
        "agents",
        "grace_seconds",
        "store_addresses",
        "runner_addresses",
        "advertised_addresses",
        "callers_addresses",
        "limits",
        "processes",
    )

    def __init__(
        self,
        *,
        network: str,
        folder: pathlib.Path,
        entries: int,
        agents: int,
        grace_seconds: int = 6,
    ) -> None:
        self.network = network
        self.folder = folder
        self.entries = [f"entry-{number}" for number in range(entries)]
        self.agents = [f"agent-{number}" for number in range(agents)]
        self.grace_seconds = grace_seconds
        self.store_addresses: dict[str, str] = {}
        self.runner_addresses: dict[str, str] = {}
        self.advertised_addresses: dict[str, str] = {}
        self.callers_addresses: dict[str, str] = {}
        self.limits: dict[str, float] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def find_ip(self, name: str) -> str:
        """Returns the IP address of an instance."""
        kind, _, number = name.partition("-")
        return f"{self.network}.{1 if kind == 'entry' else 2}.{int(number) + 1}"

    def find_zone(self, name: str) -> str:
        """Returns the availability zone of an instance; agents are in two by turns."""
        kind, _, number = name.partition("-")
        return "z1" if kind == "entry" else f"z{1 + int(number) % 2}"

    @property
    def store_address(self) -> str:
        """Address of the store, `host:port`."""
        return f"{self.network}.9.1:{STORE_PORT}"


class Run:
    """A run of a task, by the log of its runner.

    Attributes:
        task: Name of the task at runners.
        log: Name of the log.
        started_at: Unix time in seconds of its start.
        ended_at: Unix time in seconds of its end.
    """

    __slots__ = ("task", "log", "started_at", "ended_at")

    def __init__(self, *, task: str, log: str, started_at: float, ended_at: float) -> None:
        self.task = task
        self.log = log
        self.started_at = started_at
        self.ended_at = ended_at


class Overlap:
    """Two runs of a task at the same time.

    Attributes:
        first: The run that began first.
        second: The one that began during it.
    """

    __slots__ = ("first", "second")

    def __init__(self, *, first: Run, second: Run) -> None:
        self.first = first
        self.second = second

    @property
    def seconds(self) -> float:
        """Time for which both ran, in seconds."""
        return min(self.first.ended_at, self.second.ended_at) - self.second.started_at


async def start_platform_deployment(deployment: PlatformDeployment) -> None:
    """Starts all processes and waits until the entries are ready.

    Raises:
        TimeoutError: The store or an entry isn't ready in time.
    """
    deployment.folder.mkdir(parents=True, exist_ok=True)
    host, _, port = deployment.store_address.partition(":")
    arguments = ["-m", "standins.platform_store", "--host", host, "--port", port]
    await start_process(deployment, "store", arguments)
    await _await_status(f"http://{deployment.store_address}/knobs", 200)
    await put_configuration(deployment, version=4)
    for name in deployment.agents:
        await start_instance(deployment, name)
        await start_runner(deployment, name)
    for name in deployment.entries:
        await start_instance(deployment, name)
    for name in deployment.entries:
        await _await_status(f"http://{deployment.find_ip(name)}:{READY_PORT}/api/readyz", 200)


async def start_instance(deployment: PlatformDeployment, name: str) -> None:
    """Starts one entry or agent."""
    path = deployment.folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(_describe_instance(deployment, name)))
    role = name.partition("-")[0]
    environment = {"COMFREYSILL_SETTINGS": str(path)}
    await start_process(deployment, name, ["deploy/comfreysill.py", role], environment)


def _describe_instance(deployment: PlatformDeployment, name: str) -> dict[str, object]:
    """Returns the settings of an instance in the platform's format."""
    ip = deployment.find_ip(name)
    document: dict[str, object] = {
        "node": name,
        "zone": deployment.find_zone(name),
        "ip": ip,
        "port-range": [LINK_PORT, METRICS_PORT],
        "seeds": [
            f"{deployment.find_ip(entry)}:{CONTROL_PORT}" for entry in deployment.entries[:3]
        ],
        "bounds": {
            "grace-s": deployment.grace_seconds,
            "retransmit-ms": RETRY_SECONDS * 1000,
        },
        "platform": {"address": deployment.store_addresses.get(name, deployment.store_address)},
        "advertised": deployment.advertised_addresses.get(name, ""),
    }
    if deployment.limits:
        document["limits"] = deployment.limits
    if name.startswith("entry"):
        document["listen"] = {"front": f"{ip}:{CALLERS_PORT}", "ready": f"{ip}:{READY_PORT}"}
    else:
        document["listen"] = {"control": f"{ip}:{CONTROL_PORT}"}
        document["app"] = deployment.runner_addresses.get(name, f"{ip}:{RUNNER_PORT}")
        document["service"] = SERVICE
    return document


async def start_runner(deployment: PlatformDeployment, name: str) -> None:
    """Starts the runner beside an agent."""
    ip = deployment.find_ip(name)
    arguments = [
        "-m",
        "standins.platform_runner",
        f"--id=i-{name}",
        f"--host={ip}",
        f"--port={RUNNER_PORT}",
        f"--agent={ip}:{CONTROL_PORT}",
        f"--service={SERVICE}",
        f"--zone={deployment.find_zone(name)}",
        f"--log={deployment.folder / f'starts-{name}.log'}",
    ]
    await start_process(deployment, f"runner-{name}", arguments)


async def start_process(
    deployment: PlatformDeployment,
    name: str,
    arguments: list[str],
    environment: dict[str, str] | None = None,
) -> None:
    """Starts a Python process whose output goes to a log file."""
    with (deployment.folder / f"{name}.log").open("ab") as log:
        deployment.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, **(environment or {})},
        )


async def stop_platform_deployment(deployment: PlatformDeployment) -> None:
    """Kills all processes and waits until they have exited."""
    for process in deployment.processes.values():
        if process.returncode is None:
            process.kill()
    for process in deployment.processes.values():
        await process.wait()


async def put_configuration(deployment: PlatformDeployment, version: int) -> None:
    """Writes the configuration to the store, as an operator does."""
    route = {
        "name": "r1",
        "host": ROUTE_HOST,
        "path-prefix": ROUTE_PREFIX,
        "service": SERVICE,
        "priority": 0,
        "max-attempts": 2,
        "stretch": 1.6,
        "target-latency-ms": 60,
    }
    document = {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE}],
        "limits": {},
    }
    await put_row(deployment, "op", "config", json.dumps(document).encode())


async def put_row(deployment: PlatformDeployment, table: str, key: str, value: bytes) -> None:
    """Writes a row to the store."""
    encoded = base64.b64encode(value).decode()
    row = {"table": table, "part": "", "key": key, "value": encoded}
    await _change_rows(deployment, {"expected-rev": [], "put": [row], "remove": []})


async def remove_row(deployment: PlatformDeployment, table: str, key: str) -> None:
    """Removes a row from the store."""
    row = {"table": table, "part": "", "key": key}
    await _change_rows(deployment, {"expected-rev": [], "put": [], "remove": [row]})


async def _change_rows(deployment: PlatformDeployment, body: dict[str, object]) -> None:
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{deployment.store_address}/api/rows-tx", json=body) as answer,
    ):
        answer.raise_for_status()


async def set_faults(address: str, **faults: object) -> None:
    """Sets fault injection options of a stand-in.

    Args:
        address: Address of the stand-in, `host:port`.
        faults: Values by option name.
    """
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}/knobs", json=faults) as answer,
    ):
        answer.raise_for_status()


async def submit_job(
    session: aiohttp.ClientSession,
    deployment: PlatformDeployment,
    entry: str,
    job_id: str,
    tasks: int = 3,
    payload: str = "0.15",
    wait_seconds: float = 0.0,
    leave_seconds: float = math.inf,
) -> tuple[int, str]:
    """Submits a best-effort job of one step.

    Args:
        session: HTTP client session.
        deployment: The deployment.
        entry: Name of the entry to ask.
        job_id: ID of the job.
        tasks: Number of tasks.
        payload: Run time of each task in seconds, perhaps after `CRASH_PREFIX`.
        wait_seconds: Time after which the caller closes the connection, 0 for no limit. It is told
            to the entry.
        leave_seconds: Time after which the caller closes the connection though it has told the
            entry another one.

    Returns:
        Status and state of the answer, the state empty if there is none; status 0 and the error
        for a broken connection or a timeout.
    """
    run_seconds = float(payload.removeprefix(CRASH_PREFIX))
    step = {"count": tasks, "cpu": 500, "mem-mb": 10, "estimate-ms": run_seconds * 1000}
    body = {"spec": payload, "best-effort": True, "steps": [step]}
    address = deployment.callers_addresses.get(entry, f"{deployment.find_ip(entry)}:{CALLERS_PORT}")
    url = f"http://{address}{ROUTE_PREFIX}{job_id}"
    headers = {"Host": ROUTE_HOST}
    if wait_seconds:
        headers["X-Deadline-Ms"] = str(round(wait_seconds * 1000))
    try:
        async with asyncio.timeout(min(wait_seconds or math.inf, leave_seconds)):
            async with session.post(url, json=body, headers=headers) as answer:
                document = await answer.json()
                return answer.status, document.get("state", "")
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return 0, repr(error)


def log_runner_kill(deployment: PlatformDeployment, name: str) -> None:
    """Logs that the runner beside an agent was killed, which ended all of its runs."""
    with (deployment.folder / f"starts-{name}.log").open("a") as log:
        log.write(json.dumps([time.time(), "killed", ALL_TASKS, 0]) + "\n")


def count_starts(folder: pathlib.Path, job_id: str) -> dict[str, int]:
    """Returns how often each task of a job was started, by the task's name at runners."""
    starts: dict[str, int] = {}
    for log in folder.glob("starts-*.log"):
        for line in log.read_text().splitlines():
            _, event, task, _ = json.loads(line)
            if event == "start" and task.partition(".")[0] == job_id:
                starts[task] = starts.get(task, 0) + 1
    return starts


def read_starts(folder: pathlib.Path, agent: str) -> list[float]:
    """Returns the Unix times in seconds at which the runner beside an agent started tasks.

    Starts that were carried out late are left out.
    """
    log = folder / f"starts-{agent}.log"
    lines = log.read_text().splitlines() if log.exists() else []
    events = [json.loads(line)[:3] for line in lines]
    # Such a start is followed by its own event.
    following = [(event, task) for _, event, task in events[1:]] + [("", "")] * bool(events)
    return [
        logged_at
        for (logged_at, event, task), after in zip(events, following, strict=True)
        if event == "start" and after != (LATE_EVENT, task)
    ]


def read_overlaps(folder: pathlib.Path) -> list[str]:
    """Returns a line for each start of a task during another run of that task."""
    return [
        f"{item.first.task} on {item.first.log} and {item.second.log} for {item.seconds:.2f} s"
        for item in find_overlaps(folder)
    ]


def find_overlaps(folder: pathlib.Path) -> list[Overlap]:
    """Returns the starts of a task during another run of that task, in the order of their times.

    A run whose end isn't logged lasts until the last event.
    """
    events = _read_events(folder)
    running: dict[str, list[Run]] = {}
    overlaps = []
    for logged_at, is_start, task, log in events:
        if is_start:
            run = Run(task=task, log=log, started_at=logged_at, ended_at=events[-1][0])
            runs = running.setdefault(task, [])
            if runs:
                overlaps.append(Overlap(first=runs[0], second=run))
            runs.append(run)
        else:
            for ended in list(running) if task == ALL_TASKS else [task]:
                running[ended] = _end_runs(running.get(ended, []), log, logged_at)
    return overlaps


def _read_events(folder: pathlib.Path) -> list[tuple[float, bool, str, str]]:
    """Returns the time of each event, whether it is a start, the task, and the log, by time."""
    events = []
    for log in folder.glob("starts-*.log"):
        for line in log.read_text().splitlines():
            logged_at, event, task, _ = json.loads(line)
            if event != LATE_EVENT:
                events.append((logged_at, event == "start", task, log.name))
    return sorted(events)


def _end_runs(runs: list[Run], log: str, ended_at: float) -> list[Run]:
    """Ends the runs at one runner; returns the others."""
    for run in runs:
        if run.log == log:
            run.ended_at = ended_at
    return [run for run in runs if run.log != log]


async def _await_status(url: str, status: int) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < deadline:
            try:
                async with session.get(url) as answer:
                    if answer.status == status:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
    raise TimeoutError(f"{url} is not ready after {READY_TIMEOUT_SECONDS} s")
