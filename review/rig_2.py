"""A small deployment on loopback for the cases 6 to 10: real entries and agents, with stand-ins.

Entries and agents are started with the commands of the deploy file. The store is the project's own
stand-in, the runners are those of `review/runner_2.py`. Each instance has a loopback address of its
own, as the ports are the same on all machines of a day.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0
READY_SECONDS = 25.0
FRONT, READY, CONTROL, APP, STORE = 8161, 8167, 8166, 8165, 8169
FIRST_PORT, LAST_PORT = 7720, 7735
HOST, PREFIX, SERVICE = "desk.example", "/q1/", "svc1"
ZONE, REGION = "zone-a", "region-a"
HEARTBEAT_MS = 1500
# Figures of the site file; the programs read some of them.
BOUNDS = {
    "stability-ms": 3000,
    "ack-ms": 4000,
    "drain-ms": 2000,
    "grace-s": 6,
    "config-apply-ms": 2000,
    "max-hold-ms": 1000,
    "stop-timeout-ms": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "remote-factor": 1.5,
    "retransmit-ms": 1300,
    "fencing-required": False,
}


class CannotRun(Exception):
    """The case could not be played to its end."""


class Rig:
    """A deployment and its processes.

    Attributes:
        network: First two octets of its addresses.
        folder: Folder for settings, logs and the runners' events.
        record: Open record of the case.
        began_at: Unix time in seconds that the times in the record count from.
        entries: Names of the entries.
        sides: Numbers of the machines with a runner and an agent.
        processes: The latest process started under each name.
        session: HTTP client session.
        runner_options: Additional arguments of each runner.
        links: Number of agents that each entry keeps a link to.
    """

    def __init__(self, folder, record, entries, sides, runner_options=(), links=None):
        self.network = find_network()
        self.folder = pathlib.Path(folder)
        self.record = record
        self.began_at = time.time()
        self.entries = [f"edge-{number}" for number in range(1, entries + 1)]
        self.sides = list(range(1, sides + 1))
        self.processes = {}
        self.session = None
        self.runner_options = list(runner_options)
        self.links = sides if links is None else links

    def address(self, name, port):
        """Returns the address of a port of an instance."""
        return f"{self.ip(name)}:{port}"

    def ip(self, name):
        """Returns the IP address of an instance; that of `store` as well."""
        kind, _, number = name.partition("-")
        octet = {"edge": 1, "side": 2, "store": 9}[kind]
        return f"{self.network}.{octet}.{int(number or 1)}"

    def note(self, text):
        """Writes a line to the record, with the seconds since the beginning."""
        line = f"{time.time() - self.began_at:8.3f}  {text}"
        self.record.write(line + "\n")
        self.record.flush()

    async def start(self):
        """Starts the store, the machines with runners, and the entries; waits for all of them."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        host = self.ip("store")
        self.spawn(
            "store", stand_in("-m", "standins.platform_store", "--host", host, "--port", STORE)
        )
        await self.wait_until(self.is_store_up, "the store answers")
        await self.put_config(version=3)
        for number in self.sides:
            self.start_agent(number)
            self.start_runner(number)
        for name in self.entries:
            self.start_entry(name)
        await self.wait_until(self.are_entries_ready, "all entries are ready")
        await self.wait_until(self.are_linked, "all entries know all agents")
        self.note(f"deployment: {len(self.entries)} entries, {len(self.sides)} runners")

    def start_entry(self, name):
        """Starts an entry with the command of the deploy file."""
        ip = self.ip(name)
        listen = {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}"}
        self.start_role("entry", name, "edge", listen, {})

    def start_agent(self, number):
        """Starts the agent of a machine with a runner with the command of the deploy file."""
        name = f"side-{number}"
        ip = self.ip(name)
        extra = {"app": f"{ip}:{APP}", "service": SERVICE}
        self.start_role("agent", name, "side", {"control": f"{ip}:{CONTROL}"}, extra)

    def start_role(self, role, name, kind, listen, extra):
        """Writes the settings of an instance as the template of the deploy file gives them."""
        settings = {
            "node": name,
            "role": role,
            "class": kind,
            "serves": ["edge", "control_plane"] if kind == "edge" else ["side"],
            "ip": self.ip(name),
            "zone": ZONE,
            "region": REGION,
            "zones": {ZONE: REGION},
            "listen": listen,
            "port-range": [FIRST_PORT, LAST_PORT],
            "seeds": [self.address(entry, CONTROL) for entry in self.entries[:3]],
            "bootstrap": True,
            "heartbeat-ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {"address": self.address("store", STORE), "form": "table"},
            **extra,
        }
        path = self.folder / f"{name}.settings"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][role]["run"])
        variables = {"COMFREYSILL_SETTINGS": str(path), "PYTHONPATH": "target/deps"}
        self.spawn(name, command, variables)

    def start_runner(self, number):
        """Starts the runner of a machine."""
        name = f"side-{number}"
        arguments = [
            str(ROOT / "review" / "runner_2.py"),
            "--id",
            f"i-{number}",
            "--ip",
            self.ip(name),
            "--port",
            APP,
            "--agent",
            self.address(name, CONTROL),
            "--service",
            SERVICE,
            "--zone",
            ZONE,
            "--heartbeat-ms",
            HEARTBEAT_MS,
            "--events",
            str(self.events_path(number)),
            "--late-call",
            str(self.folder / "late.call"),
            *self.runner_options,
        ]
        self.spawn(f"runner-{number}", stand_in(*arguments))

    def events_path(self, number):
        """Returns the file to which the runner of a machine writes what it does."""
        return self.folder / f"runner-{number}.events"

    def spawn(self, name, command, variables=None):
        """Starts a process; its output goes to a file."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [str(word) for word in command],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**environment, **(variables or {})},
            )

    def kill(self, name):
        """Kills a process and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()
        kind, _, number = name.partition("-")
        if kind == "runner":
            event = {"at": time.time(), "runner": f"i-{number}", "what": "killed"}
            with self.events_path(number).open("a") as events:
                events.write(json.dumps(event) + "\n")

    def stop_all(self):
        """Ends all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            process.wait()

    async def wait_until(self, check, what, seconds=READY_SECONDS):
        """Waits until a check holds; raises CannotRun if it doesn't in time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await check():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not reached in {seconds} s: {what}")

    async def is_store_up(self):
        return await self.get_status(f"http://{self.address('store', STORE)}/knobs") == 200

    async def are_entries_ready(self):
        urls = [f"http://{self.address(name, READY)}/api/readyz" for name in self.entries]
        return all([await self.get_status(url) == 200 for url in urls])

    async def are_linked(self):
        for name in self.entries:
            text = await self.get_text(f"http://{self.address(name, LAST_PORT)}/metrics")
            wanted = f'comfreysill_state{{name="agents",role="entry"}} {self.links}'
            peers = f'comfreysill_state{{name="peers",role="entry"}} {len(self.entries) - 1}'
            if wanted not in text or peers not in text:
                return False
        return True

    async def get_status(self, url):
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def get_text(self, url):
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as answer:
                return await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ""

    async def put_config(self, version):
        """Writes the configuration to the store, as the operator does."""
        route = {
            "name": "r1",
            "host": HOST,
            "path-prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout-ms": 60000,
            "target-latency-ms": 2000,
            "priority": 0,
            "service": SERVICE,
            "max-attempts": 4,
            "stretch": 4.0,
        }
        service = {"name": SERVICE, "health-path": "/healthz", "admission-check": False}
        document = {"version": version, "routes": [route], "services": [service], "limits": {}}
        value = base64.b64encode(json.dumps(document).encode()).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        body = {"expected-rev": [], "put": [row], "remove": []}
        url = f"http://{self.address('store', STORE)}/api/rows-tx"
        async with self.session.post(url, json=body) as answer:
            answer.raise_for_status()

    async def post_job(self, entry, job, steps, spec, wait_s):
        """Hands a best-effort job in; returns the status and the body, 0 for no answer."""
        body = {"spec": spec, "best-effort": True, "steps": steps}
        self.note(f"client: POST {job} at {entry}, steps {json.dumps(steps)}")
        status, text = await self.call("POST", entry, job, body, wait_s)
        self.note(f"client: POST {job} at {entry} answered: {status} {text}")
        return status, text

    async def delete_job(self, entry, job):
        """Cancels a job at an entry; returns the status, 0 for no answer."""
        status, text = await self.call("DELETE", entry, job, None, 5.0)
        self.note(f"client: DELETE {job} at {entry} answered: {status} {text}")
        return status

    async def call(self, method, entry, job, body, wait_s):
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(wait_s * 1000))}
        url = f"http://{self.address(entry, FRONT)}{PREFIX}{job}"
        timeout = aiohttp.ClientTimeout(total=wait_s)
        try:
            async with self.session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as answer:
                return answer.status, (await answer.text())[:200]
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, type(error).__name__

    def read_events(self, job=""):
        """Returns what the runners have done, by time; of one job or of all."""
        events = []
        for number in self.sides:
            path = self.events_path(number)
            lines = path.read_text().splitlines() if path.exists() else []
            events += [json.loads(line) for line in lines]
        events.sort(key=lambda event: event["at"])
        return [event for event in events if event.get("task", "").startswith(job)]

    def note_events(self, job=""):
        """Writes what the runners have done to the record."""
        self.note("what the runners have done, with its time:")
        for event in self.read_events(job):
            seconds = event["at"] - self.began_at
            fields = {key: value for key, value in event.items() if key != "at"}
            self.record.write(f"    {seconds:8.3f}  {json.dumps(fields)}\n")


def find_network():
    """Returns the first two octets of a loopback network whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(60, 250)}"
        try:
            for address in (f"{network}.1.1", f"{network}.2.1", f"{network}.9.1"):
                for port in (FRONT, READY, CONTROL, APP, STORE, FIRST_PORT, LAST_PORT):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((address, port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def stand_in(*arguments):
    """Returns the command of a stand-in, which needs the declared packages."""
    return [str(ROOT / ".venv" / "bin" / "python"), *arguments]


def find_overlaps(events):
    """Returns the pairs of runs of one task that were at runners at the same time."""
    running, overlaps = {}, []
    for event in events:
        task, runner = event.get("task"), event["runner"]
        if event["what"] == "start":
            overlaps += [(other, event) for other in running.get(task, [])]
            running.setdefault(task, []).append(event)
        elif event["what"] == "end":
            running[task] = [run for run in running.get(task, []) if run["runner"] != runner]
        elif event["what"] in ("killed", "born"):
            # The earlier process of this runner has ended, and its runs with it.
            for name, runs in running.items():
                running[name] = [run for run in runs if run["runner"] != runner]
    return overlaps


def run_case(play, file, **options):
    """Plays a case and exits with its status; `play` returns whether the rule held, and why."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record_path = pathlib.Path(file).resolve().parent / "record.txt"
    with record_path.open("w") as record, tempfile.TemporaryDirectory() as folder:
        record.write(f"disruption: {'yes' if has_trouble else 'no'}\n")
        status = asyncio.run(_play(play, folder, record, has_trouble, options))
        record.write(f"exit status {status}\n")
    sys.exit(status)


async def _play(play, folder, record, has_trouble, options):
    rig = None
    # Whoever ends the script doesn't leave its processes behind.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        rig = Rig(folder, record, **options)
        async with asyncio.timeout(MAX_SECONDS):
            await rig.start()
            held, why = await play(rig, has_trouble)
        rig.note(f"{'held' if held else 'BROKEN'}: {why}")
        print(f"{'held' if held else 'broken'}: {why}")
        return HELD if held else BROKEN
    except (Exception, asyncio.CancelledError) as error:
        # Only a check that was made to its end says that the rule was broken.
        record.write(f"the case could not run: {type(error).__name__} {error}\n")
        print(f"could not run: {type(error).__name__} {error}")
        return NOT_RUN
    finally:
        if rig is not None:
            if rig.session is not None:
                await rig.session.close()
            rig.stop_all()
            if os.environ.get("KEEP_LOGS"):
                for path in rig.folder.glob("*.log"):
                    target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                    target.write_bytes(path.read_bytes())
