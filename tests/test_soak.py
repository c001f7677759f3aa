import asyncio
import unittest

from standins.soak import run_seed

# Seeds of failures found are added here, each with a line on the cause.
SEEDS = (11,)
SOAK_SECONDS = 8.0


class TestSoak(unittest.TestCase):
    def test_short_seeded_run(self):
        for seed in SEEDS:
            problems = asyncio.run(run_seed(seed, SOAK_SECONDS, entries=2, agents=3))
            self.assertEqual(problems, [], f"seed {seed}")
