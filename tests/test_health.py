"""Health of a target: what run times say about its slowness."""

import unittest

from comfreysill.execution.health import record_success
from comfreysill.execution.state import AgentState


class TestSlowness(unittest.TestCase):
    def setUp(self):
        self.agent = AgentState(agent="agent-0", lifetime="1", zone="z", token=1)

    def record(self, estimate, count=100):
        for number in range(count):
            record_success(self.agent, 0.02, estimate, "r", float(number))

    # Guards against callers who declare no run time, so that jobs of others, which do, are refused
    # because the target seems too slow for them.
    def test_tasks_without_an_estimate_do_not_make_a_target_seem_slow(self):
        self.record(0.0)
        self.assertEqual(self.agent.slowness, 1.0)
        self.record(0.02)
        self.assertAlmostEqual(self.agent.slowness, 1.0, places=1)
        self.record(0.0)
        self.assertAlmostEqual(self.agent.slowness, 1.0, places=1)

    def test_a_slow_target_seems_slow(self):
        self.record(0.005)
        self.assertAlmostEqual(self.agent.slowness, 4.0, places=1)

    def test_a_success_without_an_estimate_ends_a_probe(self):
        self.agent.probing = True
        self.record(0.0, count=1)
        self.assertFalse(self.agent.probing)


if __name__ == "__main__":
    unittest.main()
