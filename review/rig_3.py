"""What the scripts of the cases 11 to 15 share: a small deployment as the deploy file starts it.

Entries and agents are started with the commands of `deploy/system.toml`, with settings like those
of a small deployment. The store, the runners and the proxies are the project's stand-ins. Each
instance has a loopback address of its own, as all of them use the same ports.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import aiohttp  # noqa: E402

from standins.proxy import Mode, Proxy, start_proxy, stop_proxy  # noqa: E402

HOST, PREFIX, SERVICE = "desk.example", "/q1/", "s1"
FRONT, READY, CONTROL, APP = 8161, 8167, 8166, 8165
LINK, METRICS, STORE = 7720, 7735, 8169
PROXY_LINK = 7740
READY_SECONDS = 25.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "stability-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "max-skew-ms": 5000, "recovery-s": 12, "max-hold-ms": 1000,
    "stop-timeout-ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "status_s": 120, "remote-factor": 1.5, "lease-ms": 3000, "retransmit-ms": 1300,
}


def is_troubled():
    """Returns whether the disruption of the case is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case couldn't run."""


class Record:
    """The record of a run of a case: one line for each thing that happened, with its time."""

    def __init__(self, path):
        self.started_at = time.time()
        self.lines = []
        self.path = path

    def note(self, text, at=None):
        seconds = (at or time.time()) - self.started_at
        self.lines.append((seconds, f"{seconds:8.3f}  {text}"))

    def write(self):
        self.lines.sort(key=lambda line: line[0])
        self.path.write_text("".join(line + "\n" for _, line in self.lines))


class LinkProxy:
    """A proxy in front of the link port of one instance, which can cut one other instance off.

    All processes connect from the same loopback address. So the proxy tells a connection of the
    instance `other` by its name, which the first message on each link holds. Bytes and ends of a
    connection that is cut are held up both ways until the cut is over, as TCP does it. With
    `other` empty all connections are cut.
    """

    def __init__(self, *, host, other=""):
        self.host = host
        self.marker = f"{other}@".encode() if other else b""
        self.is_cut = False
        self.server = None
        self.tasks = set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, PROXY_LINK)

    async def _accept(self, reader, writer):
        try:
            target_reader, target = await asyncio.open_connection(self.host, LINK)
        except OSError:
            writer.transport.abort()
            return
        state = {"head": b"", "is_other": not self.marker}
        relays = [
            asyncio.create_task(self._relay(reader, target, state, True)),
            asyncio.create_task(self._relay(target_reader, writer, state, False)),
        ]
        self.tasks.update(relays)
        self.writers.update((writer, target))
        await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        for relay in relays:
            relay.cancel()
        writer.transport.abort()
        target.transport.abort()

    def stop(self):
        """Closes the port and all connections."""
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()

    async def _relay(self, reader, writer, state, is_forth):
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                return
            if is_forth and not state["is_other"] and len(state["head"]) < 16384:
                state["head"] += data
                state["is_other"] = self.marker in state["head"]
            while self.is_cut and state["is_other"]:
                await asyncio.sleep(0.05)
            if not data:
                return
            writer.write(data)
            with contextlib.suppress(OSError):
                await writer.drain()


class Deployment:
    """A store, entries, agents and runners on loopback.

    `isolated` names an entry that can be cut off from all other machines and from the store; the
    links of all instances go through proxies then.
    """

    def __init__(self, *, record, entries, agents, isolated="", zones=1):
        self.record = record
        self.entries = [f"edge-{number}" for number in range(entries)]
        self.agents = [f"side-{number}" for number in range(agents)]
        self.isolated = isolated
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = find_network()
        self.processes = {}
        self.proxies = {}
        self.store_proxy = None
        self.capacity = dict.fromkeys(self.agents, 8000)

    def ip(self, name):
        kind, _, number = name.partition("-")
        return f"{self.network}.{1 if kind == 'edge' else 2}.{int(number) + 1}"

    def zone(self, name):
        return f"z{int(name.partition('-')[2]) % self.zones + 1}"

    @property
    def store(self):
        return f"{self.network}.9.1:{STORE}"

    def describe(self, name):
        """Returns the settings of an instance; `advertised` is this software's own field."""
        ip, is_entry = self.ip(name), name.startswith("edge")
        document = {
            "node": name, "role": "entry" if is_entry else "agent",
            "class": "edge" if is_entry else "side", "serves": ["edge" if is_entry else "side"],
            "ip": ip, "zone": self.zone(name), "region": "r",
            "zones": {f"z{number + 1}": "r" for number in range(self.zones)},
            "port-range": [LINK, METRICS],
            "seeds": [f"{self.ip(entry)}:{CONTROL}" for entry in self.entries[:3]],
            "bootstrap": True, "heartbeat-ms": 1500, "orders": "call", "bounds": BOUNDS,
            "limits": {"cpu-share": 0.5, "cores": 1, "memory-mb": 300, "max-fds": 4096},
            "platform": {"address": self.store, "form": "table"},
        }
        if is_entry:
            document["listen"] = {
                "front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}",
            }
        else:
            document["listen"] = {"control": f"{ip}:{CONTROL}"}
            document |= {"app": f"{ip}:{APP}", "service": SERVICE}
        if self.isolated:
            # The seeds name the link ports, which would bypass the proxies.
            document["advertised"] = f"{ip}:{PROXY_LINK}"
            document["seeds"] = []
        if name == self.isolated:
            document["platform"]["address"] = self.store_proxy.address
        return document

    async def start(self):
        """Starts everything and waits until each entry is ready."""
        host, _, port = self.store.partition(":")
        await self.spawn("store", ["-m", "standins.platform_store", "--host", host, "--port", port])
        await await_status(f"http://{self.store}/knobs", 200)
        await self.put_config()
        if self.isolated:
            await self.start_proxies()
        for name in self.agents:
            await self.start_instance(name)
            await self.start_runner(name)
        for name in self.entries:
            await self.start_instance(name)
        await self.await_ready()

    async def start_proxies(self):
        self.store_proxy = Proxy(address=f"{self.network}.9.2:{STORE}", target=self.store)
        await start_proxy(self.store_proxy)
        for name in (*self.entries, *self.agents):
            other = "" if name == self.isolated else self.isolated
            self.proxies[name] = LinkProxy(host=self.ip(name), other=other)
            await self.proxies[name].start()

    def set_isolation(self, is_cut, spares_zone=False):
        """Cuts the isolated entry off from the other machines and the store, or ends the cut.

        With `spares_zone` the machines of its zone are left out.
        """
        for name, proxy in self.proxies.items():
            is_near = name != self.isolated and self.zone(name) == self.zone(self.isolated)
            proxy.is_cut = is_cut and not (spares_zone and is_near)
        self.store_proxy.mode = Mode.SILENT if is_cut else Mode.PASS
        others = "all machines of other zones" if spares_zone else "all other machines"
        state = f"is cut off from {others}" if is_cut else "reaches all machines again"
        self.record.note(f"{self.isolated} {state}")

    async def await_ready(self):
        for name in self.entries:
            await await_status(f"http://{self.ip(name)}:{READY}/api/readyz", 200)

    async def start_instance(self, name):
        """Starts an entry or an agent with the command of the deploy file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.describe(name)))
        role = "entry" if name.startswith("edge") else "agent"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"COMFREYSILL_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        await self._spawn(name, deploy["roles"][role]["run"].split(), environment)

    async def start_runner(self, name):
        ip = self.ip(name)
        await self.spawn(
            f"runner-{name}",
            [
                "-m", "standins.platform_runner", f"--id=i-{name}", f"--host={ip}",
                f"--port={APP}", f"--agent={ip}:{CONTROL}", f"--service={SERVICE}", f"--zone={self.zone(name)}",
                f"--cpu={self.capacity[name]}", f"--log={self.folder / f'starts-{name}.log'}",
            ],
        )

    async def spawn(self, name, arguments):
        """Starts a stand-in."""
        await self._spawn(name, [sys.executable, *arguments], dict(os.environ))

    async def _spawn(self, name, command, environment):
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )

    async def kill(self, *names):
        """Kills processes and waits for their ends."""
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
            self.record.note(f"{name} killed")
        for name in names:
            await self.processes[name].wait()

    def log_crash(self, name):
        """Adds the end of all runs to the log of a runner that was killed."""
        with (self.folder / f"starts-{name}.log").open("a") as log:
            log.write(json.dumps([time.time(), "killed", "*", 0]) + "\n")

    async def stop(self):
        """Ends all processes, then the proxies."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        for proxy in self.proxies.values():
            proxy.stop()
        if self.store_proxy is not None:
            await stop_proxy(self.store_proxy)
        # Transports that were aborted are closed in the next passes of the event loop.
        await asyncio.sleep(0.1)

    async def put_config(self):
        route = {
            "name": "r1", "host": HOST, "path-prefix": PREFIX, "service": SERVICE, "priority": 0,
            "max-attempts": 4, "stretch": 1.6, "target-latency-ms": 60,
        }
        document = {
            "version": 4, "routes": [route], "services": [{"name": SERVICE}], "limits": {},
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        body = {"expected-rev": [], "put": [row], "remove": []}
        async with aiohttp.ClientSession() as session:
            async with session.post(f"http://{self.store}/api/rows-tx", json=body) as answer:
                answer.raise_for_status()

    async def call(
        self, method, entry, job, body=None, wait_ms=None, limit=30.0, note=True
    ):
        """Makes a call of a client; returns the status, 0 for no answer, and the document."""
        url = f"http://{self.ip(entry)}:{FRONT}{PREFIX}{job}"
        headers = {"Host": HOST}
        if wait_ms:
            headers["X-Deadline-Ms"] = str(wait_ms)
        write = self.record.note if note else lambda text: None
        write(f"{method} {job} sent to {entry}" + (f", waits {wait_ms} ms" if wait_ms else ""))
        try:
            async with asyncio.timeout(limit), aiohttp.ClientSession() as session:
                async with session.request(method, url, json=body, headers=headers) as answer:
                    document = await answer.json()
                    status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            write(f"{method} {job} at {entry}: no answer, {type(error).__name__}")
            return 0, {}
        write(f"{method} {job} at {entry} answered {status} {json.dumps(document)}")
        return status, document

    async def report(self, agent, runner_id, document):
        """Sends a liveness report to an agent; returns the status of the answer."""
        url = f"http://{self.ip(agent)}:{CONTROL}/api/instances/{runner_id}/heartbeat"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=document) as answer:
                self.record.note(
                    f"report of {runner_id} at {agent} answered {answer.status}: "
                    + json.dumps(document)
                )
                return answer.status

    def read_runs(self, job="", note=True):
        """Returns the events of all runners, (time, event, task, agent), by time.

        With `job`, only those of its tasks are returned and recorded.
        """
        events = []
        for name in self.agents:
            log = self.folder / f"starts-{name}.log"
            for line in log.read_text().splitlines() if log.exists() else ():
                at, event, task, _ = json.loads(line)
                if task.startswith(job) or task == "*":
                    events.append((at, event, task, name))
        events.sort()
        for at, event, task, name in events if note else ():
            self.record.note(f"runner at {name}: {event} {task}", at)
        return events


def find_network():
    """Returns the first two octets of loopback addresses on which the ports are free."""
    for _ in range(100):
        network = f"127.{random.randint(60, 250)}"
        try:
            for host in ("9.1", "1.1", "2.1"):
                for port in (STORE, FRONT, READY, CONTROL, APP, LINK, METRICS, PROXY_LINK):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise CannotRun("no free loopback addresses")


async def await_status(url, status):
    deadline = time.monotonic() + READY_SECONDS
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < deadline:
            try:
                async with session.get(url) as answer:
                    if answer.status == status:
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.05)
    raise CannotRun(f"{url} isn't ready")


def run_case(folder, case, seconds=110, **deployment):
    """Runs a case, which returns a list of what broke the rule; exits with its result."""
    record = Record(folder / "record.txt")

    async def run():
        world = Deployment(record=record, **deployment)
        try:
            async with asyncio.timeout(seconds):
                await world.start()
                record.note("all entries are ready")
                return await case(world)
        finally:
            await world.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.note(f"the case couldn't run: {type(error).__name__} {error}")
        record.write()
        print(f"couldn't run: {error}")
        sys.exit(NOT_RUN)
    for line in broken:
        record.note(f"BROKEN: {line}")
    record.note("rule broken" if broken else "rule held")
    record.write()
    print("\n".join(broken) or "rule held")
    sys.exit(BROKEN if broken else HELD)
