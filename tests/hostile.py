"""Base of the tests with clients that keep no limits, in front of real processes.

The bounds are those of the smallest machine that the system runs on. Nothing here depends on the
machine's speed: a process has to live, its memory and its descriptors have to stay under their
bounds, and an ordinary request has to be answered while the crowd's connections are still open.
"""

import asyncio
import itertools
import pathlib
import resource
import sys
import tempfile
import unittest

import aiohttp

from standins.hostile_crowd import Crowd, close_crowd, send_all
from standins.hostile_forms import FORMS, LINK_FORMS
from standins.platform_deployment import (
    CALLERS_PORT,
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
# The same for tests whose crowds fill the memory by what is inside the limits of one message.
SMALL_MEMORY_MB = 100
CROWD_SECONDS = 10.0
# Longer than all attempts of the ordinary caller together.
LONG_CROWD_SECONDS = 90.0
CROWD_LEAD_SECONDS = 2.0
# Connections that a member opens one after another, if they are closed.
ATTEMPTS = 20
ORDINARY_ATTEMPTS, ORDINARY_WAIT_SECONDS, RESEND_DELAY_SECONDS = 12, 5.0, 1.3
MB = 1 << 20
ALL_FORMS = FORMS | LINK_FORMS
WATCH_INTERVAL_SECONDS = 0.02
ESTABLISHED = "01"
# Second octets: each test has a loopback network 127.N of its own.
LOOPBACK_NETWORKS = itertools.count(170)


class HostileClientsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, descriptors=MAX_DESCRIPTORS, memory_mb=MAX_MEMORY_MB):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.descriptors = descriptors
        self.memory_mb = memory_mb
        self.deployment = PlatformDeployment(
            network=f"127.{next(LOOPBACK_NETWORKS)}",
            folder=pathlib.Path(folder.name),
            entries=1,
            agents=2,
        )
        self.deployment.limits = {"memory-mb": memory_mb, "max-fds": descriptors}
        self.addAsyncCleanup(stop_platform_deployment, self.deployment)
        await start_platform_deployment(self.deployment)

    def gather(self, form, connections, megabytes, instance, port, **arguments):
        """Returns a crowd whose members send up to `megabytes` each; it is closed at the end."""
        crowd = Crowd(
            address=f"{self.deployment.find_ip(instance)}:{port}",
            form=ALL_FORMS[form],
            connections=connections,
            max_bytes=int(megabytes * MB),
            **{"attempts": ATTEMPTS, "seconds": CROWD_SECONDS, **arguments},
        )
        self.addCleanup(close_crowd, crowd)
        return crowd

    async def play(
        self, form, connections, megabytes, instance="entry-0", port=CALLERS_PORT, **arguments
    ):
        """Lets a crowd of `form` send up to `megabytes` per member, and checks all bounds."""
        crowd = self.gather(form, connections, megabytes, instance, port, **arguments)
        await send_all(crowd)
        statuses = await self.call_as_ordinary_caller()
        self.check_bounds(f"{form} to {instance}:{port}", instance, crowd, statuses)

    async def play_beside(
        self, form, connections, instance="entry-0", port=CALLERS_PORT, **arguments
    ):
        """Lets a crowd send until an ordinary request is answered, and checks all bounds."""
        arguments = {"attempts": sys.maxsize, "seconds": LONG_CROWD_SECONDS, **arguments}
        crowd = self.gather(form, connections, sys.maxsize / MB, instance, port, **arguments)
        sending = asyncio.create_task(send_all(crowd))
        await asyncio.sleep(CROWD_LEAD_SECONDS)
        statuses = await self.call_as_ordinary_caller()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.check_bounds(f"beside {form} to {instance}:{port}", instance, crowd, statuses)

    def check_bounds(self, title, instance, crowd, statuses):
        process = self.deployment.processes[instance]
        self.assertIsNone(process.returncode, "the process has ended")
        memory_mb, descriptors = read_peak_memory(process.pid), count_descriptors(process.pid)
        print(
            f"{title}: sent {crowd.sent / MB:.1f} MB, {crowd.closed} closed; "
            f"peak {memory_mb:.0f} MB, {descriptors} descriptors, ordinary request {statuses}"
        )
        self.assertLess(memory_mb, self.memory_mb)
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


def read_peak_memory(pid):
    """Returns the largest resident memory that a process has had, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError("no VmHWM")


def count_descriptors(pid):
    """Returns the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def read_kernel_bytes(ip, port):
    """Returns how many bytes the kernel has received for an address and the process not read."""
    address = bytes(reversed(bytes(int(part) for part in ip.split(".")))).hex().upper()
    local = f"{address}:{port:04X}"
    rows = (line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:])
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if row[1] == local and row[3] == ESTABLISHED
    )


def limit_descriptors(deployment, instance):
    """Sets the kernel's bound of the descriptors of a running process."""
    bound = (KERNEL_DESCRIPTORS, KERNEL_DESCRIPTORS)
    resource.prlimit(deployment.processes[instance].pid, resource.RLIMIT_NOFILE, bound)
