"""Starts in doubt that the first design doesn't hold back; each test is listed in KNOWN-RED.txt."""

import unittest

from comfreysill.dispatch import links
from tests.test_takeover import advance_world, count_starts, find_key, finish_all, make_job, submit
from tests.world import World


class RefusingCutTest(unittest.TestCase):
    """A cut that refuses connections, between an entry and an agent that is up."""

    # A refused connection counts as the end of the process, and its ledger as lost at that time.
    def test_agent_behind_a_refusing_cut_starts_nothing_unknown_to_the_next_owner(self):
        world = World(entries=2, agents=3)
        advance_world(world)
        world.block("e2", "a0")
        world.block("e2", "e1")
        world.delayed = {("a1", "e1"), ("a2", "e1")}
        advance_world(world, 2.25)
        state = world.entries["e2"].state
        links.handle_refused_connection(state, "a0", world.now, world.now)
        advance_world(world, 1.25)
        jobs = [make_job(world, find_key(world, "e1", first), 3) for first in (100, 200, 300)]
        for job in jobs:
            submit(world, "e1", job)
            world.deliver_all()
        started = {record.batch.key for record in world.agents["a0"].running}
        self.assertTrue(started)
        for job in jobs:
            submit(world, "e2", job)
        for _ in range(8):
            advance_world(world, 0.5)
            finish_all(world)


class SeparatedTableTest(unittest.TestCase):
    """Two entries that can't see each other, one of which can't read the table."""

    # An entry removes from the table a majority that the other still counts on.
    def test_unreachable_majority_is_not_replaced_by_the_rest(self):
        world = World(entries=2, agents=3)
        advance_world(world)
        key = find_key(world, "e1")
        world.block("e2", "e1")
        for name in ("a0", "a1"):
            world.block("e2", name)
        world.block("e1", "a2")
        world.cut_off_table("e1")
        advance_world(world, 45.0)
        job = make_job(world, key, seconds_to_deadline=60.0)
        submit(world, "e1", job)
        advance_world(world, 1.0)
        self.assertEqual(count_starts(world, job.key), 1)
        submit(world, "e2", job)
        advance_world(world, 4.0)
        self.assertEqual(count_starts(world, job.key), 1)
