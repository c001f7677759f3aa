"""Cancels jobs at any entry of a deployment of real processes."""

import asyncio
import itertools
import pathlib
import signal
import tempfile
import unittest

import aiohttp

from standins.platform_deployment import (
    CALLERS_PORT,
    ROUTE_HOST,
    ROUTE_PREFIX,
    PlatformDeployment,
    count_starts,
    start_instance,
    start_platform_deployment,
    stop_platform_deployment,
    submit_job,
)

JOB = "a" * 16
# Not all of the tasks have room at the same time, so that some start late.
TASKS, TASK_SECONDS = 60, "1.0"
HEADERS = {"Host": ROUTE_HOST}
LOOPBACK_NETWORKS = itertools.count(100)


class TestCancellingProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.deployment = PlatformDeployment(
            network=f"127.{next(LOOPBACK_NETWORKS)}",
            folder=pathlib.Path(self.folder.name),
            entries=3,
            agents=2,
        )
        self.addCleanup(self.folder.cleanup)
        self.addAsyncCleanup(stop_platform_deployment, self.deployment)
        await start_platform_deployment(self.deployment)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    def find_url(self, entry, job):
        return f"http://{self.deployment.find_ip(entry)}:{CALLERS_PORT}{ROUTE_PREFIX}{job}"

    async def submit(self, entry):
        return await submit_job(self.session, self.deployment, entry, JOB, TASKS, TASK_SECONDS)

    async def cancel(self, entry, job=JOB):
        async with self.session.delete(self.find_url(entry, job), headers=HEADERS) as answer:
            return answer.status

    def count_runs(self):
        return sum(count_starts(self.deployment.folder, JOB).values())

    # Guards against a job that runs on after a DELETE at another entry, or again as its POST was
    # answered 504.
    async def test_a_job_is_cancelled_at_another_entry(self):
        call = asyncio.create_task(self.submit("entry-0"))
        await asyncio.sleep(0.7)
        self.assertEqual(await self.cancel("entry-1"), 200)
        self.assertEqual(await call, (200, "cancelled"))
        async with self.session.get(self.find_url("entry-0", JOB), headers=HEADERS) as answer:
            self.assertEqual((await answer.json())["state"], "cancelled")
        await asyncio.sleep(0.2)
        runs = self.count_runs()
        self.assertGreater(runs, 0)
        for entry in self.deployment.entries:
            self.assertEqual(await self.submit(entry), (200, "cancelled"))
            self.assertEqual(await self.cancel(entry), 200)
        await asyncio.sleep(1.5)
        self.assertEqual(self.count_runs(), runs)

    # Guards against the same at an entry that has restarted since the job was sent.
    async def test_a_job_is_cancelled_at_an_entry_that_has_restarted(self):
        call = asyncio.create_task(self.submit("entry-0"))
        process = self.deployment.processes["entry-1"]
        process.send_signal(signal.SIGKILL)
        await process.wait()
        await start_instance(self.deployment, "entry-1")
        status = 0
        while status != 200:
            try:
                status = await self.cancel("entry-1")
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)
                continue
            self.assertIn(status, (200, 503))
        self.assertEqual(await call, (200, "cancelled"))

    # Guards against an answer that there is no such job while the entry that has it stands still.
    async def test_a_job_of_an_entry_that_stands_still(self):
        call = asyncio.create_task(self.submit("entry-0"))
        await asyncio.sleep(0.3)
        process = self.deployment.processes["entry-0"]
        process.send_signal(signal.SIGSTOP)
        self.addCleanup(process.send_signal, signal.SIGCONT)
        self.assertEqual(await self.cancel("entry-1"), 503)
        process.send_signal(signal.SIGCONT)
        self.assertEqual(await call, (200, "cancelled"))
        self.assertEqual(await self.cancel("entry-1"), 200)

    async def test_jobs_that_do_not_exist(self):
        for entry in self.deployment.entries:
            for job in ("b" * 16, "b" * 10_000, "%00", "b b"):
                self.assertEqual(await self.cancel(entry, job), 410, job[:20])
        self.assertEqual(await self.submit("entry-2"), (200, "completed"))
