"""A task that may have started isn't started again, whichever processes can't see one another."""

import unittest

from comfreysill.dispatch import links
from comfreysill.job.types import Verdict
from tests.test_takeover import advance_world, count_starts, find_key, finish_all, make_job, submit
from tests.world import World


def find_agent_of(world, key):
    for name, agent in world.agents.items():
        if any(record.batch.key == key for record in agent.running):
            return name
    raise AssertionError("the job runs nowhere")


class UnknownLedgerTest(unittest.TestCase):
    """An entry takes over from one it can't see, whose last starts are at an agent new to both."""

    def setUp(self):
        self.world = World(entries=2, agents=3)
        advance_world(self.world)
        self.key = find_key(self.world, "e1")

    def separate_entries(self, *agents):
        """Cuts e2 off from e1 and some agents; e2 then takes over, but can't finish."""
        self.world.block("e2", "e1")
        for name in agents:
            self.world.block("e2", name)

    def join_agents(self, *agents):
        for name in agents:
            self.world.blocked -= {("e2", name), (name, "e2")}

    def start_job_at(self, agent):
        """Starts a job of e1's partitions at an agent that e2 can't reach."""
        world = self.world
        others = [world.agents[name] for name in set(world.agents) - {agent}]
        for other in others:
            world.drain(other.name)
        advance_world(world, 0.5)
        job = make_job(world, self.key, seconds_to_deadline=60.0)
        submit(world, "e1", job)
        world.deliver_all()
        self.assertEqual(find_agent_of(world, job.key), agent)
        for other in others:
            other.ledger.draining = False
        return job

    # The takeover counted just the agents of its first read of the roster.
    def test_ledger_of_an_agent_registered_during_a_takeover_is_read(self):
        world = self.world
        self.separate_entries("a0", "a1", "a2", "a3")
        advance_world(world, 4.0)
        world.start_agent("a3")
        advance_world(world, 2.0)
        job = self.start_job_at("a3")
        self.join_agents("a0", "a1", "a2")
        submit(world, "e2", job)
        advance_world(world, 4.0)
        self.assertEqual(count_starts(world, job.key), 1)

    # A refused connection to the ended process was held for the reading of the next one's ledger.
    def test_ledger_of_an_agent_restarted_during_a_takeover_is_read(self):
        world = self.world
        self.separate_entries("a1", "a2")
        world.kill_agent("a0")
        advance_world(world, 4.0)
        world.block("e2", "a0")
        world.start_agent("a0")
        advance_world(world, 2.0)
        job = self.start_job_at("a0")
        self.join_agents("a1", "a2")
        submit(world, "e2", job)
        advance_world(world, 4.0)
        self.assertEqual(count_starts(world, job.key), 1)

    # A refusal by the address of an ended process counted as one by the process registered since.
    def test_late_refusal_of_an_earlier_address_is_no_proof_of_death(self):
        world = self.world
        self.separate_entries("a0", "a1", "a2")
        advance_world(world, 4.0)
        tried_at = world.now
        world.kill_agent("a0")
        world.start_agent("a0")
        advance_world(world, 2.0)
        job = self.start_job_at("a0")
        self.join_agents("a1", "a2")
        world.block("e1", "a1")
        world.block("e1", "a2")
        submit(world, "e2", job)
        advance_world(world, 2.0)
        state = world.entries["e2"].state
        links.handle_refused_connection(state, "a0", tried_at, world.now)
        advance_world(world, 2.0)
        self.assertEqual(count_starts(world, job.key), 1)

    # A partition opened without any agent was claimed at the first ones as if nothing had started.
    def test_partition_opened_without_agents_is_taken_over_when_they_come(self):
        self.world = world = World(entries=2, agents=0)
        advance_world(world)
        self.key = find_key(world, "e1")
        self.separate_entries("a0", "a1", "a2")
        advance_world(world)
        for name in ("a0", "a1", "a2"):
            world.start_agent(name)
        advance_world(world)
        job = self.start_job_at("a0")
        self.join_agents("a1", "a2")
        submit(world, "e2", job)
        advance_world(world, 4.0)
        self.assertEqual(count_starts(world, job.key), 1)


class NotRunTest(unittest.TestCase):
    """An entry that knows of no agent refuses a job."""

    # After a pause it trusted a roster that had no agents then, which another entry used meanwhile.
    def test_entry_that_knew_no_agents_reads_the_roster_before_it_answers_not_run(self):
        world = World(entries=2, agents=0)
        advance_world(world)
        job = make_job(world, find_key(world, "e1"), idempotent=True)
        world.freeze("e1")
        world.start_agent("a0")
        advance_world(world, 4.0)
        submit(world, "e2", job)
        advance_world(world, 0.5)
        self.assertEqual(count_starts(world, job.key), 1)
        world.cut_off_table("e1")
        caller = submit(world, "e1", job)
        world.thaw("e1")
        advance_world(world, 4.0)
        self.assertNotEqual(world.oracle.answers[caller].verdict, Verdict.NOT_RUN)

    def test_entry_answers_not_run_while_the_roster_shows_no_agents(self):
        world = World(entries=2, agents=0)
        advance_world(world)
        caller = submit(world, "e1", make_job(world, find_key(world, "e1")))
        advance_world(world, 0.5)
        self.assertEqual(world.oracle.answers[caller].verdict, Verdict.NOT_RUN)


class HandoverTest(unittest.TestCase):
    """An entry leaves while its last orders are under way."""

    # The next owner waited for a task whose start the agent refused to the former one.
    def test_start_refused_after_the_handover_is_made_by_the_next_owner(self):
        world = World(entries=2, agents=3)
        advance_world(world)
        job = make_job(world, find_key(world, "e1"))
        world.delayed = {("e1", name) for name in world.agents}
        caller = submit(world, "e2", job)
        world.deliver_all()
        world.leave_entry("e1")
        advance_world(world)
        self.assertEqual(count_starts(world, job.key), 1)
        world.delayed.clear()
        world.deliver_all()
        self.assertEqual(count_starts(world, job.key), 1)
        finish_all(world)
        advance_world(world)
        self.assertTrue(world.oracle.answers[caller].complete)

    # A record of a queued task, read from a ledger, stayed after its agent had refused the task.
    def test_task_refused_before_its_job_is_submitted_again_is_started(self):
        world = World(entries=2, agents=2)
        advance_world(world)
        job = make_job(world, find_key(world, "e1"), size=6, task_class=2)
        submit(world, "e1", job)
        world.deliver_all()
        self.assertTrue(all(agent.ledger.queued for agent in world.agents.values()))
        world.kill_entry("e1")
        advance_world(world)
        world.drain("a0")
        world.deliver_all()
        caller = submit(world, "e2", job)
        for _ in range(8):
            advance_world(world, 0.5)
            finish_all(world)
        self.assertTrue(world.oracle.answers[caller].complete)
