import unittest

from comfreysill.dispatch import core
from comfreysill.dispatch.messages import MarkLedgerLost
from comfreysill.dispatch.ownership import find_assigned_entry
from comfreysill.job.types import Verdict
from comfreysill.partition.hashing import find_partition
from comfreysill.target.messages import Outcome
from tests.world import World, build_submission, make_key


def advance_world(world, seconds=3.0):
    for _ in range(int(seconds * 4)):
        world.advance(0.25)
        world.deliver_all()


def find_key(world, entry, first=0):
    """Returns a key whose partition is assigned to the entry."""
    state = world.entries[entry].state
    for number in range(first, first + 1000):
        key = make_key(number)
        if find_assigned_entry(state, find_partition(key), world.now) == entry:
            return key
    raise AssertionError("no key found for the entry")


def make_job(
    world, key, size=1, seconds_to_deadline=20.0, idempotent=False, issued_at=None, task_class=0
):
    return build_submission(
        key,
        size=size,
        task_class=task_class,
        deadline=world.now + seconds_to_deadline,
        idempotent=idempotent,
        issued_at=world.now if issued_at is None else issued_at,
    )


def submit(world, entry, job):
    world.submit(entry, job.key, job)
    return world.next_caller


def leave_agent(world, name):
    """Ends an agent that runs nothing gracefully: it marks its ledger as lost before."""
    incarnation = world.agents[name].ledger.incarnation
    world._mark_lost(MarkLedgerLost(agent=name, incarnation=incarnation, lost_at=world.now))
    world.kill_agent(name)


def finish_all(world, outcome=Outcome.DONE):
    for name, agent in world.agents.items():
        while agent.running:
            world.finish(name, 0, outcome)


def count_starts(world, key):
    return sum(n for (started, _), n in world.oracle.starts.items() if started == key)


class TakeoverTest(unittest.TestCase):
    def setUp(self):
        self.world = World(entries=2, agents=3)
        advance_world(self.world)

    def occupy_all_slots(self, seconds=60.0):
        """Occupies all slots, so that the tasks of further jobs wait at their owner."""
        for number in range(900, 908):
            job = make_job(
                self.world, make_key(number), size=3, seconds_to_deadline=seconds, idempotent=True
            )
            submit(self.world, "e1", job)
        self.world.deliver_all()

    def test_resubmission_after_owner_crash_joins_the_running_task(self):
        world = self.world
        job = make_job(world, find_key(world, "e1"))
        submit(world, "e2", job)
        world.deliver_all()
        self.assertEqual(count_starts(world, job.key), 1)
        world.kill_entry("e1")
        advance_world(world)
        caller = submit(world, "e2", job)
        finish_all(world)
        advance_world(world, 1.0)
        self.assertTrue(world.oracle.answers[caller].complete)
        self.assertEqual(count_starts(world, job.key), 1)

    def test_task_is_not_restarted_after_owner_and_agent_crash_together(self):
        world = self.world
        job = make_job(world, find_key(world, "e1"))
        submit(world, "e2", job)
        world.deliver_all()
        running_agent = next(name for name, agent in world.agents.items() if agent.running)
        world.kill_agent(running_agent)
        world.kill_entry("e1")
        world.start_agent(running_agent)
        advance_world(world)
        caller = submit(world, "e2", job)
        advance_world(world, 25.0)
        answer = world.oracle.answers[caller]
        self.assertEqual(answer.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(count_starts(world, job.key), 1)

    def test_unread_ledger_blocks_only_jobs_it_may_contain(self):
        world = self.world
        job = make_job(world, find_key(world, "e1"))
        submit(world, "e2", job)
        world.deliver_all()
        running_agent = next(name for name, agent in world.agents.items() if agent.running)
        world.block("e2", running_agent)
        world.kill_entry("e1")
        advance_world(world)
        submit(world, "e2", job)
        later_job = make_job(world, make_key(5000), issued_at=world.now + 9)
        world.now += 10
        caller = submit(world, "e2", later_job)
        for _ in range(4):
            advance_world(world, 0.5)
            for name in set(world.agents) - {running_agent}:
                while world.agents[name].running:
                    world.finish(name, 0, Outcome.DONE)
        self.assertEqual(count_starts(world, job.key), 1)
        self.assertTrue(world.oracle.answers[caller].complete)

    def test_paused_owner_does_not_answer_not_run_for_a_job_that_ran_elsewhere(self):
        world = self.world
        self.occupy_all_slots()
        job = make_job(world, find_key(world, "e1", 100), seconds_to_deadline=6.0, task_class=1)
        submit(world, "e1", job)
        world.deliver_all()
        self.assertEqual(count_starts(world, job.key), 0)
        world.freeze("e1")
        for _ in range(12):
            advance_world(world, 0.25)
            finish_all(world)
        submit(world, "e2", job)
        for _ in range(4):
            advance_world(world, 0.25)
            finish_all(world)
        self.assertEqual(count_starts(world, job.key), 1)
        world.advance(4.0)
        world.thaw("e1", tick_first=True)
        advance_world(world, 3.0)

    def test_replaced_owner_does_not_claim_a_restarted_agent(self):
        world = World(entries=2, agents=1)
        advance_world(world)
        for number in range(900, 904):
            other = make_job(
                world, make_key(number), size=1, seconds_to_deadline=60, idempotent=True
            )
            submit(world, "e2", other)
        world.deliver_all()
        job = make_job(world, find_key(world, "e1", 100), seconds_to_deadline=15.0)
        submit(world, "e1", job)
        world.deliver_all()
        self.assertEqual(count_starts(world, job.key), 0)
        world.freeze("e1")
        advance_world(world, 2.25)
        submit(world, "e2", job)
        for _ in range(4):
            finish_all(world)
            world.deliver_all()
        self.assertEqual(count_starts(world, job.key), 1)
        world.kill_agent("a0")
        world.start_agent("a0")
        world.block("e2", "a0")
        world.thaw("e1", tick_first=True)
        advance_world(world, 8.0)
        self.assertEqual(count_starts(world, job.key), 1)

    def test_fenced_owner_notifies_listeners_immediately(self):
        world = self.world
        self.occupy_all_slots()
        job = make_job(world, find_key(world, "e1", 100), seconds_to_deadline=30.0)
        caller = submit(world, "e2", job)
        world.deliver_all()
        world.start_entry(0.0)
        for _ in range(24):
            advance_world(world, 0.25)
            finish_all(world)
        self.assertTrue(world.oracle.answers[caller].complete)

    def test_recovered_jobs_are_removed_after_retention(self):
        world = self.world
        job = make_job(world, find_key(world, "e1"))
        submit(world, "e2", job)
        world.deliver_all()
        world.kill_entry("e1")
        world.entries["e2"].state.pending_submissions.clear()
        advance_world(world)
        owned_partitions = world.entries["e2"].state.owned_partitions.values()
        self.assertEqual(
            sum(len(owned_partition.recovered) for owned_partition in owned_partitions), 1
        )
        advance_world(world, 160.0)
        self.assertEqual(
            sum(len(owned_partition.recovered) for owned_partition in owned_partitions), 0
        )

    def test_submission_to_a_new_entry_is_held_until_an_owner_admits_it(self):
        world = self.world
        world.start_entry(0.0)
        job = make_job(world, find_key(world, "e1"))
        caller = submit(world, "e3", job)
        self.assertNotIn(caller, world.oracle.answers)
        for _ in range(8):
            advance_world(world, 0.25)
            finish_all(world)
        self.assertTrue(world.oracle.answers[caller].complete)

    # A roster read before the registration of an entry that had sent a job removed it as a peer.
    def test_answer_reaches_an_entry_that_the_roster_of_before_does_not_show(self):
        world = self.world
        read_at = world.now
        world.now += 0.1
        world.start_entry(0.0)
        world._tick(world.entries["e3"])
        world.store_up = False
        job = make_job(world, find_key(world, "e1"))
        caller = submit(world, "e3", job)
        world.deliver_all()
        self.assertEqual(count_starts(world, job.key), 1)
        self.assertNotIn("e3", world.entries["e1"].peer_links)
        core.update_peers(world.entries["e1"].state, ["e1", "e2"], read_at, world.now)
        finish_all(world)
        world.deliver_all()
        world.store_up = True
        advance_world(world, 3.0)
        self.assertTrue(world.oracle.answers[caller].complete)

    # Sessions to an entry that was removed and came back began anew: its frames counted as stale.
    def test_entry_that_was_removed_and_came_back_is_heard(self):
        world = self.world
        world.cut_peer_link("e1", "e2")
        advance_world(world)
        world.freeze("e2")
        advance_world(world, 40.0)
        states = [entry.state for entry in world.entries.values()]
        self.assertNotIn("e2", states[0].peers)
        world.thaw("e2")
        advance_world(world)
        self.assertLess(world.now - states[1].peers["e1"].last_received_at, 1.0)
        takeovers = [state.counters["takeovers"] for state in states]
        advance_world(world, 5.0)
        self.assertEqual([state.counters["takeovers"] for state in states], takeovers)

    # One refused connection let two living entries take partitions from each other for ever.
    def test_entry_that_sends_frames_after_a_refused_connection_is_alive(self):
        world = self.world
        states = [world.entries[name].state for name in ("e1", "e2")]
        owned = [set(state.owned_partitions) for state in states]
        core.handle_refused_peer(states[1], "e1", world.now)
        advance_world(world)
        self.assertEqual([set(state.owned_partitions) for state in states], owned)
        takeovers = [state.counters["takeovers"] for state in states]
        advance_world(world, 5.0)
        self.assertEqual([state.counters["takeovers"] for state in states], takeovers)

    def test_graceful_leave_hands_over_jobs_without_restarting_tasks(self):
        world = self.world
        self.occupy_all_slots()
        job = make_job(world, find_key(world, "e1", 100), size=2)
        caller = submit(world, "e2", job)
        world.deliver_all()
        world.leave_entry("e1")
        for _ in range(12):
            advance_world(world, 0.25)
            finish_all(world)
        self.assertTrue(world.oracle.answers[caller].complete)
        self.assertEqual(count_starts(world, job.key), 2)

    # An owner took its partitions over again for a majority of agents that were there before.
    def test_graceful_replacement_of_one_agent_after_another_fails_no_job(self):
        world = World(entries=2, agents=4)
        advance_world(world)
        leave_agent(world, "a0")
        advance_world(world)
        world.start_agent("a0")
        # The other entry reads the roster up to its interval of 1 s later.
        world.entries["e2"].roster_read_at = world.now + 0.9
        state = world.entries["e1"].state
        while "a0" not in state.targets or not state.targets["a0"].handshake_done:
            world.advance(0.05)
            world.deliver_all()
        key = find_key(world, "e1")
        partition = state.owned_partitions[find_partition(key)]
        self.assertNotIn("a0", partition.granted_in_session)
        leave_agent(world, "a2")
        advance_world(world, 0.5)
        caller = submit(world, "e1", make_job(world, key))
        for _ in range(4):
            advance_world(world, 0.5)
            finish_all(world)
        answer = world.oracle.answers[caller]
        self.assertTrue(answer.complete, answer.detail)

    def test_reused_job_id_with_different_content_is_refused(self):
        world = self.world
        key = find_key(world, "e1")
        submit(world, "e1", make_job(world, key))
        world.deliver_all()
        caller = submit(world, "e2", make_job(world, key, size=2, seconds_to_deadline=10.0))
        advance_world(world, 1.0)
        self.assertEqual(world.oracle.answers[caller].reason.name, "CONFLICT")
        self.assertEqual(count_starts(world, key), 1)

    def test_resubmission_after_completion_returns_the_stored_answer(self):
        world = self.world
        job = make_job(world, find_key(world, "e1"))
        submit(world, "e2", job)
        advance_world(world, 0.5)
        finish_all(world)
        advance_world(world, 0.5)
        caller = submit(world, "e1", job)
        advance_world(world, 0.5)
        self.assertTrue(world.oracle.answers[caller].complete)
        self.assertEqual(count_starts(world, job.key), 1)

    def test_full_queue_refuses_immediately_as_not_run(self):
        world = self.world
        self.occupy_all_slots()
        callers = [
            submit(world, "e1", make_job(world, make_key(2000 + n), size=5)) for n in range(8)
        ]
        world.deliver_all()
        answers = [world.oracle.answers[c] for c in callers if c in world.oracle.answers]
        self.assertTrue(answers)
        self.assertEqual({answer.verdict for answer in answers}, {Verdict.NOT_RUN})
        self.assertTrue(all(answer.retry_at > world.now for answer in answers))


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.world = World(entries=1, agents=2)
        advance_world(self.world)

    def run_single_task(self, outcome, idempotent):
        job = make_job(self.world, make_key(1), idempotent=idempotent)
        caller = submit(self.world, "e1", job)
        self.world.deliver_all()
        finish_all(self.world, outcome)
        for _ in range(4):
            advance_world(self.world, 0.25)
            finish_all(self.world)
        advance_world(self.world, 0.5)
        return self.world.oracle.answers[caller], count_starts(self.world, job.key)

    def test_task_without_result_is_not_restarted(self):
        answer, starts = self.run_single_task(Outcome.LOST, idempotent=False)
        self.assertEqual((answer.verdict, starts), (Verdict.MAY_HAVE_RUN, 1))

    def test_idempotent_task_without_result_is_restarted(self):
        answer, starts = self.run_single_task(Outcome.LOST, idempotent=True)
        self.assertEqual((answer.complete, starts), (True, 2))

    def test_failed_task_fails_the_job_as_ran(self):
        answer, starts = self.run_single_task(Outcome.FAILED, idempotent=False)
        self.assertEqual((answer.verdict, starts), (Verdict.RAN, 1))

    def test_task_on_a_crashed_agent_is_not_restarted_elsewhere(self):
        job = make_job(self.world, make_key(1))
        caller = submit(self.world, "e1", job)
        self.world.deliver_all()
        running_agent = next(name for name, agent in self.world.agents.items() if agent.running)
        self.world.kill_agent(running_agent)
        advance_world(self.world, 2.0)
        self.assertEqual(self.world.oracle.answers[caller].verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(count_starts(self.world, job.key), 1)

    def test_refused_task_is_started_elsewhere_immediately(self):
        job = make_job(self.world, make_key(1))
        caller = submit(self.world, "e1", job)
        self.world.deliver_all()
        running_agent = next(name for name, agent in self.world.agents.items() if agent.running)
        self.world.refuse_call(running_agent, 0)
        self.assertEqual(count_starts(self.world, job.key), 0)
        self.world.deliver_all()
        finish_all(self.world)
        advance_world(self.world, 1.0)
        self.assertTrue(self.world.oracle.answers[caller].complete)

    def test_cancelled_job_drops_its_queued_tasks(self):
        job = make_job(self.world, make_key(1), size=10)
        caller = submit(self.world, "e1", job)
        self.world.deliver_all()
        started = count_starts(self.world, job.key)
        self.world.cancel("e1", job.key)
        for _ in range(4):
            advance_world(self.world, 0.25)
            finish_all(self.world)
        self.assertEqual(self.world.oracle.answers[caller].reason.name, "CANCELLED")
        self.assertEqual(count_starts(self.world, job.key), started)

    def test_failed_idempotent_task_is_retried(self):
        answer, starts = self.run_single_task(Outcome.FAILED, idempotent=True)
        self.assertEqual((answer.complete, starts), (True, 2))

    def test_empty_retry_budget_delays_retries_but_not_first_starts(self):
        state = self.world.entries["e1"].state
        job = make_job(self.world, make_key(1), idempotent=True)
        caller = submit(self.world, "e1", job)
        self.world.deliver_all()
        state.retry_budget.tokens = -20.0
        state.retry_budget.updated_at = self.world.now
        finish_all(self.world, Outcome.LOST)
        later_job = make_job(self.world, make_key(2))
        submit(self.world, "e1", later_job)
        advance_world(self.world, 1.0)
        self.assertEqual(count_starts(self.world, job.key), 1)
        self.assertEqual(count_starts(self.world, later_job.key), 1)
        advance_world(self.world, 4.0)
        finish_all(self.world)
        advance_world(self.world, 1.0)
        self.assertTrue(self.world.oracle.answers[caller].complete)

    def test_stored_answer_keeps_no_task_payloads(self):
        self.run_single_task(Outcome.DONE, idempotent=False)
        owned_partitions = self.world.entries["e1"].state.owned_partitions.values()
        jobs = [
            job for owned_partition in owned_partitions for job in owned_partition.jobs.values()
        ]
        self.assertEqual([job.submission.tasks for job in jobs], [()])
