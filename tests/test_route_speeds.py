"""Learned run times by route: what an agent tells, and what an entry makes of it."""

import unittest

from comfreysill.exchange.messages import Load
from comfreysill.exchange.speeds import RouteSpeed
from comfreysill.execution.health import record_success
from comfreysill.execution.route_speeds import (
    MAX_ROUTES,
    MAX_TOLD_AGE_SECONDS,
    MIN_TOLD_SAMPLES,
    list_told_routes,
    record_route,
)
from comfreysill.execution.state import AgentState
from comfreysill.placement.run_times import get_route_factor


def build_load(factor, samples=1000, age=0.0):
    speed = RouteSpeed(route="q", factor=factor, samples=samples, age=age)
    return Load(
        accepting=True, cpu=1, memory_mb=1, gpus=0, slowness=1.0, isolating=False, routes=(speed,)
    )


class TestAgent(unittest.TestCase):
    def test_a_route_that_takes_twice_as_long_is_told_once_it_is_sure(self):
        agent = AgentState(agent="a", lifetime="1", zone="z", token=1)
        for _ in range(MIN_TOLD_SAMPLES - 1):
            record_success(agent, 0.2, 0.1, "slow", 10.0)
            for _ in range(9):
                record_success(agent, 0.1, 0.1, "usual", 10.0)
        self.assertEqual(list_told_routes(agent.route_speeds, 10.0), ())
        for _ in range(100):
            record_success(agent, 0.2, 0.1, "slow", 11.0)
            for _ in range(9):
                record_success(agent, 0.1, 0.1, "usual", 11.0)
        (told,) = list_told_routes(agent.route_speeds, 11.5)
        self.assertEqual((told.route, told.age), ("slow", 0.5))
        self.assertAlmostEqual(told.factor, 1.8, delta=0.15)
        self.assertEqual(list_told_routes(agent.route_speeds, 12.0 + MAX_TOLD_AGE_SECONDS), ())

    def test_a_target_that_turns_slow_says_nothing_of_its_routes(self):
        agent = AgentState(agent="a", lifetime="1", zone="z", token=1)
        for seconds in [0.1] * 50 + [0.4] * 200:
            record_success(agent, seconds, 0.1, "q", 10.0)
            record_success(agent, seconds, 0.1, "p", 10.0)
        self.assertEqual(list_told_routes(agent.route_speeds, 10.0), ())
        self.assertGreater(agent.slowness, 3.5)

    def test_records_are_bounded(self):
        records = {}
        for number in range(2 * MAX_ROUTES):
            record_route(records, f"q{number}", 2.0, 10.0 + number)
        self.assertEqual(len(records), MAX_ROUTES)
        self.assertIn(f"q{2 * MAX_ROUTES - 1}", records)


class TestEntry(unittest.TestCase):
    def test_a_factor_counts_as_far_as_it_is_sure(self):
        sure = get_route_factor(build_load(2.0), "q")
        unsure = get_route_factor(build_load(2.0, samples=8), "q")
        old = get_route_factor(build_load(2.0, age=90.0), "q")
        self.assertAlmostEqual(sure, 2.0, delta=0.02)
        self.assertLess(unsure, 1.5)
        self.assertLess(old, 1.1)
        self.assertEqual(get_route_factor(build_load(2.0), "other"), 1.0)

    def test_odd_factors_are_bounded(self):
        """Guards against an agent that tells of impossible run times."""
        factors = [get_route_factor(build_load(factor), "q") for factor in (0.0, 1e-9, 1e9)]
        self.assertEqual(factors[0], 1.0)
        self.assertGreater(factors[1], 0.2)
        self.assertLess(factors[2], 4.1)
