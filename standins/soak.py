"""Randomized soak test of real entries and agents under injected faults.

Each seed starts a random series of faults, which may overlap: signals to processes, faults of the
store and of runners, changes of the routes, and faults of proxies between instances and the store,
between agents and their runners, and in front of each instance's link port. Two runs of a seed may
differ: faults and callers draw from one seeded generator, in an order that depends on timing.
Callers reuse connections until these break. One that has waited for its time closes its connection;
after that, a broken connection or an answer that isn't final it submits its request again, to
another entry. What entries know of callers may come late or never: their proxies hold all that
passes, or break connections at the callers alone, and callers leave before their wait is over. A
seed fails if two runs of a task overlap, a request ran although all its answers were refusals, a
request has no final answer within a time limit after the faults are cleared, a process exits
unexpectedly, a task that crashes the runners that start it is started too often, or tasks are
started in a zone long after the operator has asked to evacuate it. Clients that keep no limits may
send to any address of a process meanwhile.
"""

import argparse
import asyncio
import contextlib
import json
import math
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable

import aiohttp

from standins.hostile_crowd import Crowd, close_crowd, send_all
from standins.hostile_forms import FORMS, LINK_FORMS
from standins.platform_deployment import (
    CALLERS_PORT,
    CONTROL_PORT,
    LINK_PORT,
    METRICS_PORT,
    READY_PORT,
    RETRY_SECONDS,
    RUNNER_PORT,
    PlatformDeployment,
    count_starts,
    log_runner_kill,
    put_configuration,
    put_row,
    read_overlaps,
    read_starts,
    remove_row,
    set_faults,
    start_instance,
    start_platform_deployment,
    start_runner,
    stop_platform_deployment,
    submit_job,
)
from standins.platform_runner import CRASH_EXIT_STATUS, CRASH_PREFIX
from standins.proxy import (
    Mode,
    Proxy,
    break_clients,
    reset_connections,
    start_proxy,
    stop_proxy,
)

ANSWER_TIMEOUT_SECONDS = 25.0
PROXY_PORT = 8200
REQUEST_INTERVAL_SECONDS = 0.08
MAX_FAULT_SECONDS = 3.0
# Pauses up to MAX_FAULT_SECONDS times this outlast the wait of most callers and their next one.
PAUSE_FACTOR = 1.5
# Seconds for which callers wait, and run times of the tasks that they submit.
CALLER_WAITS = (1.0, 1.5, 2.0, 8.0)
MIN_SPARE_SECONDS = 0.4
RUN_TIMES = ("0.15", "0.15", "0.6", "1.2")
# Run times where connections break at callers alone: a run outlasts the time until its caller asks
# another entry.
LONG_RUN_TIMES = (*RUN_TIMES, "2.5")
MAX_HOLD_SECONDS = 5.0
# For how long an entry isn't told that a connection broke at its caller.
TOLD_SECONDS = (0.0, 1.5, 3.0, 5.0, math.inf)
LEAVING_PROBABILITY = 0.5
MIN_LEAVE_SECONDS = 0.05
# The third start after three crashes is one too many.
MAX_STARTS_OF_DEADLY_TASK = 5
DEADLY_SUBMISSIONS = 4
# For how long a zone is evacuated, and when nothing is started in it any more: the bound of 5 s,
# and a fault of the store or of its proxies.
EVACUATED_SECONDS = 12.0
MAX_EVACUATION_SECONDS = 5.0 + MAX_FAULT_SECONDS
MAX_CALL_DELAY_SECONDS = 12.0
ENTRY_PORTS = (CALLERS_PORT, CALLERS_PORT, READY_PORT, METRICS_PORT, LINK_PORT)
AGENT_PORTS = (CONTROL_PORT, METRICS_PORT, LINK_PORT)
CROWD_CONNECTIONS, MAX_CROWD_BYTES = 30, 20 << 20
# Whole submissions are left out, since their jobs would be taken for those of the load.
CROWD_FORMS = tuple(name for name in FORMS if "submissions" not in name)
FAULTS_OF_RUNNERS = (
    {"speed": 0.0},
    {"speed": 0.2},
    {"late": 7},
    {"late-rate": 0.2, "max-delay": MAX_CALL_DELAY_SECONDS},
)


class Soak:
    """State of one seed's run.

    Attributes:
        deployment: The deployment under test.
        random: Seeded source of all choices.
        proxies: Proxies by instance and kind of target, as in `entry-0 store`.
        expected_exits: Processes that an injected fault stopped or killed and that aren't restarted
            yet.
        answers: HTTP statuses of each request's answers by job ID, in order; 0 for a broken
            connection and for a caller that has stopped waiting.
        faults: Descriptions of the injected faults, for the report.
        deadly_jobs: IDs of submitted jobs that crash the runners.
        problems: Violations found, one line each.
        configuration_version: Version of the latest configuration sent to the store.
        kinds: Functions that inject faults, to choose from.
        leaving_until: Monotonic time in seconds until which some of the callers that submit leave
            before their wait is over.
        evacuations: Evacuated zones, each with the Unix times in seconds at which it was evacuated
            and taken back.
    """

    __slots__ = (
        "deployment",
        "random",
        "proxies",
        "expected_exits",
        "answers",
        "faults",
        "deadly_jobs",
        "problems",
        "configuration_version",
        "kinds",
        "leaving_until",
        "evacuations",
    )

    def __init__(self, *, deployment: PlatformDeployment, seed: int) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.proxies: dict[str, Proxy] = {}
        self.expected_exits: set[str] = set()
        self.answers: dict[str, list[int]] = {}
        self.faults: list[str] = []
        self.deadly_jobs: list[str] = []
        self.problems: list[str] = []
        self.configuration_version = 4
        self.kinds = list(FAULTS)
        self.leaving_until = 0.0
        self.evacuations: list[tuple[str, float, float]] = []


async def run_seed(
    seed: int, seconds: float, entries: int, agents: int, without: tuple[str, ...] = ()
) -> list[str]:
    """Runs one seed.

    Args:
        seed: Seed of all choices; also determines the loopback network.
        seconds: Time for which requests are submitted and faults injected.
        entries: Number of entries.
        agents: Number of agents.
        without: Kinds of faults to leave out, by name; see `name_fault`.

    Returns:
        Problems found, one line each, followed by the injected faults; empty for a pass.
    """
    with tempfile.TemporaryDirectory() as folder:
        network = f"127.{100 + seed % 100}"
        deployment = PlatformDeployment(
            network=network, folder=pathlib.Path(folder), entries=entries, agents=agents
        )
        soak = Soak(deployment=deployment, seed=seed)
        soak.kinds = [kind for kind in FAULTS if name_fault(kind) not in without]
        try:
            await _build_proxies(soak)
            await start_platform_deployment(deployment)
            await _run_load(soak, seconds)
        finally:
            await stop_platform_deployment(deployment)
            for proxy in soak.proxies.values():
                await stop_proxy(proxy)
        _check_runs(soak)
    if soak.problems:
        soak.problems += [f"faults: {'; '.join(soak.faults)}"]
    return soak.problems


async def _build_proxies(soak: Soak) -> None:
    deployment = soak.deployment
    for name in (*deployment.entries, *deployment.agents):
        ip = deployment.find_ip(name)
        soak.proxies[f"{name} store"] = Proxy(
            address=f"{ip}:{PROXY_PORT}", target=deployment.store_address
        )
        deployment.store_addresses[name] = f"{ip}:{PROXY_PORT}"
        link = Proxy(address=f"{ip}:{PROXY_PORT + 2}", target=f"{ip}:{LINK_PORT}")
        soak.proxies[f"{name} link"] = link
        deployment.advertised_addresses[name] = link.address
        if name in deployment.entries:
            callers = Proxy(address=f"{ip}:{PROXY_PORT + 3}", target=f"{ip}:{CALLERS_PORT}")
            soak.proxies[f"{name} callers"] = callers
            deployment.callers_addresses[name] = callers.address
        if name in deployment.agents:
            runner = Proxy(address=f"{ip}:{PROXY_PORT + 1}", target=f"{ip}:{RUNNER_PORT}")
            soak.proxies[f"{name} runner"] = runner
            deployment.runner_addresses[name] = runner.address
    for proxy in soak.proxies.values():
        await start_proxy(proxy)


async def _run_load(soak: Soak, seconds: float) -> None:
    end_time = time.monotonic() + seconds
    calls: list[asyncio.Task] = []
    restarter = asyncio.create_task(_restart_exited_processes(soak))
    faults = asyncio.create_task(_inject_faults(soak, end_time))
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        while time.monotonic() < end_time:
            job_id = f"{len(calls):016x}"
            calls.append(asyncio.create_task(_submit_until_final(soak, session, job_id)))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        await faults
        await _clear_faults(soak)
        _, unanswered = await asyncio.wait(calls, timeout=ANSWER_TIMEOUT_SECONDS)
        for call in unanswered:
            call.cancel()
        if unanswered:
            soak.problems.append(f"{len(unanswered)} requests without a final answer")
    restarter.cancel()


async def _submit_until_final(soak: Soak, session: aiohttp.ClientSession, job_id: str) -> None:
    statuses = soak.answers.setdefault(job_id, [])
    tasks = soak.random.randint(1, 4)
    breaks = _break_connections_at_callers in soak.kinds
    run_time = soak.random.choice(LONG_RUN_TIMES if breaks else RUN_TIMES)
    wait_seconds = max(soak.random.choice(CALLER_WAITS), float(run_time) + MIN_SPARE_SECONDS)
    entry = soak.random.choice(soak.deployment.entries)
    while True:
        leave_seconds = _draw_leave_time(soak, wait_seconds)
        status, _ = await submit_job(
            session, soak.deployment, entry, job_id, tasks, run_time, wait_seconds, leave_seconds
        )
        statuses.append(status)
        # An answer (200) or a refusal (503) is final.
        if status in (200, 503):
            return
        entry = _choose_other(soak, entry)
        await asyncio.sleep(RETRY_SECONDS)


def _draw_leave_time(soak: Soak, wait_seconds: float) -> float:
    """Returns the seconds after which a caller leaves, infinite for one that stays."""
    if time.monotonic() < soak.leaving_until and soak.random.random() < LEAVING_PROBABILITY:
        return soak.random.uniform(MIN_LEAVE_SECONDS, wait_seconds)
    return math.inf


def _choose_other(soak: Soak, entry: str) -> str:
    """Returns another entry than the one given, the same if it is the only one."""
    others = [name for name in soak.deployment.entries if name != entry]
    return soak.random.choice(others or [entry])


async def _restart_exited_processes(soak: Soak) -> None:
    """Restarts exited processes, except the store, and records unexpected exits as problems."""
    while True:
        await asyncio.sleep(0.2)
        for name, process in list(soak.deployment.processes.items()):
            if process.returncode is None or name == "store":
                continue
            crashed = name.startswith("runner-") and process.returncode == CRASH_EXIT_STATUS
            if name not in soak.expected_exits and not crashed:
                soak.problems.append(f"{name} exited unexpectedly with status {process.returncode}")
            soak.expected_exits.discard(name)
            if name.startswith("runner-"):
                await start_runner(soak.deployment, name.removeprefix("runner-"))
            else:
                await start_instance(soak.deployment, name)


async def _inject_faults(soak: Soak, end_time: float) -> None:
    running: set[asyncio.Task] = set()
    while time.monotonic() < end_time:
        await asyncio.sleep(soak.random.uniform(0.1, 1.5))
        fault = soak.random.choice(soak.kinds)
        task = asyncio.create_task(fault(soak, soak.random.uniform(0.2, MAX_FAULT_SECONDS)))
        running.add(task)
    await asyncio.gather(*running)


async def _clear_faults(soak: Soak) -> None:
    for proxy in soak.proxies.values():
        proxy.mode = Mode.PASS
        proxy.hold_seconds = 0.0
    await set_faults(soak.deployment.store_address, outage=False, delay=0.0, lose_answers=0)


def _choose_process(soak: Soak, *kinds: str) -> str:
    names = [name for name in soak.deployment.processes if name.partition("-")[0] in kinds]
    return soak.random.choice(sorted(names))


async def _signal_process(soak: Soak, seconds: float) -> None:
    name = _choose_process(soak, "entry", "agent", "runner")
    process = soak.deployment.processes[name]
    signal_number = soak.random.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGHUP))
    if process.returncode is None and not (
        name.startswith("runner") and signal_number == signal.SIGHUP
    ):
        soak.faults.append(f"{signal_number.name} {name}")
        if signal_number != signal.SIGHUP:
            soak.expected_exits.add(name)
        process.send_signal(signal_number)
        if name.startswith("runner-"):
            await process.wait()
            log_runner_kill(soak.deployment, name.removeprefix("runner-"))


async def _pause_process(soak: Soak, seconds: float) -> None:
    name = _choose_process(soak, "entry", "agent")
    process = soak.deployment.processes[name]
    if process.returncode is None:
        pause_seconds = seconds * PAUSE_FACTOR
        soak.faults.append(f"pause {name} {pause_seconds:.1f}")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_seconds)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)


async def _inject_proxy_fault(soak: Soak, seconds: float) -> None:
    name = soak.random.choice(sorted(soak.proxies))
    proxy = soak.proxies[name]
    if soak.random.random() < 0.3:
        soak.faults.append(f"reset {name}")
        reset_connections(proxy)
        return
    mode = soak.random.choice([mode for mode in Mode if mode != Mode.PASS])
    soak.faults.append(f"{mode.value} {name} {seconds:.1f}")
    proxy.delay = soak.random.choice((0.02, 0.2, 0.6))
    proxy.mode = mode
    await asyncio.sleep(seconds)
    proxy.mode = Mode.PASS


async def _inject_store_fault(soak: Soak, seconds: float) -> None:
    fault_options = soak.random.choice(
        ({"outage": True}, {"delay": 0.3}, {"lose_answers": 3}, {"forget": True})
    )
    soak.faults.append(f"store {fault_options}")
    await set_faults(soak.deployment.store_address, **fault_options)
    await asyncio.sleep(seconds)
    await set_faults(soak.deployment.store_address, outage=False, delay=0.0, lose_answers=0)


async def _inject_runner_fault(soak: Soak, seconds: float) -> None:
    ip = soak.deployment.find_ip(soak.random.choice(soak.deployment.agents))
    fault_options = soak.random.choice(FAULTS_OF_RUNNERS)
    soak.faults.append(f"runner {ip} {fault_options} {seconds:.1f}")
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await set_faults(f"{ip}:{RUNNER_PORT}", **fault_options)
        await asyncio.sleep(seconds)
        await set_faults(f"{ip}:{RUNNER_PORT}", **{"speed": 1.0, "late": 0, "late-rate": 0.0})


async def _crash_beside_late_calls(soak: Soak, seconds: float) -> None:
    """Kills a runner, some of whose calls are carried out late; it is soon started again."""
    agent = soak.random.choice(soak.deployment.agents)
    address = f"{soak.deployment.find_ip(agent)}:{RUNNER_PORT}"
    soak.faults.append(f"late calls and SIGKILL runner-{agent}")
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await set_faults(address, **{"late-rate": 0.5, "max-delay": MAX_CALL_DELAY_SECONDS})
        await asyncio.sleep(0.2)
    name = f"runner-{agent}"
    process = soak.deployment.processes[name]
    if process.returncode is None:
        soak.expected_exits.add(name)
        process.kill()
        await process.wait()
        log_runner_kill(soak.deployment, agent)


async def _refuse_runner_connections(soak: Soak, seconds: float) -> None:
    """Closes the port in front of a runner that is up; it opens again after `seconds`."""
    name = f"{soak.random.choice(soak.deployment.agents)} runner"
    proxy = soak.proxies[name]
    if proxy.server.is_serving():
        soak.faults.append(f"refuse {name} {seconds:.1f}")
        await stop_proxy(proxy)
        await asyncio.sleep(seconds)
        await start_proxy(proxy)


def _choose_callers_proxy(soak: Soak) -> tuple[str, Proxy]:
    name = f"{soak.random.choice(soak.deployment.entries)} callers"
    return name, soak.proxies[name]


async def _hold_path_of_callers(soak: Soak, seconds: float) -> None:
    """Holds all that passes between an entry and its callers for a time, after `seconds` no more.

    Connections that callers have had answers on before are used on.
    """
    name, proxy = _choose_callers_proxy(soak)
    proxy.hold_seconds = soak.random.uniform(0.0, MAX_HOLD_SECONDS)
    soak.faults.append(f"hold {name} {proxy.hold_seconds:.1f} for {seconds:.1f}")
    await asyncio.sleep(seconds)
    proxy.hold_seconds = 0.0


async def _break_connections_at_callers(soak: Soak, seconds: float) -> None:
    """Breaks the open connections of an entry at their callers; it is told late, or never."""
    name, proxy = _choose_callers_proxy(soak)
    told_seconds = soak.random.choice(TOLD_SECONDS)
    soak.faults.append(f"break {name} told {told_seconds:.1f}")
    break_clients(proxy, told_seconds)


async def _make_callers_leave(soak: Soak, seconds: float) -> None:
    """Some of the callers that submit within `seconds` leave before their wait is over."""
    soak.faults.append(f"callers leave {seconds:.1f}")
    soak.leaving_until = max(soak.leaving_until, time.monotonic() + seconds)


async def _change_routes(soak: Soak, seconds: float) -> None:
    soak.configuration_version += soak.random.randint(1, 5)
    soak.faults.append(f"routes {soak.configuration_version}")
    with contextlib.suppress(aiohttp.ClientError):
        await put_configuration(soak.deployment, soak.configuration_version)


async def _evacuate_zone(soak: Soak, seconds: float) -> None:
    """Evacuates a zone, and takes it back after EVACUATED_SECONDS."""
    zone = soak.deployment.find_zone(soak.random.choice(soak.deployment.agents))
    if any(other == zone and ends_at > time.time() for other, _, ends_at in soak.evacuations):
        return
    soak.faults.append(f"evacuate {zone}")
    key = f"evacuate/{zone}"
    begun = False
    while not begun:
        with contextlib.suppress(aiohttp.ClientError):
            await put_row(soak.deployment, "op", key, b"{}")
            begun = True
        await asyncio.sleep(0.0 if begun else 0.1)
    evacuated_at = time.time()
    soak.evacuations.append((zone, evacuated_at, evacuated_at + EVACUATED_SECONDS))
    await asyncio.sleep(EVACUATED_SECONDS)
    while begun:
        with contextlib.suppress(aiohttp.ClientError):
            await remove_row(soak.deployment, "op", key)
            begun = False
        await asyncio.sleep(0.1 if begun else 0.0)


async def _submit_deadly_job(soak: Soak, seconds: float) -> None:
    """Submits a job that crashes each runner that starts one of its tasks, until it has failed."""
    job_id = f"{soak.random.getrandbits(64):016x}"
    soak.deadly_jobs.append(job_id)
    soak.faults.append(f"deadly {job_id}")
    payload = f"{CRASH_PREFIX}0.15"
    async with aiohttp.ClientSession() as session:
        for _ in range(DEADLY_SUBMISSIONS):
            entry = soak.random.choice(soak.deployment.entries)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(8.0):
                    status, state = await submit_job(
                        session, soak.deployment, entry, job_id, 2, payload
                    )
                    if status == 200 and state != "failed":
                        soak.problems.append(f"deadly job {job_id} ended as {state}")
                    if status in (200, 503):
                        return
            await asyncio.sleep(RETRY_SECONDS)


async def _send_crowd(soak: Soak, seconds: float) -> None:
    """Lets clients that keep no limits send to one address, from some connections at a time."""
    name = _choose_process(soak, "entry", "agent")
    ports = ENTRY_PORTS if name.startswith("entry") else AGENT_PORTS
    port = soak.random.choice(ports)
    form = soak.random.choice(sorted(LINK_FORMS if port == LINK_PORT else CROWD_FORMS))
    soak.faults.append(f"crowd {form} to {name}:{port} {seconds:.1f}")
    crowd = Crowd(
        address=f"{soak.deployment.find_ip(name)}:{port}",
        form=(FORMS | LINK_FORMS)[form],
        connections=CROWD_CONNECTIONS,
        attempts=sys.maxsize,
        max_bytes=MAX_CROWD_BYTES,
        seconds=seconds,
    )
    try:
        await send_all(crowd)
    finally:
        close_crowd(crowd)


FAULTS = (
    _signal_process,
    _signal_process,
    _pause_process,
    _inject_proxy_fault,
    _inject_proxy_fault,
    _inject_store_fault,
    _inject_runner_fault,
    _crash_beside_late_calls,
    _refuse_runner_connections,
    _change_routes,
    _submit_deadly_job,
    _evacuate_zone,
    _hold_path_of_callers,
    _break_connections_at_callers,
    _make_callers_leave,
    _send_crowd,
)


def name_fault(kind: Callable) -> str:
    """Returns the name of a kind of fault, as in `pause-process`."""
    return kind.__name__.strip("_").replace("_", "-")


def _check_runs(soak: Soak) -> None:
    soak.problems += [f"overlapping runs: {line}" for line in read_overlaps(soak.deployment.folder)]
    for job_id in soak.deadly_jobs:
        for task, starts in count_starts(soak.deployment.folder, job_id).items():
            if starts > MAX_STARTS_OF_DEADLY_TASK:
                soak.problems.append(f"{task} crashes runners and was started {starts} times")
    for zone, evacuated_at, ends_at in soak.evacuations:
        agents = [
            name for name in soak.deployment.agents if soak.deployment.find_zone(name) == zone
        ]
        for agent in agents:
            starts = read_starts(soak.deployment.folder, agent)
            bound = evacuated_at + MAX_EVACUATION_SECONDS
            late = [at - evacuated_at for at in starts if bound < at < ends_at]
            if late:
                soak.problems.append(
                    f"{agent} started {len(late)} tasks in {zone}: {late[0]:.2f} s"
                )
    started = set()
    for log in soak.deployment.folder.glob("starts-*.log"):
        lines = log.read_text().splitlines()
        started |= {json.loads(line)[2].partition(".")[0] for line in lines}
    for job_id, statuses in soak.answers.items():
        if statuses and set(statuses) == {503} and job_id in started:
            soak.problems.append(f"{job_id} was refused at every submission but ran")


def main() -> None:
    """Runs seeds and prints the problems found."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=int(time.time()) % 100_000)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=5)
    names = sorted({name_fault(kind) for kind in FAULTS})
    parser.add_argument("--without", action="append", default=[], choices=names)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        seed_run = run_seed(
            seed, options.seconds, options.entries, options.agents, tuple(options.without)
        )
        problems = asyncio.run(seed_run)
        failed += bool(problems)
        print(f"seed {seed}: {'; '.join(problems) if problems else 'ok'}", flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
