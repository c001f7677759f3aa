"""Waits for places near the data: what they are worth, how they end, and whom they leave alone."""

import unittest

from comfreysill.execution.health import record_success
from comfreysill.execution.state import AgentState
from comfreysill.placement.queue import rank_demand
from comfreysill.placement.waits import count_waiting
from comfreysill.request.types import Step, compute_later_path
from comfreysill.waits.decision import Prospect, choose_wait, limit_wait
from comfreysill.waits.forecast import KnownRun, TargetUse, forecast_waits
from comfreysill.waits.ledger import NearWait, WaitLedger, close_wait, get_ratio
from standins.place_waits import WAYS, always_wait, list_scenarios
from standins.rack_loads import (
    SLOTS,
    Play,
    Scenario,
    advance,
    count_on_time,
    get_counter,
    link_targets,
    lose_rack,
    play,
    submit,
)

# Of the requests on time with the better of no wait and an endless one.
MIN_SHARE_OF_BETTER = 0.95
SEEDS = (1, 2)


def build_prospect(**changes):
    fields = {
        "pending": 1,
        "near_waits": [0.05],
        "near_seconds": 0.1,
        "far_seconds": 0.3,
        "task_count": 1,
        "others_end_in": 0.0,
        "remaining_seconds": 0.22,
        "objective_seconds": 0.22,
        "declared_seconds": 0.16,
        "used_share": 0.5,
        "spread": 0.5,
    }
    return Prospect(**{**fields, **changes})


class TestChoice(unittest.TestCase):
    def test_a_short_wait_beats_a_far_run_that_is_late(self):
        self.assertEqual(choose_wait(build_prospect(used_share=0.0)).count, 1)

    def test_a_far_run_on_time_beats_a_long_wait_while_room_is_free(self):
        prospect = build_prospect(near_waits=[0.3], far_seconds=0.15, used_share=0.2)
        self.assertEqual(choose_wait(prospect).count, 0)

    def test_a_full_deployment_leaves_no_room_to_far_runs(self):
        prospect = build_prospect(near_waits=[0.08], far_seconds=0.15, used_share=0.95)
        self.assertEqual(choose_wait(prospect).count, 1)

    def test_tasks_that_find_no_room_near_in_time_start_far(self):
        prospect = build_prospect(
            pending=4,
            near_waits=[0.01, 0.01, 0.5, 0.5],
            far_seconds=0.15,
            task_count=4,
            used_share=0.45,
        )
        self.assertEqual(choose_wait(prospect).count, 2)

    def test_a_task_whose_step_runs_on_anyway_waits_for_free(self):
        common = {
            "task_count": 8,
            "near_waits": [0.085],
            "far_seconds": 0.11,
            "used_share": 0.9,
            "remaining_seconds": 0.4,
            "objective_seconds": 0.4,
        }
        alone = build_prospect(**common)
        beside = build_prospect(**common, others_end_in=0.2)
        self.assertEqual([choose_wait(alone).count, choose_wait(beside).count], [0, 1])

    def test_a_wait_ends_while_a_far_start_can_be_on_time(self):
        ends = [limit_wait(build_prospect(far_seconds=0.12, spread=s), 0.05) for s in (0.0, 0.99)]
        self.assertLess(0.05, ends[0])
        self.assertLess(ends[0], ends[1])
        self.assertLessEqual(ends[1], 0.22 - 0.12)


class TestLaterSteps(unittest.TestCase):
    def test_steps_that_follow_need_their_time(self):
        """Guards against waits of a first step that leave no time to the next ones."""
        chains = ((), (0,), (1,), (0,))
        estimates = (0.1, 0.2, 0.4, 0.5)
        steps = tuple(
            Step(count=1, cpu=1, memory_mb=1, estimate=seconds, after=after)
            for seconds, after in zip(estimates, chains, strict=True)
        )
        paths = [round(compute_later_path(steps, number), 3) for number in range(4)]
        self.assertEqual(paths, [0.6, 0.4, 0.0, 0.0])


class TestForecast(unittest.TestCase):
    def test_room_comes_with_the_ends_of_known_and_other_runs(self):
        runs = [KnownRun(cpu=1000, started_at=9.9, ends_at=10.2)]
        target = TargetUse(free_cpu=0, runs=runs, other_cpu=1000, task_seconds=0.3)
        waits = forecast_waits([target], 1000, 1, 2, 10.0)
        self.assertEqual([round(wait, 3) for wait in waits], [0.2, 0.45])

    def test_a_run_that_should_have_ended_is_not_expected_at_once(self):
        runs = [KnownRun(cpu=1000, started_at=9.0, ends_at=9.5)]
        target = TargetUse(free_cpu=0, runs=runs, other_cpu=0, task_seconds=0.3)
        self.assertEqual(forecast_waits([target], 1000, 0, 1, 10.0), [0.25])

    def test_targets_that_are_too_small_give_no_forecast(self):
        target = TargetUse(free_cpu=0, runs=[], other_cpu=500, task_seconds=0.3)
        self.assertEqual(forecast_waits([target], 1000, 0, 1, 10.0), [])

    def test_errors_are_learned_and_forgotten(self):
        ledger = WaitLedger()
        for paid in (True, False):
            wait = NearWait(
                rack="r",
                count=1,
                cpu=1,
                due_at=0.0,
                priority=0,
                decided_at=10.0,
                forecast_at=10.1,
                ends_at=11.0,
            )
            close_wait(ledger, wait, paid, 10.4)
        ratio = get_ratio(ledger, "r", 0, 10.4)
        self.assertGreater(ratio, 1.5)
        self.assertLess(get_ratio(ledger, "r", 0, 40.4), 1.1)
        self.assertEqual(get_ratio(ledger, "r", 1, 10.4), 1.0)


class TestWaits(unittest.TestCase):
    def setUp(self):
        self.run = Play(scenario=Scenario(load=0.0, remote_factor=3.0), entries=1)
        self.state = self.run.entries[0]
        link_targets(self.run)
        advance(self.run, 0.01)

    def fill_hot_rack(self, seconds):
        """Fills the first rack with runs of a time, half of which are on each of its targets."""
        for _ in range(2):
            submit(self.run, 0, tasks=SLOTS, seconds=seconds, rack="r0")
        advance(self.run, 0.01)

    def list_places(self, request_id):
        """Returns the racks on which tasks of a request are placed."""
        request = self.state.requests.get(request_id)
        names = [task.agent for task in request.placed.values()] if request else []
        return {self.run.targets[name].rack for name in names}

    def test_a_task_waits_for_room_near_and_gets_it(self):
        self.fill_hot_rack(0.1)
        request_id = submit(self.run, 0, tasks=2, seconds=0.3, rack="r0")
        self.assertEqual(self.list_places(request_id), set())
        advance(self.run, 0.15)
        self.assertEqual(self.list_places(request_id), {"r0"})
        self.assertEqual(get_counter(self.run, "waits_paid"), 1)

    def test_tasks_that_got_near_room_do_not_wait_any_more(self):
        """Guards against a wait that held back as many tasks as before once some were placed."""
        self.state.waits.choose = always_wait
        submit(self.run, 0, tasks=SLOTS, seconds=0.4, rack="r0")
        submit(self.run, 0, tasks=SLOTS - 2, seconds=0.4, rack="r0")
        submit(self.run, 0, tasks=2, seconds=0.1, rack="r0")
        advance(self.run, 0.01)
        request_id = submit(self.run, 0, tasks=4, seconds=0.3, rack="r0")
        request = self.state.requests[request_id]
        self.assertEqual(count_waiting(self.state, request, 0), 4)
        advance(self.run, 0.12)
        self.assertEqual(len(request.placed), 2)
        self.assertEqual(count_waiting(self.state, request, 0), 2)
        self.assertEqual(get_counter(self.run, "waits_paid"), 0)
        advance(self.run, 0.4)
        self.assertEqual(get_counter(self.run, "waits_paid"), 1)

    def test_a_wait_ends_at_its_deadline(self):
        """Guards against tasks that wait without an end as forecasts slip."""
        self.fill_hot_rack(0.1)
        request_id = submit(self.run, 0, tasks=2, seconds=0.3, rack="r0")
        wait = self.state.waits.waits[request_id, 0]
        for target in self.run.targets.values():
            if target.rack == "r0":
                # None of the runs there ends.
                target.alive = False
        far = self.state.remote_factor
        self.state.requests[request_id].due_at = self.run.now + 0.3 * far + 0.15
        wait.ends_at = self.run.now + 0.1
        advance(self.run, 0.09)
        self.assertEqual(self.list_places(request_id), set())
        advance(self.run, 0.1)
        self.assertTrue(self.list_places(request_id))
        self.assertNotIn("r0", self.list_places(request_id))
        self.assertEqual(get_counter(self.run, "waits_unpaid"), 1)

    def test_tasks_start_elsewhere_at_once_when_their_rack_is_lost(self):
        self.fill_hot_rack(0.1)
        request_id = submit(self.run, 0, tasks=2, seconds=0.3, rack="r0")
        self.assertEqual(self.list_places(request_id), set())
        lose_rack(self.run, "r0")
        advance(self.run, 0.02)
        self.assertEqual(len(self.state.requests[request_id].placed), 2)

    def test_waiting_tasks_hold_up_no_others(self):
        """Guards against a convoy: a pass gave up after 24 requests that were not placed."""
        self.state.waits.choose = always_wait
        self.fill_hot_rack(0.4)
        for _ in range(30):
            submit(self.run, 0, tasks=1, seconds=0.5, rack="r0")
        self.assertEqual(len(self.state.waits.waits), 30)
        request_id = submit(self.run, 0, tasks=8, seconds=0.1, rack="r1", priority=2)
        self.assertEqual(self.list_places(request_id), {"r1"})
        other_id = submit(self.run, 0, tasks=8, seconds=0.1, rack="", priority=2)
        self.assertEqual(len(self.state.requests[other_id].placed), 8)

    def test_a_request_without_a_rack_never_waits(self):
        self.fill_hot_rack(0.4)
        for _ in range(40):
            submit(self.run, 0, tasks=4, seconds=0.3, rack="")
        advance(self.run, 0.3)
        self.assertEqual(get_counter(self.run, "waits_begun"), 0)
        self.assertEqual(get_counter(self.run, "tasks_placed_far"), 0)

    def test_the_waits_of_ended_requests_are_forgotten(self):
        self.state.waits.choose = always_wait
        self.fill_hot_rack(0.4)
        submit(self.run, 0, tasks=2, seconds=0.5, rack="r0")
        self.assertTrue(self.state.waits.waits)
        advance(self.run, 6.0)
        self.assertEqual(self.state.waits.waits, {})
        self.assertEqual(rank_demand(self.state), 0)


class TestLearnedSpeed(unittest.TestCase):
    def test_far_runs_do_not_make_a_target_look_slow(self):
        """Guards against learned speeds spoiled by runs that took longer for their place."""
        run = Play(scenario=Scenario(load=0.0, remote_factor=3.0), entries=1)
        link_targets(run)
        lose_rack(run, "r0")
        for _ in range(40):
            submit(run, 0, tasks=2, seconds=0.05, rack="r0")
            advance(run, 0.2)
        slownesses = [target.health.slowness for target in run.targets.values()]
        self.assertGreater(get_counter(run, "tasks_placed_far"), 70)
        self.assertLess(max(slownesses), 1.05)

    def test_the_same_runs_without_their_factor_would(self):
        health = AgentState(agent="a", lifetime="1", zone="z", token=1)
        for _ in range(10):
            record_success(health, 0.15, 0.05, "q", 10.0)
        self.assertGreater(health.slowness, 2.0)


class TestLoads(unittest.TestCase):
    """Callers lose nothing to the better of two simpler ways, whatever the load is."""

    def check(self, part):
        plays = [list_scenarios(4.0, seed) for seed in SEEDS]
        for name in plays[0]:
            # `python -m standins.place_waits` plays the others as well.
            if not name.startswith(part) or (part != "hot rack" and "0.95" not in name):
                continue
            on_time = {
                way: sum(count_on_time(play(scenarios[name], WAYS[way])) for scenarios in plays)
                for way in ("none", "endless", "decided")
            }
            better = max(on_time["none"], on_time["endless"])
            self.assertGreaterEqual(on_time["decided"], MIN_SHARE_OF_BETTER * better, name)

    def test_a_hot_rack(self):
        self.check("hot rack")

    def test_racks_of_unlike_speed(self):
        self.check("slow hot rack")
        self.check("fast hot rack")

    def test_declared_run_times_that_are_off_by_two(self):
        self.check("declared")

    def test_a_rack_lost_during_the_waits(self):
        self.check("rack lost")
