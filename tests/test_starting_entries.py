"""An entry that starts beside entries that aren't up: refused connections and its first claims."""

import asyncio
import socket
import unittest
from unittest import mock

from comfreysill.gateway.links import build_peer_link, run_link
from comfreysill.gateway.messages import PeerRefused
from comfreysill.mailbox import Mailbox
from comfreysill.placement import claim_leases, claims
from comfreysill.placement.peer_links import LINKING_SECONDS
from tests.platform_world import RESEND_DELAY_SECONDS, World
from tests.test_claim_interleavings import find_registrars, find_request

TASK_SECONDS = 4.0


def build_world(entries):
    world = World(0, entries=entries, agents=4)
    world.run(2.0)
    return world


def refuse_unseen(world, entry):
    """Ends an entry: connections to it are refused, but the others don't hear of its end."""
    world.kill_entry(entry, down_seconds=30.0, silent=True)
    world.entries[entry].vanished = False


class TestStartingEntries(unittest.TestCase):
    def measure_first_start(self, world, entry):
        """Returns the seconds from the start of an entry to that of a task of its first request."""
        # It is no registrar of the request: it has forgotten what it knew.
        request_id = find_request(world, entry, lambda ranked: entry not in ranked[:2])
        world.kill_entry(entry, down_seconds=0.1)
        world.run(0.11)
        began_at, starts = world.now, world.starts
        world.submit(request_id, entry, tasks=1, seconds=0.1, cpu=200)
        while world.starts == starts and world.now < began_at + 5.0:
            world.run(0.01)
        self.assertEqual(world.violations, [])
        return world.now - began_at

    def test_a_refused_connection_ends_the_wait_for_one_entry(self):
        world = build_world(4)
        world.kill_entry("e3", down_seconds=30.0)
        self.assertLess(self.measure_first_start(world, "e0"), 0.15)

    def test_an_entry_that_vanished_is_waited_for(self):
        world = build_world(4)
        world.kill_entry("e3", down_seconds=30.0, silent=True)
        seconds = self.measure_first_start(world, "e0")
        self.assertGreater(seconds, LINKING_SECONDS - 0.1)
        self.assertLess(seconds, LINKING_SECONDS + 0.2)

    def test_two_refusals_dont_make_the_first_start_later(self):
        world = build_world(5)
        for entry in ("e3", "e4"):
            world.kill_entry(entry, down_seconds=30.0)
        self.assertLess(self.measure_first_start(world, "e0"), LINKING_SECONDS + 0.2)

    def play_loss_beside_the_entry_itself(self):
        """The registrars were the entry that starts and another; the holder hears of no end."""
        world = build_world(6)

        def is_wanted(ranked):
            return "e1" in ranked[:2] and "e0" not in ranked[:4]

        request_id = find_request(world, "e0", is_wanted)
        other = next(name for name in find_registrars(world, "e0", request_id) if name != "e1")
        world.submit(request_id, "e0", tasks=1, seconds=TASK_SECONDS, cpu=200)
        world.run(0.3)
        world.kill_entry("e1", down_seconds=0.05, silent=True)
        refuse_unseen(world, other)
        world.schedule(0.06, world.send_request, request_id, "e1")
        world.run(TASK_SECONDS + RESEND_DELAY_SECONDS + 3.0)
        return world

    def test_a_claim_at_the_entry_itself_and_one_that_isn_t_up_is_not_missed(self):
        self.assertEqual(self.play_loss_beside_the_entry_itself().violations, [])

    def play_loss_of_registrars(self):
        """Both registrars of a request end unseen by its holder, while another entry starts.

        Its caller has left unseen, and asks the entry that starts.
        """
        world = build_world(6)
        request_id = find_request(world, "e0", lambda ranked: not {"e0", "e1"} & set(ranked[:4]))
        registrars = find_registrars(world, "e0", request_id)[:2]
        world.submit(request_id, "e0", tasks=1, seconds=TASK_SECONDS, cpu=200)
        world.run(0.3)
        world.kill_entry("e1", down_seconds=0.05)
        for registrar in registrars:
            refuse_unseen(world, registrar)
        world.schedule(0.06, world.send_request, request_id, "e1")
        world.run(TASK_SECONDS + RESEND_DELAY_SECONDS + 3.0)
        return world

    def test_a_claim_at_two_entries_that_aren_t_up_is_not_missed(self):
        self.assertEqual(self.play_loss_of_registrars().violations, [])

    def test_without_asking_everyone_it_would_be(self):
        with (
            mock.patch.object(claim_leases, "count_unknown", lambda state, now: 0),
            mock.patch.object(claims, "is_everyone_asked", lambda state, now: False),
        ):
            self.assertNotEqual(self.play_loss_of_registrars().violations, [])

    def play_loss_of_holder_and_registrars(self):
        """A request's holder and registrars end at once; one of them starts while its tasks run.

        They run for 0.5 s more. Its caller has left unseen, and asks the entry that starts.
        """
        world = build_world(6)
        request_id = find_request(world, "e0", lambda ranked: ranked[0] == "e1")
        other = find_registrars(world, "e0", request_id)[1]
        world.submit(request_id, "e0", tasks=1, seconds=TASK_SECONDS, cpu=200)
        world.run(0.3)
        for entry in {"e0", "e1", other}:
            world.kill_entry(entry, down_seconds=0.2 if entry == "e1" else 30.0)
        world.callers.clear()
        world.schedule(0.21, world.send_request, request_id, "e1")
        world.run(TASK_SECONDS + 3.0)
        return world

    def test_entries_that_aren_t_up_count_as_registrars_for_the_time_of_the_wait(self):
        self.assertEqual(self.play_loss_of_holder_and_registrars().violations, [])
        with mock.patch.object(claim_leases, "count_unknown", lambda state, now: 0):
            self.assertNotEqual(self.play_loss_of_holder_and_registrars().violations, [])

    def test_a_registrar_that_becomes_complete_settles_claims_at_once(self):
        world = build_world(4)
        for number, entry in enumerate(sorted(world.entries)):
            world.kill_entry(entry, down_seconds=0.2 + 0.1 * number)
        world.run(0.35)
        starts = world.starts
        world.submit("q", "e0", tasks=1, seconds=0.1, cpu=200)
        # The last entry is up after 0.5 s; the heartbeat after it would come up to 0.4 s later.
        world.run(0.3)
        self.assertEqual(world.starts, starts + 1)


class TestRefusedLinks(unittest.IsolatedAsyncioTestCase):
    async def test_the_state_task_is_told_of_a_refused_connection(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            inbox = Mailbox()
            task = asyncio.create_task(run_link(build_peer_link(address, inbox)))
            messages = await asyncio.wait_for(inbox.get_batch(), 2.0)
            task.cancel()
        self.assertEqual([type(message) for message in messages], [PeerRefused])
        self.assertEqual(messages[0].address, address)
