import os
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreysill.execution.calls import ReplyStatus, StopCall
from comfreysill.placement import subset
from comfreysill.request.types import Verdict
from tests.platform_world import CAPACITY, World

EXAMPLES = int(os.environ.get("FLOOR_EXAMPLES", "60"))
FAULTS = (
    "kill_entry",
    "kill_entry_silent",
    "kill_agent",
    "kill_agent_silent",
    "freeze_entry",
    "freeze_agent",
    "cut_both",
    "cut_to_agent",
    "cut_to_entry",
    "reset",
    "crash",
    "hang",
    "slow",
    "sound",
    "lose_calls",
    "keep_calls",
    "leave",
    "submit",
    "submit",
    "submit",
)
SPEEDS = {"hang": 0.0, "slow": 0.15, "sound": 1.0}
STEPS = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, 5),
        st.sampled_from([0.0, 0.02, 0.1, 0.3, 0.6, 1.0, 1.3, 2.0]),
    ),
    min_size=4,
    max_size=40,
)


def apply_fault(world, fault, number, seconds):
    entry = sorted(world.entries)[number % len(world.entries)]
    agent = sorted(world.agents)[number % len(world.agents)]
    if fault == "submit":
        key = f"r{len(world.requests)}"
        world.submit(key, entry, tasks=1 + number, seconds=0.1 + seconds, cpu=800 + 400 * number)
    elif fault.startswith("kill_entry"):
        world.kill_entry(entry, down=0.3 + seconds, silent=fault.endswith("silent"))
    elif fault.startswith("kill_agent"):
        world.kill_agent(agent, down=0.3 + seconds, silent=fault.endswith("silent"))
    elif fault == "freeze_entry":
        world.freeze(world.entries[entry], seconds)
    elif fault == "freeze_agent":
        world.freeze(world.agents[agent], seconds)
    elif fault == "reset":
        world.drop_link(entry, agent)
    elif fault == "crash":
        world.crash_runner(agent, down=seconds)
    elif fault == "lose_calls":
        world.lost_calls = 0.1
    elif fault == "keep_calls":
        world.lost_calls = 0.0
    elif fault in SPEEDS:
        world.set_speed(agent, SPEEDS[fault])
    elif fault == "leave":
        if world.callers:
            world.leave(sorted(world.callers)[number % len(world.callers)])
    else:
        if fault in ("cut_both", "cut_to_agent"):
            world.cut(entry, agent, seconds)
        if fault in ("cut_both", "cut_to_entry"):
            world.cut(agent, entry, seconds)


class TestFloorUnderFaults(unittest.TestCase):
    @settings(max_examples=EXAMPLES, deadline=None, derandomize=EXAMPLES == 60)
    @given(STEPS, st.integers(0, 1000))
    def test_never_twice_never_beyond_room(self, steps, seed):
        self.play(World(seed), steps)

    @settings(max_examples=EXAMPLES // 2, deadline=None, derandomize=EXAMPLES == 60)
    @given(STEPS, st.integers(0, 1000))
    def test_the_same_with_panels_that_change(self, steps, seed):
        with mock.patch.multiple(
            subset, MIN_SUBSET_SIZE=2, ENTRIES_PER_AGENT=1, AGENT_REPLACEMENT_SECONDS=0.3
        ):
            self.play(World(seed, entries=3, agents=6), steps)

    def play(self, world, steps):
        world.run(2.0)
        for fault, number, pause in steps:
            apply_fault(world, fault, number, pause)
            world.run(0.05 + pause / 2)
        world.lost_calls = 0.0
        for agent in world.agents:
            world.set_speed(agent, 1.0)
        world.run(14.0)
        self.assertEqual(world.violations, [])
        left = {key for key, _ in world.callers.values()}
        self.assertEqual(left, set(), "callers without a verdict after the floor is calm")


class TestFloorFindings(unittest.TestCase):
    """Cases that once failed."""

    def play(self, steps, seconds=12.0):
        world = World(0)
        world.run(2.0)
        for fault, number, pause in steps:
            apply_fault(world, fault, number, pause)
            world.run(0.05 + pause / 2)
        world.run(seconds)
        self.assertEqual(world.violations, [])
        return world

    def test_a_task_that_was_lost_on_every_target_is_placed_again(self):
        steps = [
            ("submit", 1, 0.0),
            ("kill_agent", 0, 2.0),
            ("freeze_entry", 1, 0.6),
            ("kill_entry", 0, 0.0),
            ("crash", 2, 0.1),
        ]
        self.assertEqual(self.play(steps).callers, {})

    def test_runs_of_a_dead_entry_are_gone_before_its_callers_come_again(self):
        for seed in range(10):
            world = World(seed)
            world.run(2.0)
            world.submit("r", "e0", tasks=4, seconds=4.0)
            world.run(0.5)
            world.kill_entry("e0", down=6.0, silent=True)
            world.run(9.0)
            self.assertEqual(world.violations, [])
            self.assertEqual(world.verdicts["r"], [Verdict.COMPLETED])

    def test_runs_of_a_dead_agent_are_gone_before_they_start_elsewhere(self):
        for seed in range(10):
            world = World(seed)
            world.run(2.0)
            world.submit("r", "e0", tasks=4, seconds=3.0)
            world.run(0.5)
            for agent in world.agents:
                world.kill_agent(agent, down=4.0, silent=seed % 2 == 0)
            world.run(12.0)
            self.assertEqual(world.violations, [])
            self.assertEqual(world.verdicts["r"], [Verdict.COMPLETED])

    def test_a_stop_that_is_lost_is_repeated(self):
        world = World(0)
        world.run(2.0)
        lost = []
        for runner in world.runners.values():
            runner.carry_out = self.lose_first_stop(runner.carry_out, lost)
        world.submit("r", "e0", tasks=2, seconds=8.0)
        world.run(0.5)
        world.leave(next(iter(world.callers)))
        world.run(1.0)
        self.assertTrue(lost)
        self.assertEqual({world.measure_room(name) for name in world.agents}, {CAPACITY})

    def lose_first_stop(self, carry_out, lost):
        def carry(call, now):
            if isinstance(call, StopCall) and call.task not in lost:
                lost.append(call.task)
                return ReplyStatus.UNANSWERED
            return carry_out(call, now)

        return carry

    def test_a_run_that_stands_still_is_moved(self):
        world = World(0)
        world.run(2.0)
        for agent in ("a0", "a1"):
            world.set_speed(agent, 0.0)
        world.submit("r", "e0", tasks=6)
        world.run(3.0)
        self.assertEqual(world.verdicts["r"], [Verdict.COMPLETED])
        self.assertEqual(world.violations, [])

    def test_a_target_that_turns_slow_loses_its_long_runs(self):
        world = World(0)
        world.run(2.0)
        for number in range(8):
            world.submit(f"w{number}", "e0", tasks=6, seconds=0.1)
            world.run(0.5)
        world.set_speed("a0", 0.1)
        world.submit("r", "e0", tasks=18, seconds=1.0)
        world.run(3.5)
        self.assertEqual(world.verdicts["r"], [Verdict.COMPLETED])


class TestCalmFloor(unittest.TestCase):
    def test_requests_complete(self):
        world = World(1)
        world.run(2.0)
        for number in range(20):
            world.submit(f"r{number}", f"e{number % 2}")
            world.run(0.05)
        world.run(5.0)
        self.assertEqual(
            world.verdicts, {f"r{number}": [Verdict.COMPLETED] for number in range(20)}
        )
        self.assertEqual(world.starts, 60)
        self.assertEqual({world.measure_room(name) for name in world.agents}, {CAPACITY})

    def test_repetition_joins_and_gets_the_same_verdict(self):
        world = World(1)
        world.run(2.0)
        world.submit("r", "e0")
        world.run(0.1)
        world.submit("r", "e0")
        world.run(2.0)
        world.submit("r", "e0")
        world.run(0.1)
        self.assertEqual(world.verdicts["r"], [Verdict.COMPLETED] * 3)
        self.assertEqual(world.starts, 3)

    def test_failing_tasks_end_as_failed_after_their_attempts(self):
        world = World(1)
        world.run(2.0)
        for runner in world.runners.values():
            runner.fails = True
        world.submit("r", "e0", tasks=1)
        world.run(3.0)
        self.assertEqual(world.verdicts["r"], [Verdict.FAILED])
        self.assertEqual(world.starts, 2)
