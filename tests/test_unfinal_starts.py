"""Starts that are not final yet, and the ways by which their runs leave an agent or an entry."""

import unittest

from comfreysill.crashes.ledger import CrashLedger, find_deadly_task, record_crash
from comfreysill.exchange.messages import MAX_CALL_DELAY_SECONDS, Outcome
from comfreysill.execution.calls import (
    CallReply,
    RenewCall,
    RenewReply,
    ReplyStatus,
    RunEnd,
    StartCall,
)
from comfreysill.execution.renewals import check_lease_expiry, queue_renewal, receive_renewal
from comfreysill.execution.run import RunState
from comfreysill.execution.runner import begin_shutdown, receive_deregistration
from comfreysill.execution.starts import (
    MAX_START_CALLS,
    receive_call_reply,
    start_waiting,
)
from comfreysill.placement.agents import LATE_START_SECONDS, end_session, expire_agents
from comfreysill.placement.requests import disconnect_caller
from tests import test_execution, test_placement
from tests.platform_world import RESEND_DELAY_SECONDS, World
from tests.test_late_calls import DOWN_SECONDS, SEEDS, TASK, HeldCall, find_runners


class TestUnfinalStarts(unittest.TestCase):
    """A run whose first start had no answer, and was without effect in this lifetime."""

    setUp = test_execution.TestExecution.setUp
    deliver_report = test_execution.TestExecution.deliver_report
    answer_renewal = test_execution.TestExecution.answer_renewal
    deliver_frame = test_execution.TestExecution.deliver_frame
    drain_starts = test_execution.TestExecution.drain_starts
    deliver_reply = test_execution.TestExecution.deliver_reply
    confirm_starts = test_execution.TestExecution.confirm_starts
    list_ends = test_execution.TestExecution.list_ends

    def leave_unanswered(self, times=1):
        """Leaves starts of the task unanswered; it waits at the agent then."""
        self.deliver_frame(tasks=1)
        for _ in range(times):
            start_waiting(self.agent, self.now)
            (call,) = self.drain_starts()
            self.deliver_reply(call, ReplyStatus.UNANSWERED)
            self.answer_renewal()
        self.assertEqual(self.agent.runs[TASK].state, RunState.WAITING)

    def start_again(self):
        start_waiting(self.agent, self.now)
        (call,) = self.drain_starts()
        return call

    def check_held(self):
        """Checks that the entry isn't told that it may start the task elsewhere."""
        for end in self.agent.links["e@1"].ended:
            self.assertGreater(end.late_seconds, MAX_CALL_DELAY_SECONDS, end.outcome)
        if self.agent.runs:
            self.assertLess(self.now, self.agent.runs[TASK].late_until)

    # Guards against a task that starts elsewhere while a late start of it may still be carried out
    # by its runner, which restarts: here after a refusal of its second start.
    def test_a_run_with_an_unfinal_start_is_held_when_its_next_start_is_refused(self):
        for status in (
            ReplyStatus.NO_ROOM,
            ReplyStatus.UNHEALTHY,
            ReplyStatus.INVALID,
            ReplyStatus.REFUSED,
        ):
            self.setUp()
            self.leave_unanswered()
            self.deliver_reply(self.start_again(), status)
            self.check_held()

    # Guards against the same where a start is overtaken by a higher token after several unanswered.
    def test_a_run_with_unfinal_starts_is_held_when_its_next_start_is_fenced(self):
        self.leave_unanswered(times=MAX_START_CALLS - 1)
        self.deliver_reply(self.start_again(), ReplyStatus.FENCED)
        self.check_held()

    # Guards against the same where the second run has failed, was stopped as it stood still, or is
    # not listed any more.
    def test_a_run_with_an_unfinal_start_is_held_when_its_second_run_has_ended(self):
        for outcome in ("failed", "lapsed", "stopped", ""):
            self.setUp()
            self.leave_unanswered()
            call = self.start_again()
            self.deliver_reply(call, ReplyStatus.ACCEPTED)
            self.now += 0.01
            end = RunEnd(number=1, task=TASK, run=call.run, outcome=outcome)
            self.answer_renewal(ended=[end] if outcome else [])
            self.check_held()

    # Guards against the same for a run that waits for its second start.
    def test_a_waiting_run_with_an_unfinal_start_is_held_when_its_target_takes_no_new_work(self):
        for change in (
            lambda: self.deliver_report(sequence=2, cpu=500),
            lambda: self.deliver_report(sequence=2, draining=True),
            lambda: begin_shutdown(self.agent, self.now),
            lambda: receive_deregistration(self.agent, "i", self.now),
        ):
            self.setUp()
            self.leave_unanswered()
            change()
            self.check_held()

    # Guards against the same where a stop was asked for: the next attempt starts elsewhere.
    def test_a_run_with_an_unfinal_start_is_held_when_it_is_stopped(self):
        for answered in (False, True):
            self.setUp()
            if answered:
                self.leave_unanswered()
                self.deliver_frame(stops=[TASK])
            else:
                self.deliver_frame(tasks=1)
                (call,) = self.drain_starts()
                self.deliver_reply(call, ReplyStatus.UNANSWERED)
                self.deliver_frame(stops=[TASK])
                self.answer_renewal()
            self.check_held()

    # Guards against starts at a runner that has been draining for long, or has deregistered.
    def test_unanswered_starts_are_not_repeated_at_a_runner_that_leaves(self):
        for leave in (
            lambda: self.deliver_report(sequence=2, draining=True),
            lambda: receive_deregistration(self.agent, "i", self.now),
        ):
            self.setUp()
            self.deliver_frame(tasks=1)
            (call,) = self.drain_starts()
            leave()
            started_at = self.now
            ages = []
            while self.now < started_at + 4.0:
                self.now += 0.1
                self.deliver_reply(call, ReplyStatus.UNANSWERED)
                self.answer_renewal()
                start_waiting(self.agent, self.now)
                starts = self.drain_starts()
                ages += [self.now - started_at for _ in starts]
                call = starts[0] if starts else call
            # A runner serves for 2 s after it has said that it drains.
            self.assertEqual([age for age in ages if age > 2.0], [])

    # Guards against a lease for all runs in a start that is sent again while a stop is overdue.
    def test_a_fenced_start_is_not_sent_again_while_a_run_cannot_be_stopped(self):
        self.deliver_frame(tasks=1)
        self.confirm_starts()
        self.deliver_frame(stops=[TASK])
        self.now += 0.45
        self.agent.answered_at = self.now
        self.deliver_frame(entry="f@1", tasks=1, request_id="q")
        (call,) = self.drain_starts()
        self.now += 0.1
        leases_expire_at = self.agent.leases_expire_at
        self.deliver_reply(call, ReplyStatus.FENCED)
        self.assertEqual(self.agent.leases_expire_at, leases_expire_at)
        self.assertEqual(self.drain_starts(), [])

    # Guards against starts without a pause at a runner that resets connections.
    def test_unanswered_starts_are_not_repeated_without_a_pause(self):
        self.deliver_frame(tasks=1)
        ends_at = self.now + 1.0
        calls = 0
        while self.now < ends_at:
            starts = self.drain_starts()
            calls += len(starts)
            for call in starts:
                self.deliver_reply(call, ReplyStatus.UNANSWERED)
            # Takes 10 ms.
            self.answer_renewal()
            start_waiting(self.agent, self.now)
        self.assertLessEqual(calls, 30)

    # Guards against a crash report that lacks the runs that were lost as the runner fell silent.
    def test_a_crash_after_a_silence_names_lost_runs_beside_a_held_start(self):
        self.deliver_frame(tasks=1)
        self.confirm_starts()
        self.deliver_frame(tasks=1, request_id="q")
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        self.now += 2.0
        check_lease_expiry(self.agent, self.now)
        self.assertEqual(self.list_ends(), [(TASK, Outcome.LOST)])
        self.deliver_report(started_at_ms=2)
        (crash,) = self.agent.recent_crashes
        self.assertEqual(sorted(crash.report.tasks), ["q/0/0", TASK])

    # Guards against a request that is given up as deadly while its task is held at a runner that
    # goes down and up.
    def test_a_held_start_is_blamed_for_one_crash_only(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        # The later lifetimes end before they have answered anything.
        for started_at_ms in (2, 3, 4):
            self.deliver_report(started_at_ms=started_at_ms)
        self.assertEqual(len(self.agent.unsaved_crashes), 1)
        ledger = CrashLedger()
        for report in self.agent.unsaved_crashes:
            record_crash(ledger, report, self.now)
        self.assertEqual(find_deadly_task(ledger, "r"), "")

    # Guards against a start that another lifetime of the runner has answered, after an answer of
    # that lifetime to a renewal that names no birth.
    def test_a_refused_renewal_on_another_clock_confirms_no_start(self):
        for status in (ReplyStatus.FENCED, ReplyStatus.UNHEALTHY):
            self.setUp()
            self.answer_renewal(status=status, clock_ms=40)
            self.deliver_frame(tasks=1)
            (call,) = self.drain_starts()
            reply = CallReply(call=call, status=ReplyStatus.ACCEPTED, clock_ms=41)
            receive_call_reply(self.agent, reply, self.now)
            self.deliver_report(started_at_ms=2)
            self.assertEqual(self.list_ends(), [], "it runs in the new lifetime")

    # Guards against a refused connection that counts as an answer of the runner.
    def test_a_refused_connection_is_no_answer(self):
        queue_renewal(self.agent, self.now)
        answered_at = self.agent.answered_at
        self.now += 0.1
        self.answer_renewal(status=ReplyStatus.REFUSED)
        self.assertEqual(self.agent.answered_at, answered_at)

    # Guards against a run whose lease in a late start was longer than those that the agent grants.
    def test_a_run_that_a_new_lifetime_has_started_late_is_lost_only_after_its_own_lease(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_report(started_at_ms=2)
        self.answer_renewal(running=[(TASK, call.run)], clock_ms=100)
        # A lease that lies far ahead is shortened to 1 s by the runner.
        lease_ends_at = self.now + 1.0
        self.agent.renew_now = True
        queue_renewal(self.agent, self.now)
        self.now = lease_ends_at - 0.1
        check_lease_expiry(self.agent, self.now)
        self.assertEqual(self.list_ends(), [])

    # Guards against the same at the end of the time in which a start may come late.
    def test_a_start_that_was_carried_out_last_thing_is_lost_only_after_its_own_lease(self):
        self.deliver_frame(tasks=1)
        self.drain_starts()
        self.deliver_report(started_at_ms=2)
        self.now += MAX_CALL_DELAY_SECONDS + 0.5
        check_lease_expiry(self.agent, self.now)
        self.assertEqual(self.list_ends(), [])

    # Guards against a runner that has left and is renewed for ever.
    def test_a_runner_that_deregisters_after_it_fell_silent_has_departed(self):
        self.now += 2.0
        check_lease_expiry(self.agent, self.now)
        receive_deregistration(self.agent, "i", self.now)
        for _ in range(30):
            self.now += 1.0
            check_lease_expiry(self.agent, self.now)
            self.agent.calls.clear()
            queue_renewal(self.agent, self.now)
            for call in self.agent.calls:
                if isinstance(call, RenewCall):
                    reply = RenewReply(
                        call=call,
                        status=ReplyStatus.UNANSWERED,
                        clock_ms=-1,
                        started_at_ms=0,
                        running=[],
                        ended=[],
                    )
                    receive_renewal(self.agent, reply, self.now)
        self.assertIsNone(self.agent.runner_lifetime)

    # Guards against a target that is given up for good by a late deregistration of an earlier
    # lifetime, followed by a short silence.
    def test_a_runner_that_goes_on_reporting_after_a_deregistration_is_used_again(self):
        receive_deregistration(self.agent, "i", self.now)
        self.now += 2.0
        check_lease_expiry(self.agent, self.now)
        for sequence in range(2, 12):
            self.now += 1.5
            self.deliver_report(sequence=sequence)
        self.assertIsNotNone(self.agent.runner_lifetime)


class TestHeldTasks(unittest.TestCase):
    setUp = test_placement.TestPlacement.setUp
    establish_link = test_placement.TestPlacement.establish_link
    deliver_frame = test_placement.TestPlacement.deliver_frame
    submit = test_placement.TestPlacement.submit
    flush = test_placement.TestPlacement.flush
    place = test_placement.TestPlacement.place
    fall_silent = test_placement.TestPlacement.fall_silent

    def restart_agent(self, unconfirmed):
        """Places a task on `a`, which restarts after a silence and accepts nothing from then on."""
        self.deliver_frame("b", accepting=False)
        self.place(test_placement.build_request(tasks=1))
        self.deliver_frame("a", unconfirmed=[TASK] if unconfirmed else [])
        if unconfirmed:
            self.assertEqual(self.fall_silent("a", 2.0), [])
        end_session(self.state, "a", self.state.agents["a"].session)
        self.establish_link("a", lifetime="2", accepting=False)

    def wait(self, seconds):
        placed = []
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += 0.05
            self.deliver_frame("a", lifetime="2", accepting=False)
            self.deliver_frame("b")
            expire_agents(self.state, self.now)
            placed.extend(self.flush()[0].values())
        return placed

    # Guards against a task that waits for ever, as its agent is back and its runner isn't.
    def test_a_task_of_a_restarted_agent_that_accepts_nothing_is_placed_again_in_the_end(self):
        for unconfirmed in (False, True):
            self.setUp()
            self.restart_agent(unconfirmed)
            self.assertEqual(self.wait(LATE_START_SECONDS + 1.0), [1])

    # Guards against a repeated request that gets no answer, as a task of its first try is held.
    def test_a_repeated_request_is_answered_in_the_end_while_a_task_of_the_first_is_held(self):
        self.restart_agent(unconfirmed=True)
        disconnect_caller(self.state, 1, self.now)
        self.submit(test_placement.build_request(tasks=1), caller=2)
        self.assertEqual(self.wait(LATE_START_SECONDS + 1.0), [1])

    # Guards against a task whose hold begins anew each time that its agent restarts.
    def test_a_hold_ends_though_the_agent_restarts_again_and_again(self):
        self.restart_agent(unconfirmed=True)
        placed = []
        started_at = self.now
        for lifetime in range(3, 12):
            placed += self.fall_silent("a", 5.0)
            end_session(self.state, "a", self.state.agents["a"].session)
            self.establish_link("a", lifetime=str(lifetime), accepting=False)
            self.deliver_frame("b")
            placed.extend(self.flush()[0].values())
        self.assertGreater(self.now - started_at, 2 * LATE_START_SECONDS)
        self.assertEqual(placed, [1])


class TestLostRunners(unittest.TestCase):
    # Guards against requests without an answer, as an agent is back and its runner never is.
    def test_tasks_of_a_killed_agent_are_placed_elsewhere_though_its_runner_is_gone(self):
        for down_seconds in (0.5, 3.0):
            world = World(0)
            world.run(2.0)
            for number in range(40):
                if number == 30:
                    world.kill_agent("a0", down_seconds=down_seconds, silent=True)
                    world.crash_runner("a0", down_seconds=500.0)
                world.submit(f"r{number}", f"e{number % 2}", tasks=1, seconds=0.3)
                world.run(0.02)
            world.run(60.0)
            self.assertEqual(world.callers, {})


class TestUnfinalStartsInADeployment(unittest.TestCase):
    """The first start gets no answer; its runner is born again and carries it out at once."""

    def hold_start(self, seed):
        world = World(seed)
        world.run(2.0)
        held = HeldCall(world, StartCall)
        world.submit("r", "e0", tasks=1, seconds=4.0)
        self.run_until(world, lambda: held.call)
        return world, held

    def run_until(self, world, condition):
        ends_at = world.now + 5.0
        while not condition():
            self.assertLess(world.now, ends_at, "the condition was never met")
            world.run(0.002)

    def check(self, world, held, seed):
        """Lets the start be carried out late, once the task runs elsewhere or 1.5 s have passed."""
        ends_at = world.now + 1.5
        while world.now < ends_at and not set(find_runners(world)) - {held.agent}:
            world.run(0.002)
        world.run(0.1)
        world.crash_runner(held.agent, down_seconds=DOWN_SECONDS)
        world.schedule(DOWN_SECONDS, held.deliver)
        world.run(40.0)
        self.assertEqual(world.violations, [], seed)

    # Guards against a task that runs elsewhere after its second start was refused.
    def test_a_late_start_whose_second_try_was_refused(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed)
            world.runners[held.agent].start = lambda call, now: ReplyStatus.UNHEALTHY
            self.check(world, held, seed)

    # Guards against the same after its second run has failed.
    def test_a_late_start_whose_second_run_has_failed(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed)
            runner = world.runners[held.agent]
            runner.fails_tasks = True
            self.run_until(world, lambda runner=runner: runner.running)
            runner.running[TASK][2] = 0.5
            self.check(world, held, seed)

    # Guards against the same after its second run stood still.
    def test_a_late_start_whose_second_run_stood_still(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed)
            world.run(0.3)
            world.set_speed(held.agent, 0.0)
            self.check(world, held, seed)

    # Guards against the same after its caller has left, and sent the request to another entry.
    def test_a_late_start_of_a_caller_that_has_asked_another_entry(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed)
            world.run(0.4)
            world.drop_caller(next(iter(world.callers)))
            world.schedule(RESEND_DELAY_SECONDS, world.send_request, "r", "e1")
            world.run(1.0)
            # The other targets have more room.
            world.runners[held.agent].set_cpu(0)
            world.report_now(held.agent)
            self.check(world, held, seed)


if __name__ == "__main__":
    unittest.main()
