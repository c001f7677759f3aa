"""A small deployment of the daemon `comfreysilld` on loopback, with stand-ins."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

import aiohttp
import yaml

READY_TIMEOUT_SECONDS = 10.0


class DeploymentPlan:
    """Processes and settings of a deployment.

    Attributes:
        entries: Number of entries.
        slownesses: Factor on the run times of each runner; one agent is started per runner.
        slots: Slots of each runner.
        service: The service that all runners run.
        zones: Availability zones, assigned to the instances in turn.
        folder: Folder for settings and logs.
        base_port: First of the ports used.
        placement: Name of the entries' placement policy.
        queue_share: Limit `queue_share` in the generated floor document.
        document: Path of the floor document to apply; None to generate one with the teams `t` and
            `team-0` to `team-119`, which the load tool uses.
    """

    __slots__ = (
        "entries",
        "slownesses",
        "slots",
        "service",
        "zones",
        "folder",
        "base_port",
        "placement",
        "queue_share",
        "document",
    )

    def __init__(
        self,
        *,
        entries: int,
        slownesses: list[float],
        slots: int,
        service: str,
        zones: list[str],
        folder: pathlib.Path,
        base_port: int = 21000,
        placement: str = "finish",
        queue_share: float = 0.25,
        document: pathlib.Path | None = None,
    ) -> None:
        self.queue_share = queue_share
        self.document = document
        self.placement = placement
        self.entries = entries
        self.slownesses = slownesses
        self.slots = slots
        self.service = service
        self.zones = zones
        self.folder = folder
        self.base_port = base_port


class LocalDeployment:
    """A deployment on loopback.

    Attributes:
        plan: Plan of the deployment.
        processes: Processes by name, except those already killed or stopped; they may have exited
            by themselves.
    """

    __slots__ = ("plan", "processes")

    def __init__(self, *, plan: DeploymentPlan) -> None:
        self.plan = plan
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    @property
    def store_url(self) -> str:
        """Base URL of the store's stand-in."""
        return f"http://127.0.0.1:{self.plan.base_port}"

    def entry_url(self, index: int) -> str:
        """Base URL of an entry for callers."""
        return f"http://127.0.0.1:{self.plan.base_port + 10 + index}"

    def agent_url(self, index: int) -> str:
        """Base URL of an agent's HTTP server."""
        return f"http://127.0.0.1:{self.plan.base_port + 100 + index}"

    def runner_url(self, index: int) -> str:
        """Base URL of a runner."""
        return f"http://127.0.0.1:{self.plan.base_port + 300 + index}"


async def start_deployment(plan: DeploymentPlan) -> LocalDeployment:
    """Starts all processes and waits until the entries are ready.

    Kills the processes started so far if any step fails.

    Raises:
        TimeoutError: The store or an entry isn't ready in time.
        RuntimeError: The floor document is refused.
    """
    plan.folder.mkdir(parents=True, exist_ok=True)
    for log in plan.folder.glob("starts-*.log"):
        log.unlink()
    deployment = LocalDeployment(plan=plan)
    try:
        await _start_all(deployment)
    except BaseException:
        for name in list(deployment.processes):
            await kill_process(deployment, name)
        raise
    return deployment


async def _start_all(deployment: LocalDeployment) -> None:
    plan = deployment.plan
    await start_process(
        deployment, "store", ["-m", "standins.platform_store", "--port", str(plan.base_port)]
    )
    await _await_url(f"{deployment.store_url}/knobs")
    for index in range(len(plan.slownesses)):
        await start_agent(deployment, index)
        await start_runner(deployment, index)
    for index in range(plan.entries):
        await start_entry(deployment, index)
    await _await_url(f"{deployment.entry_url(0)}/health")
    await apply_floor(deployment)
    for index in range(plan.entries):
        await _await_url(f"{deployment.entry_url(index)}/ready")


async def apply_floor(deployment: LocalDeployment) -> None:
    """Applies the plan's floor document, or a generated one if the plan has none.

    Raises:
        RuntimeError: The floor document is refused.
    """
    plan = deployment.plan
    if plan.document is not None:
        document = yaml.safe_load(plan.document.read_text())
    else:
        document = {
            "schema": 1,
            "zones": plan.zones,
            "services": [{"name": plan.service, "zones": plan.zones}],
            "teams": [{"name": name} for name in ["t", *(f"team-{n}" for n in range(120))]],
            "limits": {"queue_share": plan.queue_share},
        }
    change = {"previous": 0, "change_id": "first-floor", "author": "trial", "document": document}
    url = f"{deployment.entry_url(0)}/admin/v1/floor"
    async with aiohttp.ClientSession() as session, session.put(url, json=change) as answer:
        if answer.status != 200:
            raise RuntimeError(f"floor document refused: {await answer.text()}")


async def start_entry(deployment: LocalDeployment, index: int) -> None:
    """Starts one entry."""
    base = deployment.plan.base_port
    settings = _write_settings(deployment, "entry", index, base + 10 + index, base + 50 + index)
    await start_process(
        deployment, f"entry-{index}", ["-m", "comfreysill.daemon", "--settings", settings]
    )


async def start_agent(deployment: LocalDeployment, index: int) -> None:
    """Starts one agent."""
    base = deployment.plan.base_port
    settings = _write_settings(deployment, "agent", index, base + 100 + index, base + 200 + index)
    await start_process(
        deployment, f"agent-{index}", ["-m", "comfreysill.daemon", "--settings", settings]
    )


async def start_runner(deployment: LocalDeployment, index: int) -> None:
    """Starts one runner."""
    plan = deployment.plan
    arguments = [
        "-m",
        "standins.runner",
        f"--name=runner-{index}",
        f"--port={plan.base_port + 300 + index}",
        f"--agent=127.0.0.1:{plan.base_port + 100 + index}",
        f"--slots={plan.slots}",
        f"--slowness={plan.slownesses[index]}",
        f"--services={plan.service}",
        f"--log={plan.folder / f'starts-{index}.log'}",
    ]
    await start_process(deployment, f"runner-{index}", arguments)


async def start_process(deployment: LocalDeployment, name: str, arguments: list[str]) -> None:
    """Starts a Python process whose output goes to a log file."""
    log = (deployment.plan.folder / f"{name}.log").open("ab")
    deployment.processes[name] = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=log, stderr=log, env={**os.environ}
    )


async def stop_deployment(deployment: LocalDeployment) -> dict[str, int]:
    """Stops all processes gracefully, entries first; kills those still running after 40 s.

    Returns:
        Exit status by process name; negative if a signal ended the process.
    """
    statuses = {}
    for prefix in ("entry", "runner", "agent", "store"):
        names = [name for name in deployment.processes if name.startswith(prefix)]
        for name in names:
            send_signal(deployment, name, signal.SIGTERM)
        for name in names:
            statuses[name] = await _await_exit(deployment.processes.pop(name))
    return statuses


def send_signal(deployment: LocalDeployment, name: str, signal_number: int) -> None:
    """Sends a signal to one process, unless it has exited."""
    process = deployment.processes[name]
    if process.returncode is None:
        process.send_signal(signal_number)


async def kill_process(deployment: LocalDeployment, name: str) -> None:
    """Kills one process and waits until it has exited."""
    process = deployment.processes.pop(name)
    if process.returncode is None:
        process.kill()
    await process.wait()


def read_starts(folder: pathlib.Path) -> list[tuple]:
    """Returns all starts that the runners logged: time, team, job, task, attempt, seconds.

    Ignores incomplete lines. The seconds are those of the payload, before the slowness.
    """
    starts = []
    for log in sorted(folder.glob("starts-*.log")):
        lines = log.read_text().splitlines()
        starts += [tuple(json.loads(line)) for line in lines if line.endswith("]")]
    return starts


async def set_faults(deployment: LocalDeployment, **faults: object) -> None:
    """Sets fault injection options of the store's stand-in."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{deployment.store_url}/knobs", json=faults) as answer,
    ):
        answer.raise_for_status()


async def _await_exit(process: asyncio.subprocess.Process) -> int:
    try:
        return await asyncio.wait_for(process.wait(), 40)
    except TimeoutError:
        process.kill()
        return await process.wait()


async def _await_url(url: str) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < deadline:
            try:
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
    raise TimeoutError(f"{url} is not ready after {READY_TIMEOUT_SECONDS} s")


def _write_settings(
    deployment: LocalDeployment, role: str, index: int, http: int, grpc: int
) -> str:
    plan = deployment.plan
    document = {
        "role": role,
        "name": f"{role}-{index}",
        "zone": plan.zones[index % len(plan.zones)],
        "listen": {"http": f"127.0.0.1:{http}", "grpc": f"127.0.0.1:{grpc}"},
        "platform": {"table": deployment.store_url},
        "shutdown_seconds": 20,
    }
    if role == "entry":
        document["placement"] = plan.placement
    path = plan.folder / f"{role}-{index}.yaml"
    path.write_text(yaml.safe_dump(document))
    return str(path)
