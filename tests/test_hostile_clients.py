"""Clients that keep no limits, in front of real processes.

The bounds are those of the smallest machine that the system runs on. Nothing here depends on the
machine's speed: a process has to live, its memory and its descriptors have to stay under their
bounds, and an ordinary request has to be answered while the crowd's connections are still open.
"""

import asyncio
import itertools
import pathlib
import resource
import tempfile
import unittest

import aiohttp

from standins.hostile_crowd import FORMS, Crowd, close_crowd, send_all
from standins.platform_deployment import (
    CALLERS_PORT,
    CONTROL_PORT,
    METRICS_PORT,
    READY_PORT,
    PlatformDeployment,
    start_platform_deployment,
    stop_platform_deployment,
    submit_job,
)

# Limits of the smallest machine.
MAX_MEMORY_MB = 160
MAX_DESCRIPTORS = 1_638
# A smaller machine, for a small crowd, and the bound of the kernel above it, in descriptors.
FEW_DESCRIPTORS, KERNEL_DESCRIPTORS = 400, 500
CROWD_SECONDS = 10.0
# Connections that a member opens one after another, if they are closed.
ATTEMPTS = 20
ORDINARY_ATTEMPTS, ORDINARY_WAIT_SECONDS, RESEND_DELAY_SECONDS = 12, 5.0, 1.3
MB = 1 << 20
# Second octets: each test has a loopback network 127.N of its own.
LOOPBACK_NETWORKS = itertools.count(170)


class HostileClientsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, descriptors=MAX_DESCRIPTORS):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.descriptors = descriptors
        self.deployment = PlatformDeployment(
            network=f"127.{next(LOOPBACK_NETWORKS)}",
            folder=pathlib.Path(folder.name),
            entries=1,
            agents=2,
        )
        self.deployment.limits = {"memory-mb": MAX_MEMORY_MB, "max-fds": descriptors}
        self.addAsyncCleanup(stop_platform_deployment, self.deployment)
        await start_platform_deployment(self.deployment)

    async def play(self, form, connections, megabytes, instance="entry-0", port=CALLERS_PORT):
        """Lets a crowd of `form` send up to `megabytes` per member, and checks all bounds."""
        crowd = Crowd(
            address=f"{self.deployment.find_ip(instance)}:{port}",
            form=FORMS[form],
            connections=connections,
            attempts=ATTEMPTS,
            max_bytes=int(megabytes * MB),
            seconds=CROWD_SECONDS,
        )
        self.addCleanup(close_crowd, crowd)
        await send_all(crowd)
        statuses = await self.call_as_ordinary_caller()
        process = self.deployment.processes[instance]
        self.assertIsNone(process.returncode, "the process has ended")
        memory_mb, descriptors = read_peak_memory(process.pid), count_descriptors(process.pid)
        print(
            f"{form} to {instance}:{port}: sent {crowd.sent / MB:.1f} MB, {crowd.closed} closed; "
            f"peak {memory_mb:.0f} MB, {descriptors} descriptors, ordinary request {statuses}"
        )
        self.assertLess(memory_mb, MAX_MEMORY_MB)
        self.assertLess(descriptors, self.descriptors)
        self.assertEqual(statuses[-1], 200)

    async def call_as_ordinary_caller(self):
        """Submits a job until it is answered with status 200; returns all statuses."""
        statuses = []
        for _ in range(ORDINARY_ATTEMPTS):
            # Each attempt on a connection of its own, as a balancer makes them.
            async with aiohttp.ClientSession() as session:
                status, _ = await submit_job(
                    session,
                    self.deployment,
                    "entry-0",
                    "0" * 16,
                    wait_seconds=ORDINARY_WAIT_SECONDS,
                )
            statuses.append(status)
            if status == 200:
                break
            await asyncio.sleep(RESEND_DELAY_SECONDS)
        return statuses


class TestCallersAddress(HostileClientsTest):
    """Crowds in front of the address for callers."""

    # Each of these guards against an entry whose memory a client fills with one message, or that
    # answers nobody else meanwhile.
    async def test_a_header_without_end(self):
        await self.start()
        await self.play("header without end", connections=8, megabytes=20)

    async def test_a_url_without_end(self):
        await self.start()
        await self.play("URL without end", connections=8, megabytes=20)

    async def test_a_head_of_long_lines_without_end(self):
        await self.start()
        await self.play("head of long lines", connections=8, megabytes=20)

    async def test_a_head_of_short_lines_without_end(self):
        await self.start()
        await self.play("head of short lines", connections=4, megabytes=3)

    async def test_empty_lines_without_end(self):
        await self.start()
        await self.play("empty lines", connections=8, megabytes=20)

    async def test_trailers_of_long_lines_without_end(self):
        await self.start()
        await self.play("trailers of long lines", connections=8, megabytes=20)

    async def test_trailers_of_short_lines_without_end(self):
        await self.start()
        await self.play("trailers of short lines", connections=4, megabytes=3)

    async def test_a_chunk_extension_without_end(self):
        await self.start()
        await self.play("chunk extension without end", connections=8, megabytes=20)

    async def test_an_endless_body(self):
        await self.start()
        await self.play("endless body", connections=8, megabytes=20)

    # Guards against requests that are kept in memory until those before them are answered.
    async def test_requests_sent_ahead_with_their_answers_unread(self):
        await self.start()
        await self.play("requests ahead with Host", connections=4, megabytes=4)

    async def test_requests_without_host_sent_ahead_with_their_answers_unread(self):
        await self.start()
        await self.play("requests ahead without Host", connections=4, megabytes=4)

    # Guards against a sum over connections each of which is inside its limits.
    async def test_bodies_without_their_ends_on_many_connections(self):
        await self.start()
        # Four chunks each, just under the maximum size of a body.
        await self.play("endless body", connections=600, megabytes=0.22)

    # Guards against connections that take all descriptors, so that nobody else is accepted.
    async def test_idle_connections_that_hold_descriptors(self):
        await self.check_held_descriptors("nothing")

    async def test_unfinished_heads_that_hold_descriptors(self):
        await self.check_held_descriptors("half a head")

    async def check_held_descriptors(self, form):
        await self.start(descriptors=FEW_DESCRIPTORS)
        pid = self.deployment.processes["entry-0"].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (KERNEL_DESCRIPTORS, KERNEL_DESCRIPTORS))
        await self.play(form, connections=KERNEL_DESCRIPTORS + 60, megabytes=1)


class TestOtherAddresses(HostileClientsTest):
    """The same in front of the other addresses that serve HTTP."""

    async def test_the_address_for_readiness(self):
        await self.start()
        await self.play("head of short lines", connections=4, megabytes=3, port=READY_PORT)

    async def test_the_address_for_metrics(self):
        await self.start()
        await self.play(
            "requests ahead without Host", connections=4, megabytes=4, port=METRICS_PORT
        )

    async def test_the_address_for_runners(self):
        await self.start()
        await self.play(
            "trailers of short lines",
            connections=4,
            megabytes=3,
            instance="agent-0",
            port=CONTROL_PORT,
        )


def read_peak_memory(pid):
    """Returns the largest resident memory that a process has had, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError("no VmHWM")


def count_descriptors(pid):
    """Returns the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


if __name__ == "__main__":
    unittest.main()
