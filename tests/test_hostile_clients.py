"""Clients that keep no limits in what they send of one message, or in how many they hold open."""

import unittest

from standins.platform_deployment import CONTROL_PORT, METRICS_PORT, READY_PORT
from tests.hostile import (
    FEW_DESCRIPTORS,
    KERNEL_DESCRIPTORS,
    HostileClientsTest,
    limit_descriptors,
)


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
        limit_descriptors(self.deployment, "entry-0")
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


if __name__ == "__main__":
    unittest.main()
