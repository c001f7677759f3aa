import math
import unittest

from comfreysill.exchange.messages import (
    CLAIM_LEASE_SECONDS,
    MAX_STOP_SECONDS,
    STOP_GRACE_SECONDS,
    Outcome,
)
from comfreysill.execution.calls import StopCall
from comfreysill.execution.frame_handling import expire_runs
from comfreysill.execution.starts import is_stop_overdue
from comfreysill.placement.deadlines import MIN_COMPACTED_DEADLINES, compute_stop_at
from comfreysill.placement.peer_links import update_peers
from comfreysill.placement.placement import place_waiting
from comfreysill.placement.requests import disconnect_caller, expire_requests
from comfreysill.request.types import Verdict
from tests import test_execution, test_placement
from tests.platform_world import NEVER, RESEND_DELAY_SECONDS, World
from tests.test_placement import build_request
from tests.waits import build_wait

WAIT_SECONDS = 1.5
# Shorter than the wait of a caller, so that requests complete where nothing pauses.
TASK_SECONDS = 1.2
PAUSES = (0.2, 0.6, 1.0, 1.6, 2.2, 2.8, 3.5, 6.0)
END_DELAYS = (0.001, 0.05, 2.0, NEVER)
SEEDS = range(2)


class TestPausedEntries(unittest.TestCase):
    """Entries that pause beside callers that stop waiting and send their requests again."""

    def play(self, seed, pause, end_delay, paused=1, **options):
        """Plays a pause of entries; returns the world."""
        world = World(seed, entries=3, agents=4)
        world.reads_callers_last = True
        world.draw_end_delay = lambda: end_delay
        world.run(2.0)
        for number in range(paused):
            name = f"e{number}"
            world.schedule(0.45 + number, world.freeze, world.entries[name], pause)
        for number in range(12):
            entry = f"e{number % 3}"
            options = {"tasks": 2, "seconds": TASK_SECONDS, "wait": WAIT_SECONDS, **options}
            world.submit(f"r{number}", entry, cpu=500, **options)
            world.run(0.15)
        world.run(16.0)
        return world

    def check(self, paused=1, **options):
        for end_delay in END_DELAYS:
            for pause in PAUSES:
                for seed in SEEDS:
                    world = self.play(seed, pause, end_delay, paused, **options)
                    case = f"pause {pause} s, end {end_delay} s late, seed {seed}"
                    self.assertEqual(world.violations, [], case)

    # Guards against an entry that wakes and starts tasks of callers that have left, and that
    # another entry runs.
    def test_an_entry_that_wakes_starts_nothing_that_another_entry_runs(self):
        self.check()

    # Guards against the same where two entries pause one after the other.
    def test_two_entries_that_wake_start_nothing_that_another_entry_runs(self):
        self.check(paused=2)

    # Guards against the same with requests accepted before the pause, whose next step is placed, or
    # whose tasks are returned, as the entry wakes.
    def test_an_entry_that_wakes_goes_on_with_nothing_that_another_entry_runs(self):
        self.check(steps=3, seconds=0.4)

    # Guards against tasks that go on beside those of another entry, where the end of their
    # caller's connection never comes, though nobody pauses.
    def test_tasks_end_with_their_callers_wait_if_its_connection_never_ends(self):
        for seed in SEEDS:
            world = World(seed, entries=3, agents=4)
            world.draw_end_delay = lambda: NEVER
            world.run(2.0)
            world.submit("r", "e0", seconds=4.0, wait=WAIT_SECONDS)
            world.run(WAIT_SECONDS + 0.3)
            running = [runner.running for runner in world.runners.values()]
            self.assertEqual([task for tasks in running for task in tasks], [])
            world.run(10.0)
            self.assertEqual(world.violations, [])

    # Guards against an entry whose orders wait in its process while it pauses: the agents end them.
    def test_an_agent_ends_tasks_whose_callers_have_stopped_waiting_without_their_entry(self):
        for seconds_after_wait in (0.2, 0.23, 0.3):
            world = World(0, entries=2, agents=2)
            world.run(2.0)
            world.submit("r", "e0", seconds=4.0, wait=WAIT_SECONDS)
            world.run(WAIT_SECONDS - 0.1)
            world.freeze(world.entries["e0"], 0.45)
            world.run(0.1 + seconds_after_wait)
            running = [runner.running for runner in world.runners.values()]
            self.assertEqual([task for tasks in running for task in tasks], [])

    def test_callers_are_served_after_a_pause_that_leaves_them_time(self):
        for pause in (0.2, 0.6, 1.0):
            world = self.play(0, pause, 0.001, seconds=0.2)
            verdicts = {verdict for row in world.verdicts.values() for verdict in row}
            self.assertEqual(verdicts, {Verdict.COMPLETED}, pause)
            self.assertEqual({len(row) for row in world.verdicts.values()}, {1}, pause)


class TestStopTime(unittest.TestCase):
    def test_it_is_the_end_of_the_wait_where_the_request_was_read_soon(self):
        self.assertEqual(compute_stop_at(build_wait(100.0, 2.0, 0.1), RESEND_DELAY_SECONDS), 102.0)

    def test_nothing_runs_when_a_caller_that_sent_as_early_as_possible_sends_again(self):
        for unread in (0.0, 0.3, 0.5, 1.0, 3.5, 60.0):
            for seconds in (0.2, 1.5, 16.0):
                wait = build_wait(100.0, seconds, unread)
                sent_again_at = wait.sent_after + seconds + RESEND_DELAY_SECONDS
                stop_at = compute_stop_at(wait, RESEND_DELAY_SECONDS)
                self.assertLessEqual(stop_at + MAX_STOP_SECONDS, sent_again_at + 1e-9)
                self.assertLessEqual(stop_at, 100.0 + seconds)

    def test_a_request_without_a_known_wait_is_refused_only_if_it_lay_unread_for_long(self):
        self.assertEqual(compute_stop_at(build_wait(100.0), RESEND_DELAY_SECONDS), math.inf)
        late = build_wait(100.0, unread_seconds=2.0)
        self.assertEqual(compute_stop_at(late, RESEND_DELAY_SECONDS), 100.0)

    # Guards against a deployment whose settings don't tell when callers send again: its callers
    # would be refused on calm days.
    def test_callers_that_send_again_at_once_lose_nothing_on_a_calm_day(self):
        self.assertEqual(compute_stop_at(build_wait(100.0, 2.0, 0.1), 0.0), 102.0)
        self.assertEqual(compute_stop_at(build_wait(100.0, unread_seconds=0.1), 0.0), math.inf)
        self.assertAlmostEqual(compute_stop_at(build_wait(100.0, 2.0, 1.25), 0.0), 101.0)


class TestExpiredRequests(unittest.TestCase):
    """Requests at an entry, and the end of their callers' waits."""

    setUp = test_placement.TestPlacement.setUp
    establish_link = test_placement.TestPlacement.establish_link
    deliver_frame = test_placement.TestPlacement.deliver_frame
    submit = test_placement.TestPlacement.submit
    flush = test_placement.TestPlacement.flush

    def submit_with_wait(self, seconds=2.0, unread_seconds=0.0, caller=1, **options):
        wait = build_wait(self.now, seconds, unread_seconds)
        self.submit(build_request(**options), caller, wait)

    # Guards against a request that its caller has given up before the entry reads it.
    def test_a_request_that_was_read_too_late_is_refused_at_once(self):
        self.state.retry_seconds = RESEND_DELAY_SECONDS
        self.submit_with_wait(unread_seconds=3.5)
        (effect,) = self.state.effects
        self.assertGreater(effect.retry_at, self.now)
        self.assertEqual(self.flush(), ({}, {1: Verdict.NOT_RUN}))
        self.assertEqual((self.state.requests, self.state.callers), ({}, {}))
        self.submit_with_wait(unread_seconds=0.2, caller=2)
        self.assertEqual(self.flush()[0], {"a": 2})

    def test_a_repetition_that_was_read_too_late_gets_the_cached_verdict(self):
        self.submit_with_wait(tasks=1)
        self.flush()
        self.deliver_frame("a", task_ends=[("r/0/0", 1, Outcome.DONE)])
        self.assertEqual(self.flush()[1], {1: Verdict.COMPLETED})
        self.submit_with_wait(unread_seconds=30.0, caller=2)
        self.assertEqual(self.flush()[1], {2: Verdict.COMPLETED})

    # Guards against tasks that are placed after a pause because an agent has returned them.
    def test_a_returned_task_is_not_placed_after_the_wait(self):
        self.submit_with_wait(seconds=2.0, tasks=1)
        self.flush()
        self.now += 5.0
        self.deliver_frame("a", task_ends=[("r/0/0", 1, Outcome.RETURNED)])
        self.assertEqual(self.flush(), ({}, {1: Verdict.MAY_HAVE_RUN}))
        self.assertEqual(self.state.requests, {})

    def test_a_request_that_was_never_placed_is_refused_truthfully(self):
        self.submit_with_wait(tasks=1, cpu=9000)
        self.flush()
        self.now += 1.9
        self.assertEqual(self.flush(), ({}, {}))
        self.now += 0.1
        self.assertEqual(self.flush(), ({}, {1: Verdict.NOT_RUN}))

    def test_placed_tasks_are_stopped(self):
        self.submit_with_wait(tasks=1)
        self.flush()
        self.now += 2.0
        self.deliver_frame("a")
        expire_requests(self.state, self.now)
        self.assertEqual(self.state.agents["a"].stops, ["r/0/0"])

    def test_a_request_runs_until_the_last_of_its_callers_has_stopped_waiting(self):
        self.submit_with_wait(seconds=2.0, tasks=1, cpu=9000)
        self.submit_with_wait(seconds=3.0, caller=2)
        self.now += 2.5
        self.assertEqual(self.flush(), ({}, {}))
        self.now += 0.5
        self.assertEqual(self.flush()[1], {1: Verdict.NOT_RUN, 2: Verdict.NOT_RUN})

    # Guards against a caller whose request is taken up, after the tasks of its earlier one have
    # ended, though it has stopped waiting meanwhile.
    def test_a_caller_that_waited_for_earlier_tasks_to_end_is_refused_after_its_wait(self):
        self.submit_with_wait(tasks=1)
        self.flush()
        disconnect_caller(self.state, 1, self.now)
        self.submit_with_wait(seconds=1.0, caller=2)
        self.now += 1.5
        self.deliver_frame("a", task_ends=[("r/0/0", 1, Outcome.LOST)])
        self.assertEqual(self.flush(), ({}, {2: Verdict.NOT_RUN}))

    def test_orders_carry_the_end_of_the_wait_on_the_clock_of_the_agent(self):
        self.state.agents["a"].newest_timestamp = 7.0
        self.state.agents["a"].last_frame_at = self.now - 0.1
        self.submit_with_wait(seconds=2.0, tasks=1)
        place_waiting(self.state, self.now)
        (batch,) = self.state.agents["a"].batches
        self.assertAlmostEqual(batch.stop_at, 9.1)

    def test_orders_carry_the_end_of_the_claim_on_the_clock_of_the_agent(self):
        self.state.agents["a"].newest_timestamp = 7.0
        self.state.agents["a"].last_frame_at = self.now - 0.1
        self.submit_with_wait(tasks=1)
        update_peers(self.state, self.now)
        place_waiting(self.state, self.now)
        (batch,) = self.state.agents["a"].batches
        self.assertAlmostEqual(batch.valid_until, 7.1 + CLAIM_LEASE_SECONDS)

    def test_deadlines_of_ended_requests_are_removed(self):
        for number in range(5 * MIN_COMPACTED_DEADLINES):
            self.submit_with_wait(seconds=3600.0, caller=number, request_id=f"r{number}")
            disconnect_caller(self.state, number, self.now)
        self.assertLessEqual(len(self.state.deadlines), MIN_COMPACTED_DEADLINES + 1)


class TestExpiredRuns(unittest.TestCase):
    """Runs at an agent, and the time from which they may not run."""

    setUp = test_execution.TestExecution.setUp
    deliver_report = test_execution.TestExecution.deliver_report
    answer_renewal = test_execution.TestExecution.answer_renewal
    deliver_frame = test_execution.TestExecution.deliver_frame
    drain_starts = test_execution.TestExecution.drain_starts
    deliver_reply = test_execution.TestExecution.deliver_reply
    confirm_starts = test_execution.TestExecution.confirm_starts

    def list_outcomes(self):
        return [end.outcome for end in self.agent.links["e@1"].ended]

    # Guards against an order that waited in its entry while that was paused.
    def test_an_order_after_its_stop_time_is_refused(self):
        self.deliver_frame(tasks=1, stop_at=self.now)
        self.assertEqual(self.list_outcomes(), [Outcome.BUSY])
        self.assertEqual(self.drain_starts(), [])

    # Guards against an order that is read after the claim of its entry has lapsed, as that paused
    # between its decision and the sending.
    def test_an_order_after_the_end_of_its_claim_is_refused(self):
        self.deliver_frame(tasks=1, valid_until=self.now)
        self.assertEqual(self.list_outcomes(), [Outcome.BUSY])
        self.assertEqual(self.drain_starts(), [])
        self.deliver_frame(tasks=1, valid_until=self.now + 0.01, request_id="q")
        self.assertEqual(len(self.drain_starts()), 1)

    def test_a_run_is_stopped_at_its_stop_time_though_its_link_is_open(self):
        self.deliver_frame(tasks=1, stop_at=self.now + 0.2)
        self.confirm_starts()
        self.agent.calls.clear()
        self.now += 0.19
        expire_runs(self.agent, self.now)
        self.assertEqual(self.agent.calls, [])
        self.now += 0.02
        expire_runs(self.agent, self.now)
        self.assertEqual([type(call) for call in self.agent.calls], [StopCall])

    # Guards against a run that can't be stopped and whose lease is renewed on and on.
    def test_a_run_that_is_not_stopped_in_time_is_left_without_a_lease(self):
        self.deliver_frame(tasks=1, stop_at=self.now + 0.2)
        self.confirm_starts()
        self.now += 0.2
        expire_runs(self.agent, self.now)
        self.assertFalse(is_stop_overdue(self.agent, self.now))
        self.now += STOP_GRACE_SECONDS
        self.assertTrue(is_stop_overdue(self.agent, self.now))

    def test_a_waiting_run_is_returned_at_its_stop_time(self):
        # Nothing is started while the runner's clock is unknown.
        self.agent.clock_ms = -1
        self.deliver_frame(tasks=1, stop_at=self.now + 0.2)
        self.now += 0.2
        expire_runs(self.agent, self.now)
        self.assertEqual(self.list_outcomes(), [Outcome.RETURNED])
        self.assertEqual(self.agent.runs, {})
