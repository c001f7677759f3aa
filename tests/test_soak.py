import asyncio
import unittest

from standins.soak import run_seed

# Seeds that once failed stand here for good, each with a line on its cause.
SEEDS = (11,)
SECONDS = 8.0


class TestSoak(unittest.TestCase):
    def test_short_seeded_run(self):
        for seed in SEEDS:
            problems = asyncio.run(run_seed(seed, SECONDS, entries=2, agents=3))
            self.assertEqual(problems, [], f"seed {seed}")
