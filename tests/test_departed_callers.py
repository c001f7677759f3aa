import unittest
from unittest import mock

from comfreysill.placement import claims
from comfreysill.request.types import Verdict
from tests.platform_world import NEVER, World
from tests.unclaimed import settle_at_once

WAIT_SECONDS = 1.5
# Longer than the pause after which callers send again, so that a run may meet the next one.
TASK_SECONDS = 1.45
PATH_DELAYS = (0.3, 1.0, 1.4, 2.0, 2.6, 2.75, 2.799, 3.5, 5.0)
END_DELAYS = (0.001, 0.5, 1.0, 1.2, 1.5, 2.5, NEVER)
SEEDS = range(3)


def kill_entry_at(name, at):
    return lambda world: world.schedule(at, world.kill_entry, name, 2.0)


def pause_entry_at(name, at):
    return lambda world: world.schedule(at, world.freeze, world.entries[name], 1.2)


def cut_entries(pair, both_ways):
    def cut(world):
        world.cut(*pair, 4.0)
        if both_ways:
            world.cut(*reversed(pair), 4.0)

    return cut


class TestDepartedCallers(unittest.TestCase):
    """Callers that have left their entry and ask another one, while the first one can't know it."""

    def play(self, seed, seconds=TASK_SECONDS, wait=WAIT_SECONDS, entries=3, jobs=12, disturb=None):
        """Plays jobs at all entries in turn; returns the world."""
        world = World(seed, entries=entries, agents=4)
        self.prepare(world)
        world.run(2.0)
        if disturb is not None:
            disturb(world)
        for number in range(jobs):
            entry = f"e{number % entries}"
            world.submit(f"r{number}", entry, tasks=2, seconds=seconds, cpu=500, wait=wait)
            world.run(0.15)
        world.run(16.0)
        return world

    def prepare(self, world):
        """Subclasses change the path between callers and entries."""

    def check(self, case, **options):
        for seed in SEEDS:
            world = self.play(seed, **options)
            self.assertEqual(world.violations, [], f"{case}, seed {seed}")


class TestBrokenConnections(TestDepartedCallers):
    """A connection breaks at its caller, and the entry is told of it late or never."""

    break_delay = 0.05
    end_delay = NEVER

    def prepare(self, world):
        broken = []

        def draw_break_delay():
            # Only the first connection of each job breaks.
            broken.append(world.now)
            return self.break_delay if len(broken) <= 12 else NEVER

        world.draw_break_delay = draw_break_delay
        world.draw_end_delay = lambda: self.end_delay

    # Guards against a run beside that of another entry, whose caller's connection broke without a
    # word to the first one.
    def test_a_connection_that_breaks_at_the_caller_alone(self):
        for self.end_delay in END_DELAYS:
            self.check(f"end told {self.end_delay} s late")

    # Guards against the same with runs that last much longer than the pause before the retry.
    def test_a_long_run_of_a_caller_that_waits_long(self):
        self.break_delay = 0.3
        for self.end_delay in END_DELAYS:
            self.check(f"end told {self.end_delay} s late", seconds=2.5, wait=6.0)

    def test_the_caller_gets_the_answer_of_the_run_in_progress(self):
        self.break_delay = 0.3
        # Also where the first entry learns that its caller has left once the second one has asked.
        for self.end_delay in (1.5, 2.0, NEVER):
            world = self.play(0, seconds=2.5, wait=6.0)
            verdicts = {verdict for row in world.verdicts.values() for verdict in row}
            self.assertEqual(verdicts, {Verdict.COMPLETED})
            # No task was started a second time.
            self.assertEqual(world.starts, 24, f"end told {self.end_delay} s late")

    # Guards against the same while an entry that has the request, or its claim, is in trouble.
    def test_a_connection_that_breaks_while_an_entry_is_killed_or_paused(self):
        for name in ("e0", "e1", "e2"):
            for at in (0.2, 0.8, 1.3, 1.6):
                self.check(f"{name} killed at {at} s", disturb=kill_entry_at(name, at))
                self.check(f"{name} paused at {at} s", disturb=pause_entry_at(name, at))

    # Guards against the same while two entries can't reach each other.
    def test_a_connection_that_breaks_while_two_entries_are_cut_off_from_each_other(self):
        for pair in (("e0", "e1"), ("e1", "e2"), ("e2", "e0")):
            self.check(f"{pair} cut", disturb=cut_entries(pair, both_ways=True))
            self.check(f"{pair} cut one way", disturb=cut_entries(pair, both_ways=False))


class TestSlowPaths(TestDepartedCallers):
    """What callers send to an entry comes late, as does the end of their connection."""

    delay = 0.0

    def prepare(self, world):
        world.draw_path_delay = lambda entry: self.delay if entry == "e0" else 0.0

    # Guards against a request that an entry takes for one sent just now, though its caller has left
    # and asks another one.
    def test_a_request_that_comes_late(self):
        for self.delay in PATH_DELAYS:
            self.check(f"{self.delay} s late")

    # Guards against the same where the end of the connection never comes.
    def test_a_request_that_comes_late_on_a_connection_that_never_ends(self):
        for self.delay in PATH_DELAYS:
            for seed in SEEDS:
                world = World(seed, entries=3, agents=4)
                self.prepare(world)
                world.draw_end_delay = lambda: NEVER
                world.run(2.0)
                for number in range(12):
                    entry = f"e{number % 3}"
                    world.submit(
                        f"r{number}",
                        entry,
                        tasks=2,
                        seconds=TASK_SECONDS,
                        cpu=500,
                        wait=WAIT_SECONDS,
                    )
                    world.run(0.15)
                world.run(16.0)
                self.assertEqual(world.violations, [], f"{self.delay} s late, seed {seed}")


class TestWithoutClaims(unittest.TestCase):
    """The tests above find the fault when claims are left out."""

    def count_violations(self, case):
        case.setUp()
        with mock.patch.object(claims, "_begin_claim", settle_at_once):
            return sum(len(case.play(seed).violations) for seed in SEEDS)

    def test_broken_connections_are_noticed(self):
        self.assertGreater(self.count_violations(TestBrokenConnections()), 0)

    def test_slow_paths_are_noticed(self):
        case = TestSlowPaths()
        case.delay = 2.0
        self.assertGreater(self.count_violations(case), 0)
