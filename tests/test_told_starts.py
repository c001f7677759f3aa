"""Starts that aren't final: agents tell all of their entries of them, which bind their tasks."""

import unittest
from unittest import mock

from comfreysill.exchange.messages import (
    MAX_CALL_DELAY_SECONDS,
    MAX_RUN_LEASE_SECONDS,
    Ended,
    Outcome,
)
from comfreysill.execution.calls import CallReply, ReplyStatus, RunEnd, StartCall
from comfreysill.execution.frame_handling import OTHER_RUN_SECONDS
from comfreysill.execution.frames import LATE_START_INTERVAL_SECONDS, collect_frames
from comfreysill.execution.starts import receive_call_reply, start_waiting
from comfreysill.execution.unfinal_starts import MAX_LATE_STARTS_PER_FRAME
from comfreysill.placement import subset
from comfreysill.placement.agents import expire_agents
from comfreysill.placement.bindings import OTHER_RUN_RETRY_SECONDS
from comfreysill.placement.placement import place_waiting
from comfreysill.request.types import Verdict
from tests import test_execution, test_placement
from tests.platform_world import CPU_CAPACITY, RESEND_DELAY_SECONDS, World
from tests.test_late_calls import DOWN_SECONDS, SEEDS, TASK, HeldCall, LateCallCase, find_runners

PAUSE_SECONDS = LATE_START_INTERVAL_SECONDS + 0.001
LATE_SECONDS = MAX_CALL_DELAY_SECONDS + MAX_RUN_LEASE_SECONDS


class TestToldStarts(unittest.TestCase):
    """An agent with the entries `e@1`, which orders the task, and `f@1`."""

    deliver_report = test_execution.TestExecution.deliver_report
    answer_renewal = test_execution.TestExecution.answer_renewal
    deliver_frame = test_execution.TestExecution.deliver_frame
    drain_starts = test_execution.TestExecution.drain_starts
    deliver_reply = test_execution.TestExecution.deliver_reply

    def setUp(self):
        test_execution.TestExecution.setUp(self)
        self.deliver_frame(entry="f@1")
        collect_frames(self.agent, False, self.now)

    def leave_unanswered(self):
        """Leaves the start of a task unanswered; it waits at the agent then."""
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        self.answer_renewal()

    def list_told(self, entry="f@1", seconds=PAUSE_SECONDS):
        """Returns the tasks that an entry is told of after a time, with the seconds."""
        self.now += seconds
        frames = dict(collect_frames(self.agent, False, self.now))
        told = frames[entry].late_starts if entry in frames else ()
        return [(late_start.task, late_start.seconds) for late_start in told]

    def check_told(self, told, earliest=LATE_SECONDS - 1.0):
        self.assertEqual([task for task, _ in told], [TASK])
        self.assertGreater(told[0][1], earliest)
        self.assertLessEqual(told[0][1], LATE_SECONDS)

    # Guards against a start that only the entry knows of that has ordered it.
    def test_each_entry_is_told_once_a_session_of_a_start_without_an_answer(self):
        self.leave_unanswered()
        self.now += PAUSE_SECONDS
        told = {
            entry: [(late_start.task, late_start.seconds) for late_start in frame.late_starts]
            for entry, frame in collect_frames(self.agent, False, self.now)
        }
        self.assertEqual(sorted(told), ["e@1", "f@1"])
        for late_starts in told.values():
            self.check_told(late_starts)
        self.assertEqual(self.list_told(seconds=1.0), [])

    # Guards against an entry that has just started, or was out of reach, and isn't told.
    def test_the_first_frame_of_a_session_tells_of_all_starts_that_are_not_final(self):
        self.leave_unanswered()
        self.check_told(self.list_told())
        self.deliver_frame(entry="f@1", session=2)
        self.check_told(self.list_told(seconds=0.0))
        self.now += 5.0
        self.deliver_frame(entry="g@1")
        self.check_told(self.list_told("g@1", seconds=0.0), earliest=LATE_SECONDS - 6.0)

    # Guards against a start that is forgotten with its run, of which the task may even be done.
    def test_an_entry_is_told_after_the_run_has_ended(self):
        for outcome in ("done", "failed", "stopped"):
            self.setUp()
            self.leave_unanswered()
            start_waiting(self.agent, self.now)
            (call,) = self.drain_starts()
            self.deliver_reply(call, ReplyStatus.ACCEPTED)
            end = RunEnd(number=1, task=TASK, run=call.run, outcome=outcome)
            self.answer_renewal(ended=[end])
            self.assertEqual(self.agent.runs, {})
            self.check_told(self.list_told())
            self.deliver_frame(entry="g@1")
            self.check_told(self.list_told("g@1", seconds=0.0))

    # Guards against starts that entries are told of for ever.
    def test_no_entry_is_told_of_a_start_that_is_too_old(self):
        self.leave_unanswered()
        self.deliver_frame(stops=[TASK])
        self.now += LATE_SECONDS
        self.deliver_frame(entry="g@1")
        self.assertEqual(self.list_told("g@1", seconds=0.0), [])
        self.assertEqual(self.agent.unfinal_starts, {})
        # Nor is a frame sent for it before the next one is due.
        self.now += PAUSE_SECONDS
        self.assertNotIn("g@1", dict(collect_frames(self.agent, False, self.now)))

    # Guards against an innocent task that stays bound to a target though its start is final.
    def test_an_entry_is_told_when_the_only_start_is_known_to_be_carried_out(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        self.check_told(self.list_told())
        self.answer_renewal(running=[(TASK, call.run)])
        self.assertEqual(self.list_told(), [(TASK, 0.0)])
        self.assertEqual(self.list_told(), [])

    # Guards against the same where the answer to the only start comes late: it was refused.
    def test_an_entry_is_told_when_the_only_start_was_refused_after_all(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_report(started_at_ms=2)
        self.check_told(self.list_told())
        reply = CallReply(call=call, status=ReplyStatus.NO_ROOM, clock_ms=7000)
        receive_call_reply(self.agent, reply, self.now)
        self.assertEqual(self.list_told(), [(TASK, 0.0)])

    # Guards against the same at a runner with another id, which refuses calls for the first one.
    def test_an_entry_is_told_when_another_runner_is_there(self):
        for stops in ([], [TASK]):
            self.setUp()
            self.leave_unanswered()
            self.deliver_frame(stops=stops)
            self.check_told(self.list_told())
            self.deliver_report(started_at_ms=2, runner_id="j")
            self.assertEqual(self.list_told(), [(TASK, 0.0)])

    # Guards against a start that counts as final as the start of another run of the task is.
    def test_a_start_of_an_earlier_run_is_not_final_with_that_of_a_later_one(self):
        self.leave_unanswered()
        self.deliver_frame(stops=[TASK])
        self.deliver_frame(entry="f@1", tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        self.answer_renewal(running=[(TASK, call.run)])
        self.check_told(self.list_told())

    # Guards against a frame that is too large, and against tasks that are left out of it.
    def test_many_late_starts_are_told_in_several_frames(self):
        number = MAX_LATE_STARTS_PER_FRAME + 5
        self.deliver_report(sequence=2, memory_mb=number)
        self.deliver_frame(tasks=number, cpu=0)
        for call in self.drain_starts():
            self.deliver_reply(call, ReplyStatus.UNANSWERED)
        first, second = self.list_told(), self.list_told()
        self.assertEqual((len(first), len(second)), (MAX_LATE_STARTS_PER_FRAME, 5))
        self.assertEqual(len(dict(first + second)), number)


class TestToldEntries(unittest.TestCase):
    """An entry with the agents `a` and `b`; `a` tells of a late start of the task."""

    setUp = test_placement.TestPlacement.setUp
    establish_link = test_placement.TestPlacement.establish_link
    deliver_frame = test_placement.TestPlacement.deliver_frame
    submit = test_placement.TestPlacement.submit
    flush = test_placement.TestPlacement.flush

    def tell(self, seconds=LATE_SECONDS, name="a", **frame):
        self.deliver_frame(name, late_starts=[(TASK, seconds)], **frame)

    def list_stops(self):
        """Returns the agents that were asked to stop the task."""
        return [name for name, agent in self.state.agents.items() if TASK in agent.stops]

    def place_at(self, name, **frame):
        """Submits a request, and places its task on the target of an agent."""
        other = "b" if name == "a" else "a"
        self.deliver_frame(other, accepting=False)
        self.submit(test_placement.build_request(tasks=1))
        self.assertEqual(self.flush()[0], {name: 1})
        self.deliver_frame(other, **frame)

    # Guards against a task that starts beside a late start of another entry.
    def test_a_task_starts_only_on_the_target_with_a_late_start(self):
        self.tell(cpu=0)
        self.submit(test_placement.build_request(tasks=1))
        self.assertEqual(self.flush()[0], {})
        self.deliver_frame("a")
        self.assertEqual(self.flush()[0], {"a": 1})

    # Guards against a task that waits for its target for longer than needed.
    def test_a_task_is_free_once_the_start_is_final(self):
        self.tell(accepting=False)
        self.submit(test_placement.build_request(tasks=1))
        self.assertEqual(self.flush()[0], {})
        self.tell(0.0, accepting=False)
        self.assertEqual(self.flush()[0], {"b": 1})
        self.assertEqual(self.state.bindings, {})

    # Guards against a task that stays bound though its start is final: its end, which was queued
    # before that, comes in the same frame as the news.
    def test_an_end_from_before_does_not_bind_a_task_whose_start_is_final(self):
        self.place_at("a")
        end = Ended(
            number=1,
            task=TASK,
            attempt=1,
            outcome=Outcome.LOST,
            seconds=0.0,
            detail="",
            late_seconds=LATE_SECONDS,
        )
        self.deliver_frame("a", ends=[end], late_starts=[(TASK, 0.0)])
        self.assertEqual(self.state.bindings, {})

    # Guards against the same, and bindings that are kept for ever.
    def test_a_task_is_free_once_the_start_is_too_old(self):
        self.tell(accepting=False)
        self.now += LATE_SECONDS
        self.deliver_frame("b")
        self.submit(test_placement.build_request(tasks=1))
        self.assertEqual(self.flush()[0], {"b": 1})
        self.state.ticked_at = self.now
        expire_agents(self.state, self.now)
        self.assertEqual(self.state.bindings, {})

    # Guards against a task that goes on elsewhere, as its entry was told late.
    def test_a_task_that_was_placed_elsewhere_is_stopped_there(self):
        self.place_at("b")
        self.tell()
        self.assertEqual(self.list_stops(), ["b"])
        self.flush()
        self.deliver_frame("b", task_ends=[(TASK, 1, Outcome.LOST)])
        self.assertEqual(self.flush()[0], {"a": 1})

    # Guards against an order that is sent after its entry was told.
    def test_a_task_that_was_placed_but_not_sent_yet_is_stopped(self):
        self.deliver_frame("a", accepting=False)
        self.submit(test_placement.build_request(tasks=1))
        place_waiting(self.state, self.now)
        self.tell(accepting=False)
        self.assertEqual(len(self.state.agents["b"].batches), 1)
        self.assertEqual(self.list_stops(), ["b"])

    # Guards against a stop that was lost with its session.
    def test_a_task_that_was_placed_elsewhere_is_stopped_in_the_next_session(self):
        self.place_at("b")
        self.tell()
        self.establish_link("b", active=[TASK])
        self.assertEqual(self.list_stops(), ["b"])

    # Guards against a stop of the very run that has made the start.
    def test_a_task_at_the_target_with_the_late_start_goes_on(self):
        self.place_at("a")
        self.tell()
        self.assertEqual(self.list_stops(), [])

    # Guards against a start of the agent's earlier lifetime that counts as final with one of this.
    def test_the_next_lifetime_of_an_agent_does_not_end_the_binding_of_the_earlier(self):
        self.tell()
        self.establish_link("a", lifetime="2", accepting=False)
        self.tell(lifetime="2", accepting=False)
        self.tell(0.0, lifetime="2", accepting=False)
        self.submit(test_placement.build_request(tasks=1))
        self.assertEqual(self.flush()[0], {})

    # Guards against the latest of two late starts that replaces the other.
    def test_a_task_with_late_starts_on_two_targets_starts_nowhere(self):
        self.tell()
        self.tell(name="b")
        self.submit(test_placement.build_request(tasks=1))
        self.assertEqual(self.flush()[0], {})
        self.tell(0.0)
        self.assertEqual(self.flush()[0], {"b": 1})


class TestOtherRuns(unittest.TestCase):
    """An order that its agent refuses, as another run of the task is there."""

    establish_link = test_placement.TestPlacement.establish_link
    deliver_frame = test_placement.TestPlacement.deliver_frame
    submit = test_placement.TestPlacement.submit
    flush = test_placement.TestPlacement.flush

    def setUp(self):
        test_placement.TestPlacement.setUp(self)
        self.deliver_frame("b", accepting=False)
        self.submit(test_placement.build_request(tasks=1, estimate=2.0))
        self.assertEqual(self.flush()[0], {"a": 1})
        self.attempt = 1

    def refuse(self):
        """Lets `a` refuse the order; `b` would accept it."""
        end = Ended(
            number=self.attempt,
            task=TASK,
            attempt=self.attempt,
            outcome=Outcome.BUSY,
            seconds=0.0,
            detail="",
            late_seconds=OTHER_RUN_SECONDS,
        )
        self.attempt += 1
        self.deliver_frame("a", ends=[end])
        self.deliver_frame("b")

    def wait(self, seconds):
        """Returns the agents that are sent the task in a time, the last of which may refuse it."""
        placed = []
        ends_at = self.now + seconds
        while self.now < ends_at and not placed:
            self.now += 0.01
            for name in "ab":
                self.deliver_frame(name)
            placed += self.flush()[0]
        return placed

    # Guards against a task that starts elsewhere beside the run that has kept it from its target.
    def test_a_task_with_another_run_at_a_target_starts_nowhere_else(self):
        for _ in range(20):
            self.refuse()
            self.assertEqual(self.flush()[0], {})
            self.assertEqual(self.wait(1.0), ["a"])

    # Guards against orders and refusals without a pause.
    def test_a_task_with_another_run_at_a_target_is_ordered_again_after_a_pause(self):
        refused_at = self.now
        for _ in range(10):
            self.refuse()
            self.wait(1.0)
        self.assertGreater(self.now - refused_at, 9 * OTHER_RUN_RETRY_SECONDS)

    # Guards against a task that waits for its target for longer than needed.
    def test_a_task_is_free_once_the_other_run_is_gone_for_sure(self):
        self.refuse()
        self.now += OTHER_RUN_SECONDS
        self.deliver_frame("a", accepting=False)
        self.deliver_frame("b")
        self.assertEqual(self.flush()[0], {"b": 1})

    # Guards against a run that is forgotten as its start is final: it goes on.
    def test_a_final_start_does_not_free_a_task_with_another_run(self):
        self.deliver_frame("a", late_starts=[(TASK, LATE_SECONDS)])
        self.refuse()
        self.deliver_frame("a", late_starts=[(TASK, 0.0)], accepting=False)
        self.assertEqual(self.flush()[0], {})

    def test_an_agent_says_for_how_long_a_task_with_another_run_is_kept_from_others(self):
        agent = TestToldStarts()
        agent.setUp()
        agent.deliver_frame(tasks=1)
        agent.deliver_frame(entry="f@1", tasks=1)
        (end,) = agent.agent.links["f@1"].ended
        self.assertEqual((end.outcome, end.late_seconds), (Outcome.BUSY, OTHER_RUN_SECONDS))

    # Guards against a run beside that of a caller that has left, the end of whose connection never
    # comes: the target refuses the order of the entry that the caller asks next.
    def test_a_refused_order_is_not_placed_beside_the_run_that_is_there(self):
        for seed in SEEDS:
            world = World(seed)
            world.run(2.0)
            world.submit("r", "e0", tasks=1, seconds=2.0)
            world.run(0.3)
            (name,) = find_runners(world)
            for other in set(world.runners) - {name}:
                world.runners[other].set_cpu(2000)
                world.report_now(other)
            world.run(0.4)
            world.callers.clear()
            world.send_request("r", "e1")
            world.run(0.05)
            for other in world.runners:
                world.runners[other].set_cpu(CPU_CAPACITY)
                world.report_now(other)
            world.run(10.0)
            self.assertEqual(world.violations, [], seed)
            self.assertIn(Verdict.COMPLETED, world.verdicts["r"], seed)


class TestToldStartsInADeployment(LateCallCase):
    """The start has no answer, and a later lifetime of the runner carries it out."""

    def hold_start(self, seed, cut_seconds=0.0):
        """Lets the start have no answer, while its agent may be cut off from the entry `e1`."""
        world = self.build_world(seed)
        held = HeldCall(world, StartCall)
        self.submit(world)
        self.run_until(world, lambda: held.call)
        if cut_seconds:
            world.cut(held.agent, "e1", cut_seconds)
        world.run(0.4)
        return world, held

    def leave_for(self, world, held, entry):
        """Lets the caller ask another entry; the other targets have more room then."""
        world.drop_caller(next(iter(world.callers)))
        world.schedule(RESEND_DELAY_SECONDS, world.send_request, "r", entry)
        world.run(1.0)
        world.runners[held.agent].set_cpu(4000)
        world.report_now(held.agent)

    def deliver_at_birth(self, world, held):
        world.crash_runner(held.agent, down_seconds=DOWN_SECONDS)
        world.schedule(DOWN_SECONDS, held.deliver)

    # Guards against a run elsewhere that goes on, as its entry was out of reach of the target.
    def test_an_entry_that_is_told_late_has_the_task_stopped_elsewhere(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed, cut_seconds=2.5)
            self.leave_for(world, held, "e1")
            self.run_until(world, lambda world=world: find_runners(world))
            self.assertNotIn(held.agent, find_runners(world))
            self.run_until(
                world, lambda world=world, held=held: find_runners(world) == [held.agent]
            )
            self.deliver_at_birth(world, held)
            self.check(world, seed)

    # Guards against a start that is forgotten with the agent's lifetime that made it.
    def test_a_late_start_of_an_agent_that_has_restarted_since(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed)
            world.kill_agent(held.agent, down_seconds=0.2)
            self.leave_for(world, held, "e1")
            world.run(1.0)
            self.deliver_at_birth(world, held)
            self.check(world, seed)

    # Guards against entries that have started since, and were never told.
    def test_a_late_start_when_all_entries_have_restarted_since(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed)
            for entry in world.entries:
                world.kill_entry(entry, down_seconds=0.2)
            world.run(1.0)
            world.runners[held.agent].set_cpu(4000)
            world.report_now(held.agent)
            world.run(1.0)
            self.deliver_at_birth(world, held)
            self.check(world, seed)

    # Guards against a 503 ("never runs") to a request whose start, as its entry was told, may be
    # carried out late: it is, after the answer.
    def test_a_request_with_a_known_late_start_is_not_answered_as_never_run(self):
        for seed in SEEDS:
            world = self.build_world(seed)
            held = HeldCall(world, StartCall)
            self.submit(world, 0.5)
            self.run_until(world, lambda held=held: held.call)
            world.run(0.4)
            world.drop_caller(next(iter(world.callers)))
            world.schedule(RESEND_DELAY_SECONDS, world.send_request, "r", "e1")
            world.run(1.0)
            self.assertIn(TASK, world.entries["e1"].state.bindings, seed)
            world.runners[held.agent].set_cpu(0)
            world.report_now(held.agent)
            self.run_until(world, lambda world=world: world.verdicts["r"], 20.0)
            self.deliver_at_birth(world, held)
            self.run_until(world, lambda world=world: find_runners(world), 1.0)
            self.assertEqual(world.verdicts["r"][-1], Verdict.MAY_HAVE_RUN, seed)

    # Guards against a start that was told to all entries, and is known to none after its agent and
    # then the entries have restarted.
    def test_a_late_start_when_its_agent_and_then_all_entries_have_restarted(self):
        for seed in SEEDS:
            world, held = self.hold_start(seed)
            world.kill_agent(held.agent, down_seconds=0.2)
            world.run(0.3)
            for entry in world.entries:
                world.kill_entry(entry, down_seconds=0.2)
            world.run(2.0)
            self.deliver_at_birth(world, held)
            self.check(world, seed)

    # Guards against the same when the entry has no link to the target, as there are many.
    def test_a_late_start_at_a_target_without_a_link_to_the_next_entry(self):
        with mock.patch.multiple(subset, MIN_SUBSET_SIZE=2, ENTRIES_PER_AGENT=1):
            for seed in SEEDS:
                world = self.build_world(seed, entries=2, agents=12)
                held = HeldCall(world, StartCall)
                self.submit(world)
                self.run_until(world, lambda held=held: held.call)
                linked = world.entries["e1"].state.agents[held.agent].link_requested_at
                self.assertFalse(linked, "another seed is needed")
                world.run(0.4)
                self.leave_for(world, held, "e1")
                world.run(1.0)
                self.deliver_at_birth(world, held)
                self.check(world, seed)

    # Guards against the same when the agent has died before it could tell any entry.
    def test_a_late_start_of_an_agent_that_died_before_it_told_of_it(self):
        for seed in SEEDS:
            world = self.build_world(seed)
            held = HeldCall(world, StartCall)
            self.submit(world)
            self.run_until(world, lambda held=held: held.call)
            world.kill_agent(held.agent, down_seconds=0.2)
            self.leave_for(world, held, "e1")
            world.run(1.0)
            self.deliver_at_birth(world, held)
            self.check(world, seed)


if __name__ == "__main__":
    unittest.main()
