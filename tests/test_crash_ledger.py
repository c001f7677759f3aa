import unittest

from comfreysill.crashes.ledger import (
    COINCIDENCE_SECONDS,
    CONFINEMENT_SECONDS,
    MIN_COINCIDENT_TARGETS,
    MIN_INCONCLUSIVE_CRASHES,
    CrashLedger,
    expire_crashes,
    find_deadly_task,
    is_judgement_open,
    is_suspect,
    list_confined_routes,
    record_crash,
    settle_crashes,
)
from comfreysill.crashes.report import CRASH_RETENTION_SECONDS, CrashReport


class TestCrashLedger(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger()

    def record(self, crash_id, *tasks, now=0.0, route=""):
        report = CrashReport(crash_id=crash_id, tasks=tasks, route=route)
        return record_crash(self.ledger, report, now)

    def test_a_route_is_confined_after_a_proof_only_and_for_a_time(self):
        self.record("a/1", "r/0/0", "r/0/1", route="q")
        self.assertEqual(list_confined_routes(self.ledger, 0.0), set())
        self.record("b/1", "r/0/1", route="q", now=1.0)
        self.assertEqual(list_confined_routes(self.ledger, 1.0), {"q"})
        self.assertEqual(list_confined_routes(self.ledger, 1.0 + CONFINEMENT_SECONDS), set())

    def test_the_requests_started_last_are_suspects_after_one_crash(self):
        self.record("a/1", "r3/0/0", "r2/0/0", "r2/0/1", "r1/0/0")
        suspects = [
            task
            for task in ("r3/0/0", "r2/0/1", "r1/0/0", "r4/0/0")
            if is_suspect(self.ledger, task)
        ]
        self.assertEqual(suspects, ["r3/0/0", "r2/0/1"])

    def test_a_task_under_two_crashes_is_a_suspect_whenever_it_was_started(self):
        for crash_id in ("a/1", "b/1"):
            self.record(crash_id, "r3/0/0", "r2/0/0", "r1/0/0")
        self.assertTrue(is_suspect(self.ledger, "r1/0/0"))

    def test_no_number_of_crashes_beside_other_requests_proves_guilt(self):
        """Guards against giving up a task for the one beside it."""
        for number in range(5):
            self.record(f"a/{number}", "innocent/0/0", "deadly/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "innocent"), "")
        self.record("b/1", "deadly/0/0", "deadly/0/1")
        self.assertEqual(find_deadly_task(self.ledger, "deadly"), "deadly/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "innocent"), "")

    def test_a_crash_of_a_target_that_crashes_by_itself_proves_nothing(self):
        """Guards against blaming a task for a target that goes down and up."""
        self.record("a/1/1", "x/0/0", "y/0/0")
        self.record("b/1/1", "r/0/0", "z/0/0")
        self.record("a/1/2", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")
        self.record("c/1/1", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    def test_a_crash_that_a_proved_task_explains_leaves_no_doubt_about_the_target(self):
        self.record("a/1/1", "deadly/0/0", "y/0/0")
        self.record("b/1/1", "deadly/0/0")
        self.record("c/1/1", "r/0/0", "z/0/0")
        self.record("a/1/2", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    def test_isolated_crashes_of_doubtful_targets_prove_guilt_at_last(self):
        """Guards against a deadly task that is started without end because all targets crash."""
        for agent in "abc":
            self.record(f"{agent}/1/1", "x/0/0", "y/0/0")
            self.assertEqual(find_deadly_task(self.ledger, "r"), "")
            self.record(f"{agent}/2/1", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    def test_isolated_crashes_of_one_doubtful_target_prove_guilt_later(self):
        """Guards against blaming a task that is bound to a target that goes down and up."""
        for number in range(MIN_INCONCLUSIVE_CRASHES):
            self.record(f"a/1/{number}", "x/0/0", "y/0/0")
            self.assertEqual(find_deadly_task(self.ledger, "r"), "")
            self.record(f"a/2/{number}", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    def test_one_crash_proves_nothing(self):
        self.record("a/1", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")

    def test_two_tasks_of_a_request_under_one_crash_each_prove_nothing(self):
        self.record("a/1", "r/0/0", "other/0/0")
        self.record("b/1", "r/0/1")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")

    def test_a_crash_that_is_reported_again_counts_once(self):
        for _ in range(3):
            self.record("a/1", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")

    def record_recent(self, crash_id, *tasks, now):
        record_crash(self.ledger, CrashReport(crash_id=crash_id, tasks=tasks), now, is_recent=True)

    def record_coincidence(self, number, now, others):
        """Records a crash of the target of r alone, between those of other targets."""
        self.record_recent(f"other0/1/1{number}", f"x{number}/0/0", now=now)
        self.record_recent(f"a{number}/1/1", "r/0/0", now=now + 0.5 * COINCIDENCE_SECONDS)
        for other in range(1, others):
            crash_id, task = f"other{other}/1/1{number}", f"y{other}-{number}/0/0"
            self.record_recent(crash_id, task, now=now + COINCIDENCE_SECONDS)
        return settle_crashes(self.ledger, now + 2.0 * COINCIDENCE_SECONDS)

    # Guards against blaming an isolated task for a cause that many targets share.
    def test_a_crash_at_the_same_moment_as_those_of_several_other_targets_proves_nothing(self):
        self.record("z/1/1", "r/0/0", "w/0/0")
        self.assertIn("r", self.record_coincidence("0", 10.0, MIN_COINCIDENT_TARGETS))
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")
        self.assertTrue(is_suspect(self.ledger, "r/0/0"))
        self.record("b/1/1", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    # Guards against deadly tasks that stay unknown as others crash a runner at the same moment.
    def test_a_crash_at_the_same_moment_as_that_of_one_other_target_is_proof(self):
        self.record("z/1/1", "r/0/0", "w/0/0")
        self.record_coincidence("0", 10.0, MIN_COINCIDENT_TARGETS - 1)
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    # Guards against a deadly task that is started without end as runners crash all the time.
    def test_crashes_at_the_same_moment_as_others_prove_guilt_at_last(self):
        for number in range(MIN_INCONCLUSIVE_CRASHES):
            self.assertEqual(find_deadly_task(self.ledger, "r"), "")
            self.record_coincidence(str(number), 1.0 + number, MIN_COINCIDENT_TARGETS)
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    # Guards against a verdict, or one more start, before the crashes of the same moment are known.
    def test_a_recent_crash_is_judged_once_others_of_its_moment_are_known(self):
        self.record("z/1/1", "r/0/0", "w/0/0")
        self.record_recent("a/1/1", "r/0/0", now=10.0)
        self.assertTrue(is_judgement_open(self.ledger, "r/0/0"))
        self.assertFalse(is_judgement_open(self.ledger, "w/0/0"))
        self.assertEqual(settle_crashes(self.ledger, 10.0 + 0.9 * COINCIDENCE_SECONDS), [])
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")
        self.assertEqual(settle_crashes(self.ledger, 10.0 + COINCIDENCE_SECONDS), ["r"])
        self.assertFalse(is_judgement_open(self.ledger, "r/0/0"))
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")

    # Guards against guilt by a report that didn't name all tasks yet, and a crash counted twice.
    def test_a_later_report_of_a_crash_adds_the_tasks_that_it_names(self):
        self.record("a/1/1", "r/0/0")
        self.assertEqual(self.record("a/1/1", "s/0/0", "r/0/0"), ["s", "r"])
        self.assertEqual(self.record("a/1/1", "r/0/0"), [])
        self.assertTrue(is_suspect(self.ledger, "s/0/0"))
        self.record("b/1/1", "r/0/0", "t/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")
        self.record("c/1/1", "r/0/0")
        self.assertEqual(find_deadly_task(self.ledger, "r"), "r/0/0")
        expire_crashes(self.ledger, CRASH_RETENTION_SECONDS)
        self.assertEqual(self.ledger.requests, {})

    def test_crashes_are_forgotten_after_their_retention(self):
        self.record("a/1", "r/0/0", "s/0/0")
        self.record("b/1", "r/0/0", now=10.0)
        expire_crashes(self.ledger, CRASH_RETENTION_SECONDS)
        self.assertEqual(find_deadly_task(self.ledger, "r"), "")
        self.assertFalse(is_suspect(self.ledger, "s/0/0"))
        expire_crashes(self.ledger, CRASH_RETENTION_SECONDS + 10.0)
        self.assertEqual(self.ledger.requests, {})
        self.assertEqual(self.ledger.crash_ids, set())


if __name__ == "__main__":
    unittest.main()
