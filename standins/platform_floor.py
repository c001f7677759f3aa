"""A floor as the platform lays it out: real entries and agents beside stand-ins, on loopback.

Each instance has a loopback address of its own, as ports are the same on all of them.
"""

import asyncio
import base64
import json
import os
import pathlib
import sys
import time

import aiohttp
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_SECONDS = 20.0
CALLERS_PORT, READY_PORT, REPORTS_PORT, RUNNER_PORT = 8161, 8167, 8166, 8165
FIRST_PORT, LAST_PORT = 7720, 7735
STORE_PORT = 8169
EVERYTHING = "*"
ROUTE_HOST, ROUTE_PREFIX, SERVICE = "desk.example", "/q1/", "s1"


class PlatformFloor:
    """The running processes by name.

    Attributes:
        network: First two numbers of the loopback addresses, as in `127.5`.
        folder: Folder for settings and logs.
        stores: Addresses under which instances see the store, where that is a proxy's.
        runners: Addresses under which agents see their runners, where that is a proxy's.
        links: Addresses under which processes see one another's links, where that is a proxy's.
        processes: The processes by name.
    """

    __slots__ = (
        "network",
        "folder",
        "entries",
        "agents",
        "grace",
        "stores",
        "runners",
        "links",
        "processes",
    )

    def __init__(
        self, *, network: str, folder: pathlib.Path, entries: int, agents: int, grace: int = 6
    ) -> None:
        self.network = network
        self.folder = folder
        self.entries = [f"entry-{number}" for number in range(entries)]
        self.agents = [f"agent-{number}" for number in range(agents)]
        self.grace = grace
        self.stores: dict[str, str] = {}
        self.runners: dict[str, str] = {}
        self.links: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def find_ip(self, name: str) -> str:
        """Returns the address of an instance."""
        kind, _, number = name.partition("-")
        return f"{self.network}.{1 if kind == 'entry' else 2}.{int(number) + 1}"

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return f"{self.network}.9.1:{STORE_PORT}"


async def start_platform_floor(floor: PlatformFloor) -> None:
    """Starts everything and waits until the entries are ready."""
    floor.folder.mkdir(parents=True, exist_ok=True)
    host, _, port = floor.store_address.partition(":")
    store_address = ["-m", "standins.platform_store", "--host", host, "--port", port]
    await start_process(floor, "store", store_address)
    await _await_status(f"http://{floor.store_address}/knobs", 200)
    await put_configuration(floor, version=4)
    for name in floor.agents:
        await start_member(floor, name)
        await start_runner(floor, name)
    for name in floor.entries:
        await start_member(floor, name)
    for name in floor.entries:
        await _await_status(f"http://{floor.find_ip(name)}:{READY_PORT}/api/readyz", 200)


async def start_member(floor: PlatformFloor, name: str) -> None:
    """Starts one entry or agent."""
    path = floor.folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(_describe_instance(floor, name)))
    role = name.partition("-")[0]
    environment = {"COMFREYSILL_SETTINGS": str(path)}
    await start_process(floor, name, ["deploy/comfreysill.py", role], environment)


def _describe_instance(floor: PlatformFloor, name: str) -> dict[str, object]:
    """Returns the settings of an instance as the platform writes them."""
    ip = floor.find_ip(name)
    document: dict[str, object] = {
        "node": name,
        "zone": "z1",
        "ip": ip,
        "port-range": [FIRST_PORT, LAST_PORT],
        "seeds": [],
        "bounds": {"grace-s": floor.grace},
        "platform": {"address": floor.stores.get(name, floor.store_address)},
        "advertised": floor.links.get(name, ""),
    }
    if name.startswith("entry"):
        document["listen"] = {"front": f"{ip}:{CALLERS_PORT}", "ready": f"{ip}:{READY_PORT}"}
    else:
        document["listen"] = {"control": f"{ip}:{REPORTS_PORT}"}
        document["app"] = floor.runners.get(name, f"{ip}:{RUNNER_PORT}")
        document["service"] = SERVICE
    return document


async def start_runner(floor: PlatformFloor, name: str) -> None:
    """Starts the runner beside an agent."""
    ip = floor.find_ip(name)
    arguments = [
        "-m",
        "standins.platform_runner",
        f"--id=i-{name}",
        f"--host={ip}",
        f"--port={RUNNER_PORT}",
        f"--agent={ip}:{REPORTS_PORT}",
        f"--service={SERVICE}",
        "--zone=z1",
        f"--log={floor.folder / f'starts-{name}.log'}",
    ]
    await start_process(floor, f"runner-{name}", arguments)


async def start_process(
    floor: PlatformFloor, name: str, arguments: list[str], environment: dict[str, str] | None = None
) -> None:
    """Starts a Python process whose output goes to a log file."""
    with (floor.folder / f"{name}.log").open("ab") as log:
        floor.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, **(environment or {})},
        )


async def stop_platform_floor(floor: PlatformFloor) -> None:
    """Ends all processes at once."""
    for process in floor.processes.values():
        if process.returncode is None:
            process.kill()
    for process in floor.processes.values():
        await process.wait()


async def put_configuration(floor: PlatformFloor, version: int) -> None:
    """Writes the configuration as the operator does."""
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
    value = base64.b64encode(json.dumps(document).encode()).decode()
    row = {"table": "op", "part": "", "key": "config", "value": value}
    body = {"expected-rev": [], "put": [row], "remove": []}
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{floor.store_address}/api/rows-tx", json=body) as answer,
    ):
        answer.raise_for_status()


async def set_faults(address: str, **knobs: object) -> None:
    """Sets faults of a stand-in."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}/knobs", json=knobs) as answer,
    ):
        answer.raise_for_status()


async def submit_job(
    session: aiohttp.ClientSession, floor: PlatformFloor, entry: str, job_id: str, tasks: int = 3
) -> tuple[int, str]:
    """Submits a best-effort job.

    Returns:
        Status and state of the answer; status 0 and the error for a broken connection.
    """
    step = {"count": tasks, "cpu": 500, "mem-mb": 10, "estimate-ms": 150}
    body = {"spec": "0.15", "best-effort": True, "steps": [step]}
    url = f"http://{floor.find_ip(entry)}:{CALLERS_PORT}{ROUTE_PREFIX}{job_id}"
    try:
        async with session.post(url, json=body, headers={"Host": ROUTE_HOST}) as answer:
            document = await answer.json()
            return answer.status, document.get("state", "")
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return 0, repr(error)


def note_death(floor: PlatformFloor, name: str) -> None:
    """Logs that the runner beside an agent is killed, which ends all that it runs."""
    with (floor.folder / f"starts-{name}.log").open("a") as log:
        log.write(json.dumps([time.time(), "killed", EVERYTHING, 0]) + "\n")


def read_overlaps(folder: pathlib.Path) -> list[str]:
    """Returns the tasks of which two runs were at work at the same time."""
    events = []
    for log in sorted(folder.glob("starts-*.log")):
        for line in log.read_text().splitlines():
            when, event, task, _ = json.loads(line)
            events.append((when, event == "start", task, log.name))
    running: dict[str, str] = {}
    overlaps = []
    for _, started, task, where in sorted(events):
        if task == EVERYTHING:
            running = {name: there for name, there in running.items() if there != where}
        elif not started:
            if running.get(task) == where:
                del running[task]
        elif task in running:
            overlaps.append(f"{task} on {running[task]} and {where}")
        else:
            running[task] = where
    return overlaps


async def _await_status(url: str, status: int) -> None:
    ends_at = time.monotonic() + READY_SECONDS
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < ends_at:
            try:
                async with session.get(url) as answer:
                    if answer.status == status:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
    raise TimeoutError(f"{url} is not ready after {READY_SECONDS} s")
