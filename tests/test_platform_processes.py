"""Runs real entries and agents against stand-ins for the platform.

A caller's job is a request at the entry.
"""

import asyncio
import contextlib
import itertools
import pathlib
import signal
import tempfile
import time
import unittest

import aiohttp
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from comfreysill.crashes.ledger import MIN_CRASHES
from comfreysill.wire.exchange_grpc import TargetStub
from comfreysill.wire.exchange_pb2 import ToAgent
from standins.platform_deployment import (
    CALLERS_PORT,
    CONTROL_PORT,
    LINK_PORT,
    METRICS_PORT,
    ROUTE_HOST,
    ROUTE_PREFIX,
    PlatformDeployment,
    count_starts,
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
from standins.platform_runner import CRASH_PREFIX

RESEND_DELAY_SECONDS = 1.3
MALFORMED_STEPS = (
    [{"count": 1, "estimate-ms": "nan"}],
    [{"count": 1, "estimate-ms": "inf"}],
    [{"count": 1, "estimate-ms": -5}],
    [{"count": 20_000_000}],
    [{"count": 1}] * 5_000,
    [{"count": 1, "cpu": -1}],
    [{"count": 1, "cpu": 1 << 64}],
    [{"count": 1, "mem-mb": -1}],
    [{"count": 1, "anti-affinity": -1}],
)
MALFORMED_MEMBERS = (
    b'{"role": "agent", "address": "127.0.0.1:1", "service": ["s"]}',
    b'{"role": "agent", "address": "nowhere"}',
    b'{"role": "agent", "address": "127.0.0.1:99999", "service": "s1"}',
    b"\xff",
)
MALFORMED_CRASHES = (
    b'{"tasks": "r/0/0"}',
    b'{"tasks": [1]}',
    b'{"tasks": ["no name of a task", ""]}',
    b"\xff",
)
# Second octets: each test has a loopback network 127.N of its own.
LOOPBACK_NETWORKS = itertools.count(40)


async def call_until_final(session, deployment, job_id, first_entry):
    """Submits a job to one entry after another until it is answered with status 200.

    Returns:
        State in the answer, or `none` after 12 attempts.
    """
    for attempt in range(12):
        entry = deployment.entries[(first_entry + attempt) % len(deployment.entries)]
        status, state = await submit_job(session, deployment, entry, job_id)
        if status == 200:
            return state
        await asyncio.sleep(RESEND_DELAY_SECONDS)
    return "none"


class TestPlatformProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.job_numbers = itertools.count()
        network = f"127.{next(LOOPBACK_NETWORKS)}"
        self.deployment = PlatformDeployment(
            network=network, folder=pathlib.Path(self.folder.name), entries=2, agents=3
        )
        self.addCleanup(self.folder.cleanup)
        self.addAsyncCleanup(stop_platform_deployment, self.deployment)
        await start_platform_deployment(self.deployment)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def start_jobs(self, jobs, pause=0.03):
        calls = []
        # No two of these jobs have the same ID.
        for number in itertools.islice(self.job_numbers, jobs):
            call = call_until_final(self.session, self.deployment, f"{number:016x}", number)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(pause)
        return calls

    async def check_guarantees(self, calls):
        states = await asyncio.gather(*calls)
        self.assertEqual(set(states), {"completed"})
        self.assertEqual(read_overlaps(self.deployment.folder), [])

    async def test_requests_and_refusals_without_faults(self):
        await self.check_guarantees(await self.start_jobs(30))
        url = f"http://{self.deployment.find_ip('entry-0')}:{CALLERS_PORT}"
        for path, expected in (
            (ROUTE_PREFIX, 200),
            ("/none/", 404),
            (f"{ROUTE_PREFIX}{'f' * 16}", 410),
        ):
            async with self.session.get(url + path, headers={"Host": ROUTE_HOST}) as answer:
                self.assertEqual(answer.status, expected, path)
        body = {"spec": "0.1", "steps": [{"count": 1, "cpu": 1, "mem-mb": 1}]}
        path = f"{ROUTE_PREFIX}{'e' * 16}"
        async with self.session.post(url + path, json=body, headers={"Host": ROUTE_HOST}) as answer:
            self.assertEqual(answer.status, 503, "a job that is not best-effort is refused")
            self.assertTrue(answer.headers["Retry-After"])

    async def test_an_entry_tells_where_a_request_would_go_and_starts_nothing(self):
        await self.await_links("entry-0", len(self.deployment.agents))
        url = f"http://{self.deployment.find_ip('entry-0')}:{METRICS_PORT}/where"
        query = {"route": "r1", "cpu": 1000, "memory_mb": 1, "estimate": 0.1, "count": 2}
        async with self.session.get(url, params=query) as answer:
            step = (await answer.json())["steps"][0]
        self.assertEqual(step["unplaced"], 0)
        self.assertEqual(len(step["candidates"]), len(self.deployment.agents))
        await asyncio.sleep(0.5)
        for agent in self.deployment.agents:
            self.assertEqual(read_starts(self.deployment.folder, agent), [])

    async def test_nothing_starts_in_an_evacuated_zone(self):
        agents = [name for name in self.deployment.agents if name.endswith("1")]
        self.assertEqual({self.deployment.find_zone(name) for name in agents}, {"z2"})
        # More than the other zone has room for.
        await self.check_guarantees(await self.start_jobs(40, pause=0.0))
        self.assertTrue(self.list_starts(agents))
        await put_row(self.deployment, "op", "evacuate/z2", b"{}")
        await asyncio.sleep(0.5)
        starts = self.list_starts(agents)
        await self.check_guarantees(await self.start_jobs(15))
        # It is known to an entry that can't read the store, and after a restart.
        store_ips = [self.deployment.find_ip(name) for name in self.deployment.entries]
        await set_faults(self.deployment.store_address, refused=store_ips)
        entry = self.deployment.processes["entry-0"]
        entry.kill()
        await entry.wait()
        await start_instance(self.deployment, "entry-0")
        await asyncio.sleep(1.0)
        await self.check_guarantees(await self.start_jobs(15))
        self.assertEqual(self.list_starts(agents), starts)
        await set_faults(self.deployment.store_address, refused=[])
        await remove_row(self.deployment, "op", "evacuate/z2")
        await asyncio.sleep(2.0)
        await self.check_guarantees(await self.start_jobs(40, pause=0.0))
        self.assertGreater(len(self.list_starts(agents)), len(starts))

    def list_starts(self, agents):
        return [at for name in agents for at in read_starts(self.deployment.folder, name)]

    async def test_malformed_input_ends_no_process(self):
        """Each way in: callers' bodies, rows of the store, the configuration, frames, reports."""
        await put_row(self.deployment, "op", "config", b'{"version": 9}')
        for number, value in enumerate(MALFORMED_MEMBERS):
            await put_row(self.deployment, "members", f"bad-{number}", value)
        for number, value in enumerate(MALFORMED_CRASHES):
            await put_row(self.deployment, "crashes", f"bad-{number}", value)
        for entry in self.deployment.entries:
            for steps in MALFORMED_STEPS:
                url = f"http://{self.deployment.find_ip(entry)}:{CALLERS_PORT}{ROUTE_PREFIX}bad"
                body = {"best-effort": True, "steps": steps}
                started_at = time.monotonic()
                async with self.session.post(
                    url, json=body, headers={"Host": ROUTE_HOST}
                ) as answer:
                    self.assertEqual(answer.status, 400, await answer.text())
                self.assertLess(time.monotonic() - started_at, 1.0)
        for agent in self.deployment.agents:
            await self.send_malformed_to_agent(self.deployment.find_ip(agent))
        await self.check_guarantees(await self.start_jobs(20))
        running = [process.returncode for process in self.deployment.processes.values()]
        self.assertEqual(set(running), {None}, "a process has ended")

    async def send_malformed_to_agent(self, ip):
        for body in (b"", b"[]", b'{"seq": "x"}', b"\xff" * 100):
            url = f"http://{ip}:{CONTROL_PORT}/api/instances/i/heartbeat"
            async with self.session.post(url, data=body) as answer:
                self.assertEqual(answer.status, 400)
        channel = Channel(ip, LINK_PORT)
        self.addCleanup(channel.close)
        for frame in (ToAgent(), ToAgent(entry="x@1", session=1, echo=float("nan"))):
            with self.assertRaises((GRPCError, StreamTerminatedError)):
                async with TargetStub(channel).Serve.open() as stream:
                    await stream.send_message(frame)
                    while await stream.recv_message() is not None:
                        pass

    async def test_killed_members(self):
        calls = await self.start_jobs(20)
        for name in ("entry-0", "agent-1"):
            self.deployment.processes[name].kill()
        calls += await self.start_jobs(10)
        for name in ("entry-0", "agent-1"):
            await start_instance(self.deployment, name)
        await self.check_guarantees(calls + await self.start_jobs(10))

    async def test_frozen_agent(self):
        calls = await self.start_jobs(10)
        self.deployment.processes["agent-0"].send_signal(signal.SIGSTOP)
        calls += await self.start_jobs(30)
        self.deployment.processes["agent-0"].send_signal(signal.SIGCONT)
        await self.check_guarantees(calls + await self.start_jobs(10))

    async def test_graceful_shutdown_completes_open_requests(self):
        calls = []
        for number in range(30):
            call = submit_job(self.session, self.deployment, "entry-0", f"{number:016x}")
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.02)
        self.deployment.processes["entry-0"].send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        self.assertEqual(set(answers), {(200, "completed")})
        self.assertEqual(await self.deployment.processes["entry-0"].wait(), 0)

    async def test_restart_while_the_store_refuses_one_entry(self):
        ip = self.deployment.find_ip("entry-0")
        await set_faults(self.deployment.store_address, refused=[ip])
        self.deployment.processes["entry-0"].kill()
        await self.deployment.processes["entry-0"].wait()
        await start_instance(self.deployment, "entry-0")
        for _ in range(100):
            status, _ = await submit_job(self.session, self.deployment, "entry-0", "a" * 16)
            if status == 200:
                break
            await asyncio.sleep(0.1)
        self.assertEqual(status, 200, "the entry gets its routes from the other entry")

    async def test_processes_find_each_other_while_the_store_is_away(self):
        """All power is lost; the links are open again before the store answers."""
        members = self.deployment.entries + self.deployment.agents
        for name in members:
            self.deployment.processes[name].kill()
            await self.deployment.processes[name].wait()
        await set_faults(self.deployment.store_address, outage=True)
        for name in members:
            await start_instance(self.deployment, name)
        for entry in self.deployment.entries:
            await self.await_links(entry, len(self.deployment.agents))
        await set_faults(self.deployment.store_address, outage=False)
        await self.check_guarantees(await self.start_jobs(10))

    async def await_links(self, entry, expected):
        url = f"http://{self.deployment.find_ip(entry)}:{METRICS_PORT}/metrics"
        line = f'comfreysill_state{{name="agents",role="entry"}} {expected}'
        deadline = time.monotonic() + 10
        text = ""
        while line not in text and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            with contextlib.suppress(aiohttp.ClientError):
                async with self.session.get(url) as answer:
                    text = await answer.text()
        self.assertIn(line, text)

    async def test_a_job_that_crashes_its_runners_fails_and_others_complete(self):
        """Guards against one task that takes down runner after runner, also after a restart."""
        restarter = asyncio.create_task(self.restart_crashed_runners())
        self.addCleanup(restarter.cancel)
        calls = await self.start_jobs(10)
        deadly = "d" * 16
        for entry in self.deployment.entries:
            answer = await submit_job(
                self.session, self.deployment, entry, deadly, payload=f"{CRASH_PREFIX}0.15"
            )
            self.assertEqual(answer, (200, "failed"))
            # The next entry is started anew, and learns of the crashes from the store.
            self.deployment.processes["entry-1"].kill()
            await self.deployment.processes["entry-1"].wait()
            await start_instance(self.deployment, "entry-1")
            await self.await_links("entry-1", len(self.deployment.agents))
        starts = count_starts(self.deployment.folder, deadly)
        self.assertLessEqual(max(starts.values()), MIN_CRASHES, starts)
        await self.check_guarantees(calls + await self.start_jobs(10))

    async def restart_crashed_runners(self):
        while True:
            await asyncio.sleep(0.1)
            for agent in self.deployment.agents:
                if self.deployment.processes[f"runner-{agent}"].returncode is not None:
                    await start_runner(self.deployment, agent)

    async def test_jobs_complete_after_configuration_change_and_during_store_outage(self):
        await set_faults(self.deployment.store_address, forget=True)
        await put_configuration(self.deployment, version=9)
        calls = await self.start_jobs(20)
        await set_faults(self.deployment.store_address, outage=True)
        await self.check_guarantees(calls + await self.start_jobs(20))
