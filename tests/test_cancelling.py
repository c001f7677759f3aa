"""Jobs that are cancelled at any entry, in the simulated deployment."""

import unittest

from comfreysill.request.types import CancelOutcome, Verdict
from tests.platform_world import World

ENTRIES = ("e0", "e1", "e2")
SEEDS = range(3)


def build_world(seed=0):
    world = World(seed, entries=len(ENTRIES), agents=4)
    world.run(2.0)
    return world


def submit(world, entry, request_id="r", steps=4):
    world.submit(request_id, entry, tasks=2, seconds=1.0, cpu=500, steps=steps)


def get_outcomes(world, request_id="r"):
    return [outcome for _, outcome in world.cancel_replies.get(request_id, ())]


class TestAnswerOfTheSubmission(unittest.TestCase):
    """What the open POST of a cancelled job is answered, and what a repetition is."""

    # Guards against a job that is repeated by its sender and run again, as its POST was answered
    # 504 when the job was cancelled.
    def test_a_cancelled_job_is_not_run_again(self):
        for seed in SEEDS:
            for entry in ENTRIES:
                world = build_world(seed)
                submit(world, entry)
                world.run(0.5)
                world.cancel("r", entry)
                world.run(12.0)
                self.assertEqual(world.violations, [])
                self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED])
                self.assertEqual(get_outcomes(world), [CancelOutcome.ENDED])

    # Guards against a repetition that was sent before its sender could know of the cancelling.
    def test_a_repetition_of_a_cancelled_job_is_not_run(self):
        for repeated_at in ENTRIES:
            for pause in (0.0, 0.01, 1.3, 15.0, 100.0):
                world = build_world()
                submit(world, "e0")
                world.run(0.5)
                world.cancel("r", "e0")
                world.run(pause)
                starts = world.starts
                world.send_request("r", repeated_at)
                world.run(8.0)
                self.assertEqual(world.starts, starts, f"{repeated_at}, {pause} s")
                self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED] * 2)
