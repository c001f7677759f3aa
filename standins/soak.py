"""Randomized soak: real entries and agents, faults from outside, promises checked all the while.

Each seed gives a series of faults, some at the same time: signals to processes, faults of the store
and of runners, and proxies between instances and the store, between agents and their runners, and
before each process's links.
Callers use open connections until these break, and send a request again as callers do. A seed fails
if a task ran twice at a time, a request that was always refused ran, a request has no final answer
after the floor is calm, or a process ended by itself.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp

from standins.platform_floor import (
    FIRST_PORT,
    RUNNER_PORT,
    PlatformFloor,
    note_death,
    put_configuration,
    read_overlaps,
    set_faults,
    start_member,
    start_platform_floor,
    start_runner,
    stop_platform_floor,
    submit_job,
)
from standins.proxy import Mode, Proxy, reset_connections, start_proxy, stop_proxy

RESEND_SECONDS = 1.3
CALM_SECONDS = 25.0
PROXY_PORT = 8200
REQUEST_PAUSE_SECONDS = 0.08
FAULT_MOST_SECONDS = 3.0


class Soak:
    """One seed.

    Attributes:
        floor: The processes.
        random: Source of all choices.
        proxies: Proxies by name of the instance and what is behind it.
        stopped: Processes that the soak ended or is about to.
        answers: Statuses that each request got, in order.
        faults: What was done, for people.
    """

    __slots__ = (
        "floor",
        "random",
        "proxies",
        "stopped",
        "answers",
        "faults",
        "problems",
        "version",
    )

    def __init__(self, *, floor: PlatformFloor, seed: int) -> None:
        self.floor = floor
        self.random = random.Random(seed)
        self.proxies: dict[str, Proxy] = {}
        self.stopped: set[str] = set()
        self.answers: dict[str, list[int]] = {}
        self.faults: list[str] = []
        self.problems: list[str] = []
        self.version = 4


async def run_seed(seed: int, seconds: float, entries: int, agents: int) -> list[str]:
    """Plays one seed.

    Returns:
        What went wrong, one line each.
    """
    with tempfile.TemporaryDirectory() as folder:
        network = f"127.{100 + seed % 100}"
        floor = PlatformFloor(
            network=network, folder=pathlib.Path(folder), entries=entries, agents=agents
        )
        soak = Soak(floor=floor, seed=seed)
        try:
            await _build_proxies(soak)
            await start_platform_floor(floor)
            await _play(soak, seconds)
        finally:
            await stop_platform_floor(floor)
            for proxy in soak.proxies.values():
                await stop_proxy(proxy)
        _check_runs(soak)
    if soak.problems:
        soak.problems += [f"faults: {'; '.join(soak.faults)}"]
    return soak.problems


async def _build_proxies(soak: Soak) -> None:
    floor = soak.floor
    for name in (*floor.entries, *floor.agents):
        ip = floor.find_ip(name)
        soak.proxies[f"{name} store"] = Proxy(
            address=f"{ip}:{PROXY_PORT}", target=floor.store_address
        )
        floor.stores[name] = f"{ip}:{PROXY_PORT}"
        link = Proxy(address=f"{ip}:{PROXY_PORT + 2}", target=f"{ip}:{FIRST_PORT}")
        soak.proxies[f"{name} link"] = link
        floor.links[name] = link.address
        if name in floor.agents:
            runner = Proxy(address=f"{ip}:{PROXY_PORT + 1}", target=f"{ip}:{RUNNER_PORT}")
            soak.proxies[f"{name} runner"] = runner
            floor.runners[name] = runner.address
    for proxy in soak.proxies.values():
        await start_proxy(proxy)


async def _play(soak: Soak, seconds: float) -> None:
    ends_at = time.monotonic() + seconds
    calls: list[asyncio.Task] = []
    watch = asyncio.create_task(_watch_exits(soak))
    faults = asyncio.create_task(_make_faults(soak, ends_at))
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        while time.monotonic() < ends_at:
            job_id = f"{len(calls):016x}"
            calls.append(asyncio.create_task(_call(soak, session, job_id)))
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)
        await faults
        await _calm(soak)
        _, late = await asyncio.wait(calls, timeout=CALM_SECONDS)
        for call in late:
            call.cancel()
        if late:
            soak.problems.append(f"{len(late)} requests without a final answer")
    watch.cancel()


async def _call(soak: Soak, session: aiohttp.ClientSession, job_id: str) -> None:
    statuses = soak.answers.setdefault(job_id, [])
    while True:
        entry = soak.random.choice(soak.floor.entries)
        tasks = soak.random.randint(1, 4)
        # A frozen entry holds its callers; those leave and send again.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(8.0):
                status, _ = await submit_job(session, soak.floor, entry, job_id, tasks)
                statuses.append(status)
                if status in (200, 503):
                    return
        await asyncio.sleep(RESEND_SECONDS)


async def _watch_exits(soak: Soak) -> None:
    """Starts processes again, and notes those that nobody stopped."""
    while True:
        await asyncio.sleep(0.2)
        for name, process in list(soak.floor.processes.items()):
            if process.returncode is None or name == "store":
                continue
            if name not in soak.stopped:
                soak.problems.append(f"{name} ended by itself with {process.returncode}")
            soak.stopped.discard(name)
            if name.startswith("runner-"):
                await start_runner(soak.floor, name.removeprefix("runner-"))
            else:
                await start_member(soak.floor, name)


async def _make_faults(soak: Soak, ends_at: float) -> None:
    running: set[asyncio.Task] = set()
    while time.monotonic() < ends_at:
        await asyncio.sleep(soak.random.uniform(0.1, 1.5))
        fault = soak.random.choice(FAULTS)
        task = asyncio.create_task(fault(soak, soak.random.uniform(0.2, FAULT_MOST_SECONDS)))
        running.add(task)
    await asyncio.gather(*running)


async def _calm(soak: Soak) -> None:
    for proxy in soak.proxies.values():
        proxy.mode = Mode.PASS
    await set_faults(soak.floor.store_address, outage=False, delay=0.0, lose_answers=0)


def _choose_process(soak: Soak, *kinds: str) -> str:
    names = [name for name in soak.floor.processes if name.partition("-")[0] in kinds]
    return soak.random.choice(sorted(names))


async def _signal_process(soak: Soak, seconds: float) -> None:
    name = _choose_process(soak, "entry", "agent", "runner")
    process = soak.floor.processes[name]
    number = soak.random.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGHUP))
    if process.returncode is None and not (name.startswith("runner") and number == signal.SIGHUP):
        soak.faults.append(f"{number.name} {name}")
        if number != signal.SIGHUP:
            soak.stopped.add(name)
        process.send_signal(number)
        if name.startswith("runner-"):
            await process.wait()
            note_death(soak.floor, name.removeprefix("runner-"))


async def _pause_process(soak: Soak, seconds: float) -> None:
    name = _choose_process(soak, "entry", "agent")
    process = soak.floor.processes[name]
    if process.returncode is None:
        soak.faults.append(f"pause {name} {seconds:.1f}")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)


async def _disturb_proxy(soak: Soak, seconds: float) -> None:
    name = soak.random.choice(sorted(soak.proxies))
    proxy = soak.proxies[name]
    if soak.random.random() < 0.3:
        soak.faults.append(f"reset {name}")
        reset_connections(proxy)
        return
    mode = soak.random.choice((Mode.DELAY, Mode.SILENT, Mode.CUT_BACK, Mode.CUT_FORTH, Mode.REFUSE))
    soak.faults.append(f"{mode.value} {name} {seconds:.1f}")
    proxy.delay = soak.random.choice((0.02, 0.2, 0.6))
    proxy.mode = mode
    await asyncio.sleep(seconds)
    proxy.mode = Mode.PASS


async def _disturb_store(soak: Soak, seconds: float) -> None:
    knobs = soak.random.choice(
        ({"outage": True}, {"delay": 0.3}, {"lose_answers": 3}, {"forget": True})
    )
    soak.faults.append(f"store {knobs}")
    await set_faults(soak.floor.store_address, **knobs)
    await asyncio.sleep(seconds)
    await set_faults(soak.floor.store_address, outage=False, delay=0.0, lose_answers=0)


async def _disturb_runner(soak: Soak, seconds: float) -> None:
    ip = soak.floor.find_ip(soak.random.choice(soak.floor.agents))
    knobs = soak.random.choice(({"speed": 0.0}, {"speed": 0.2}, {"late": 7}))
    soak.faults.append(f"runner {ip} {knobs} {seconds:.1f}")
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await set_faults(f"{ip}:{RUNNER_PORT}", **knobs)
        await asyncio.sleep(seconds)
        await set_faults(f"{ip}:{RUNNER_PORT}", speed=1.0, late=0)


async def _change_routes(soak: Soak, seconds: float) -> None:
    soak.version += soak.random.randint(1, 5)
    soak.faults.append(f"routes {soak.version}")
    with contextlib.suppress(aiohttp.ClientError):
        await put_configuration(soak.floor, soak.version)


FAULTS = (
    _signal_process,
    _signal_process,
    _pause_process,
    _disturb_proxy,
    _disturb_proxy,
    _disturb_store,
    _disturb_runner,
    _change_routes,
)


def _check_runs(soak: Soak) -> None:
    soak.problems += [f"twice: {line}" for line in read_overlaps(soak.floor.folder)]
    started = set()
    for log in soak.floor.folder.glob("starts-*.log"):
        lines = log.read_text().splitlines()
        started |= {json.loads(line)[2].partition(".")[0] for line in lines}
    for job_id, statuses in soak.answers.items():
        if statuses and set(statuses) == {503} and job_id in started:
            soak.problems.append(f"{job_id} was refused and ran")


def main() -> None:
    """Plays seeds and prints what went wrong."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=int(time.time()) % 100_000)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=5)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        work = run_seed(seed, options.seconds, options.entries, options.agents)
        problems = asyncio.run(work)
        failed += bool(problems)
        print(f"seed {seed}: {'; '.join(problems) if problems else 'ok'}", flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
