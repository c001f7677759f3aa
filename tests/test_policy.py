import unittest

from comfreysill.dispatch import queue as queues
from comfreysill.dispatch.baselines import choose_placement
from comfreysill.dispatch.cancellations import request_wave
from comfreysill.dispatch.estimate import RunTimeEstimates, estimate_task, learn_run_time
from comfreysill.dispatch.placement import place_by_finish
from comfreysill.dispatch.reservations import Demand, record_started_work, reserve_slots
from comfreysill.dispatch.starts import _list_available_targets
from comfreysill.job.job import Job
from comfreysill.job.types import JobKey, Submission, TaskClass, TaskSpec
from comfreysill.target.frames import Load
from comfreysill.target.messages import (
    Outcome,
)
from comfreysill.target.view import Registration, Target, record_failure
from tests.test_takeover import advance_world, count_starts, finish_all, make_job, submit
from tests.world import SERVICE, World, make_key


def make_target(name, slowness=1.0, slots=8, running=0):
    registration = Registration(
        agent=name,
        incarnation=name,
        host="h",
        port=1,
        zone="z",
        services=frozenset({"s"}),
        revision=1,
    )
    target = Target(registration=registration, now=0.0, cycle=0)
    target.handshake_done = True
    target.slowness = slowness
    target.load = Load(
        slots=slots,
        queue_limit=slots,
        running=running,
        queued=0,
        active=(0, 0, running),
        draining=False,
        floor_version=0,
    )
    return target


def make_queued_job(
    number, team="t", task_class=TaskClass.NORMAL, size=1, run_time=1.0, deadline=9.0
):
    submission = Submission(
        key=JobKey(team=team, job_id=f"j{number}"),
        digest=b"",
        task_class=task_class,
        deadline=deadline,
        service="s",
        tasks=tuple(TaskSpec(payload=b"", run_time=run_time) for _ in range(size)),
    )
    return Job(submission=submission, partition=0, admitted_at=0.0, expires_at=99.0)


class QueueTest(unittest.TestCase):
    def serve(self, queue, turns, weights=None):
        served = []
        for _ in range(turns):
            job = queues.choose_job(queue)
            if job is None:
                break
            job.pending.popleft()
            weight = (weights or {}).get(job.key.team, 1.0)
            queues.charge_job(queue, job, 1.0, weight)
            served.append(job)
        return served

    def test_urgent_class_has_priority_without_starving_bulk(self):
        queue = queues.ServiceQueue()
        for task_class in TaskClass:
            queues.push_job(
                queue, make_queued_job(task_class, task_class=task_class, size=1000), 9.0
            )
        served = self.serve(queue, 160)
        counts = [sum(j.submission.task_class == c for j in served) for c in TaskClass]
        # Each 16th of the 160 turns begins with the bulk class.
        self.assertEqual(counts, [150, 0, 10])

    def test_teams_share_by_weight(self):
        queue = queues.ServiceQueue()
        for team in ("a", "b"):
            queues.push_job(queue, make_queued_job(1, team=team, size=1000), 9.0)
        served = self.serve(queue, 400, {"a": 3.0})
        share = sum(job.key.team == "a" for job in served)
        self.assertAlmostEqual(share / 400, 0.75, delta=0.02)

    def test_idle_team_accrues_no_credit(self):
        queue = queues.ServiceQueue()
        queues.push_job(queue, make_queued_job(1, team="a", size=1000), 9.0)
        self.serve(queue, 100)
        queues.push_job(queue, make_queued_job(2, team="b", size=1000), 9.0)
        served = self.serve(queue, 100)
        share = sum(job.key.team == "b" for job in served)
        self.assertLessEqual(share, 52)

    def test_earlier_due_job_starts_first_within_a_team(self):
        queue = queues.ServiceQueue()
        queues.push_job(queue, make_queued_job(1), 20.0)
        queues.push_job(queue, make_queued_job(2), 10.0)
        self.assertEqual(self.serve(queue, 1)[0].key.job_id, "j2")

    def test_short_job_is_due_first_until_a_long_one_has_waited(self):
        short, long = make_queued_job(1, deadline=99.0), make_queued_job(2, deadline=99.0)
        self.assertLess(queues.compute_due_time(short, 0.1), queues.compute_due_time(long, 2.0))
        short.admitted_at = 6.0
        self.assertGreater(queues.compute_due_time(short, 0.1), queues.compute_due_time(long, 2.0))

    def test_due_time_is_bounded_by_the_deadline(self):
        self.assertEqual(queues.compute_due_time(make_queued_job(1, deadline=3.0), 100.0), 3.0)


class PlacementTest(unittest.TestCase):
    def test_batch_is_placed_on_the_fastest_target(self):
        fast, slow = make_target("fast", 0.5), make_target("slow", 2.0)
        placed = place_by_finish([slow, fast], 6, 1.0, lambda target: 8)
        self.assertEqual([(t.name, n) for t, n in placed], [("fast", 6)])

    def test_queueing_on_a_fast_target_is_preferred_to_a_slow_one(self):
        fast, slow = make_target("fast", 0.5, running=8), make_target("slow", 2.0)
        placed = place_by_finish([slow, fast], 1, 1.0, lambda target: 2)
        self.assertEqual(placed[0][0].name, "fast")

    def test_failing_target_is_avoided(self):
        good, bad = make_target("good"), make_target("bad", 0.9)
        bad.failures = 2
        placed = place_by_finish([bad, good], 1, 1.0, lambda target: 8)
        self.assertEqual(placed[0][0].name, "good")

    def test_baselines_fill_all_free_slots(self):
        targets = [make_target(name, slots=2) for name in "abc"]
        for name in ("random", "round-robin", "least-loaded", "finish"):
            place = choose_placement(name, lambda: 0.5)
            placed = place(targets, 9, 1.0, lambda target: 2)
            self.assertEqual(sum(amount for _, amount in placed), 6, name)


class ReservationTest(unittest.TestCase):
    def setUp(self):
        self.targets = [make_target("fast", 0.5), make_target("slow", 2.0)]
        self.demand = Demand()
        for second in range(30):
            record_started_work(self.demand, TaskClass.URGENT, 4.0, float(second))

    def test_fastest_slots_are_reserved_for_measured_demand(self):
        reserved = reserve_slots(self.demand, self.targets, TaskClass.BULK, 0.0, 1, 30.0)
        self.assertGreaterEqual(reserved["fast"], 2)
        self.assertNotIn("slow", reserved)

    def test_no_slots_are_reserved_against_the_most_urgent_class(self):
        self.assertEqual(
            reserve_slots(self.demand, self.targets, TaskClass.URGENT, 0.0, 1, 30.0), {}
        )

    def test_reservation_decays_after_urgent_work_ends(self):
        reserved = reserve_slots(self.demand, self.targets, TaskClass.BULK, 0.0, 1, 90.0)
        self.assertLessEqual(sum(reserved.values()), 1)

    def test_margin_shrinks_with_waiting(self):
        reserved_without_wait = reserve_slots(
            self.demand, self.targets, TaskClass.BULK, 0.0, 1, 30.0
        )
        reserved_after_wait = reserve_slots(
            self.demand, self.targets, TaskClass.BULK, 99.0, 1, 30.0
        )
        self.assertLess(reserved_after_wait["fast"], reserved_without_wait["fast"])


class EstimateTest(unittest.TestCase):
    def test_mean_replaces_declared_times_that_are_off_by_a_factor_of_ten(self):
        estimates = RunTimeEstimates()
        for number in range(40):
            declared = 0.5 * (10 if number % 2 else 0.1)
            learn_run_time(estimates, make_queued_job(number, run_time=declared).submission, 0, 0.5)
        misdeclared = make_queued_job(99, run_time=5.0)
        self.assertAlmostEqual(estimate_task(estimates, misdeclared.submission, 0), 0.5, delta=0.1)

    def test_proportional_declared_times_are_scaled_by_the_ratio(self):
        estimates = RunTimeEstimates()
        for number in range(40):
            declared = 0.1 + 0.05 * (number % 10)
            learn_run_time(
                estimates, make_queued_job(number, run_time=declared).submission, 0, 2 * declared
            )
        self.assertAlmostEqual(
            estimate_task(estimates, make_queued_job(99, run_time=0.3).submission, 0),
            0.6,
            delta=0.05,
        )


class DispatcherTest(unittest.TestCase):
    def test_at_most_a_third_of_the_targets_is_ejected(self):
        world = World(entries=1, agents=4)
        advance_world(world)
        state = world.entries["e1"].state
        for target in state.targets.values():
            for _ in range(4):
                record_failure(target, world.now)
        self.assertEqual(len(_list_available_targets(state, SERVICE, world.now)), 3)

    def test_target_with_only_failures_gets_few_tasks(self):
        world = World(entries=1, agents=4)
        advance_world(world)
        for number in range(40):
            job = make_job(world, make_key(number), seconds_to_deadline=60.0, idempotent=True)
            submit(world, "e1", job)
            world.deliver_all()
            for name, agent in world.agents.items():
                while agent.running:
                    world.finish(name, 0, Outcome.FAILED if name == "a0" else Outcome.DONE)
                    world.deliver_all()
        advance_world(world, 1.0)
        complete = sum(answer.complete for answer in world.oracle.answers.values())
        self.assertEqual(complete, 40)
        retried = world.entries["e1"].state.counters["tasks_failed_retried"]
        self.assertLessEqual(retried, 8)

    def test_cancel_wave_affects_only_its_team_and_class(self):
        world = World(entries=2, agents=2)
        advance_world(world)
        for number in range(3):
            submit(world, "e1", make_job(world, make_key(number), size=4, seconds_to_deadline=60.0))
        world.deliver_all()
        for entry in world.entries.values():
            request_wave(entry.state, "other", None, world.now)
            cancelled = request_wave(entry.state, "t", TaskClass.BULK, world.now)
            self.assertEqual(cancelled, 0)
        started = sum(count_starts(world, make_key(number)) for number in range(3))
        world._run(
            world.entries["e1"], lambda now: request_wave(world.entries["e1"].state, "t", None, now)
        )
        for _ in range(4):
            advance_world(world, 0.25)
            finish_all(world)
        started_after = sum(count_starts(world, make_key(number)) for number in range(3))
        self.assertEqual(started_after, started)
        self.assertEqual(len(world.oracle.answers), 3)

    def test_job_that_cannot_meet_its_deadline_is_refused_as_not_run(self):
        world = World(entries=1, agents=2)
        advance_world(world)
        job = make_job(world, make_key(1), seconds_to_deadline=0.04)
        caller = submit(world, "e1", job)
        world.deliver_all()
        answer = world.oracle.answers[caller]
        self.assertEqual((answer.reason.name, answer.verdict.name), ("UNMEETABLE", "NOT_RUN"))

    def test_job_that_would_wait_past_its_deadline_is_refused(self):
        world = World(entries=1, agents=1)
        advance_world(world)
        for number in range(6):
            submit(world, "e1", make_job(world, make_key(number), size=2, seconds_to_deadline=60.0))
        late_job = make_job(world, make_key(10), seconds_to_deadline=0.2)
        caller = submit(world, "e1", late_job)
        world.deliver_all()
        answer = world.oracle.answers[caller]
        self.assertEqual((answer.reason.name, answer.verdict.name), ("QUEUE_FULL", "NOT_RUN"))
        self.assertGreater(answer.retry_at, world.now)

    def test_backlog_returns_to_zero(self):
        world = World(entries=1, agents=1)
        advance_world(world)
        for number in range(3):
            submit(world, "e1", make_job(world, make_key(number), size=3, seconds_to_deadline=60.0))
        for _ in range(12):
            advance_world(world, 0.25)
            finish_all(world)
        backlog = world.entries["e1"].state.backlogs[SERVICE]
        self.assertAlmostEqual(sum(backlog), 0.0)
