"""Clients whose messages are inside the limits of one message, but not all of them together."""

import asyncio
import signal
import sys
import unittest

from standins.hostile_crowd import send_all
from standins.platform_deployment import CALLERS_PORT, LINK_PORT, METRICS_PORT, READY_PORT
from tests.hostile import (
    CROWD_LEAD_SECONDS,
    CROWD_SECONDS,
    FEW_DESCRIPTORS,
    KERNEL_DESCRIPTORS,
    LONG_CROWD_SECONDS,
    MB,
    SMALL_MEMORY_MB,
    WATCH_INTERVAL_SECONDS,
    HostileClientsTest,
    count_descriptors,
    limit_descriptors,
    read_kernel_bytes,
    read_peak_memory,
)


class TestMessages(HostileClientsTest):
    """Whole messages, and bodies that nobody reads."""

    # Each of these guards against what an entry keeps of a message beside the bytes that arrive.
    async def test_deletes_with_an_endless_body(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play(
            "DELETE with an endless body", connections=400, megabytes=200, attempts=1_000
        )

    async def test_gets_with_an_endless_body(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play("GET with an endless body", connections=400, megabytes=200, attempts=1_000)

    async def test_large_submissions(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play("large submissions", connections=400, megabytes=20)

    async def test_submissions_of_too_many_steps(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play("submissions of too many steps", connections=400, megabytes=5)

    async def test_submissions_of_many_tasks(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play("submissions of many tasks", connections=200, megabytes=1)

    async def test_submissions_of_long_specs(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play("submissions of long specs", connections=400, megabytes=3)

    # Guards against bytes that the kernel has received and the entry hasn't read.
    async def test_submissions_sent_ahead_of_unread_answers_with_what_the_kernel_holds(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        crowd = self.gather("medium submissions", 400, 20, "entry-0", CALLERS_PORT)
        watch = asyncio.create_task(self.watch_kernel(crowd))
        await send_all(crowd)
        kernel_mb = await watch
        statuses = await self.call_as_ordinary_caller()
        memory_mb = read_peak_memory(self.deployment.processes["entry-0"].pid)
        print(f"received and unread {kernel_mb:.0f} MB")
        self.check_bounds("medium submissions", "entry-0", crowd, statuses)
        self.assertLess(memory_mb + kernel_mb, SMALL_MEMORY_MB)

    async def watch_kernel(self, crowd):
        """Returns the peak of what the kernel holds for the entry, in MB, while a crowd sends."""
        ip, peak = self.deployment.find_ip("entry-0"), 0
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + CROWD_SECONDS
        while loop.time() < ends_at:
            peak = max(peak, read_kernel_bytes(ip, CALLERS_PORT))
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
        return peak / MB


class TestTurns(HostileClientsTest):
    """Crowds that go on until an ordinary request is answered."""

    # Each of these guards against an entry that does nothing else beside such clients.
    async def test_chunks_of_one_byte(self):
        await self.start()
        await self.play_beside("chunks of one byte", connections=128)

    async def test_submissions_of_many_tasks(self):
        await self.start()
        await self.play_beside("submissions of many tasks", connections=128)

    # Guards against targets that seem slow, so that jobs that declare their run times are refused.
    async def test_submissions_without_estimates(self):
        await self.start()
        await self.play_beside("submissions without estimates", connections=64)

    async def test_metrics(self):
        await self.start()
        await self.play_beside("requests ahead without Host", connections=400, port=METRICS_PORT)


class TestLinks(HostileClientsTest):
    """Crowds in front of the address for links, which speaks HTTP/2."""

    async def test_pings_to_an_entry(self):
        await self.check_frames("link: pings")

    async def test_settings_to_an_entry(self):
        await self.check_frames("link: settings")

    async def test_heads_without_end_to_an_entry(self):
        await self.check_frames("link: head without end")

    async def test_calls_without_end_to_an_entry(self):
        await self.check_frames("link: calls without end")

    async def test_settings_to_an_agent(self):
        await self.check_frames("link: settings", instance="agent-0")

    async def check_frames(self, form, instance="entry-0"):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play_beside(form, connections=128, instance=instance, port=LINK_PORT)

    # Guards against a message of a link that has no bound; each member stays inside its window.
    async def test_messages_without_end(self):
        await self.start(memory_mb=SMALL_MEMORY_MB)
        await self.play(
            "link: message without end", connections=64, megabytes=3.5, port=LINK_PORT, attempts=1
        )

    # Guards against links that take all descriptors, so that no caller is accepted.
    async def test_idle_links_that_hold_descriptors(self):
        await self.start(descriptors=FEW_DESCRIPTORS)
        limit_descriptors(self.deployment, "entry-0")
        await self.play(
            "link: nothing", connections=KERNEL_DESCRIPTORS + 60, megabytes=1, port=LINK_PORT
        )


class TestChanges(HostileClientsTest):
    """Several forms at once, to several addresses, while something else happens to the process."""

    CROWDS = (
        ("chunks of one byte", CALLERS_PORT),
        ("large submissions", CALLERS_PORT),
        ("DELETE with an endless body", CALLERS_PORT),
        ("requests ahead with Host", CALLERS_PORT),
        ("half a head", CALLERS_PORT),
        ("head of short lines", READY_PORT),
        ("requests ahead without Host", METRICS_PORT),
        ("link: settings", LINK_PORT),
        ("link: calls without end", LINK_PORT),
    )

    async def asyncSetUp(self):
        await self.start()
        self.sending = []
        for form, port in self.CROWDS:
            crowd = self.gather(
                form,
                40,
                sys.maxsize / MB,
                "entry-0",
                port,
                attempts=sys.maxsize,
                seconds=LONG_CROWD_SECONDS,
            )
            self.sending.append(asyncio.create_task(send_all(crowd)))
        await asyncio.sleep(CROWD_LEAD_SECONDS)
        self.process = self.deployment.processes["entry-0"]

    async def check_ordinary_caller(self):
        statuses = await self.call_as_ordinary_caller()
        await self.stop_sending()
        memory_mb, descriptors = (
            read_peak_memory(self.process.pid),
            count_descriptors(self.process.pid),
        )
        print(f"peak {memory_mb:.0f} MB, {descriptors} descriptors, ordinary request {statuses}")
        self.assertIsNone(self.process.returncode)
        self.assertLess(memory_mb, self.memory_mb)
        self.assertLess(descriptors, self.descriptors)
        self.assertEqual(statuses[-1], 200)

    async def stop_sending(self):
        for sending in self.sending:
            sending.cancel()
        await asyncio.gather(*self.sending, return_exceptions=True)

    async def test_nothing_else(self):
        await self.check_ordinary_caller()

    async def test_a_reload_of_the_settings(self):
        self.process.send_signal(signal.SIGHUP)
        await self.check_ordinary_caller()

    async def test_the_loss_of_the_store(self):
        self.deployment.processes["store"].kill()
        await self.check_ordinary_caller()

    # Guards against a process that never ends by itself, as clients keep their connections busy.
    async def test_a_graceful_stop(self):
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(LONG_CROWD_SECONDS / 2):
            status = await self.process.wait()
        await self.stop_sending()
        self.assertEqual(status, 0)


if __name__ == "__main__":
    unittest.main()
