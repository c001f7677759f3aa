"""Callers that leave without their entry's knowledge, on real processes."""

import asyncio
import itertools
import unittest

from standins.departures import Case, run_trial

JOBS = 10
# Second octets: each test has a loopback network 127.N of its own.
LOOPBACK_NETWORKS = itertools.count(211)


class TestDepartedCallersOnProcesses(unittest.TestCase):
    """Callers whose connection has broken, or whose request comes late, ask another entry."""

    def check(self, case):
        outcome = asyncio.run(run_trial(case, f"127.{next(LOOPBACK_NETWORKS)}", JOBS))
        submissions = [job.statuses for job in outcome.jobs]
        first_statuses = {statuses[0] for statuses in submissions}
        self.assertEqual(first_statuses, {0}, "a first submission was answered")
        overlaps = [f"{item.first.task} {item.seconds:.2f} s" for item in outcome.overlaps]
        self.assertEqual(overlaps, [])
        self.assertEqual(outcome.unanswered, 0, submissions)

    # Guards against a run beside the one of an entry that never learns that its caller left, with
    # tasks that take almost as long as their caller waits.
    def test_a_break_right_after_the_sending_that_the_entry_is_never_told_of(self):
        self.check(Case(break_seconds=0.05, run_seconds=1.45, wait_seconds=1.5))

    # Guards against the same where the caller's wait is far from over.
    def test_a_break_long_before_the_end_of_the_wait_that_the_entry_is_never_told_of(self):
        self.check(Case(break_seconds=0.3, run_seconds=2.5, wait_seconds=6.0))

    # Guards against the same where the entry learns of it while the other one has the request.
    def test_a_break_that_the_entry_is_told_of_after_its_caller_has_sent_again(self):
        self.check(Case(break_seconds=0.3, told_seconds=2.5, run_seconds=3.5, wait_seconds=6.0))

    # Guards against an entry that takes a request that was held up for one sent just now, whose
    # caller asks another entry soon after.
    def test_a_request_that_is_held_up_beyond_its_callers_wait(self):
        self.check(Case(hold_seconds=2.0))

    # Guards against the same where it comes with the request to the other entry.
    def test_a_request_that_is_held_up_until_its_caller_sends_again(self):
        self.check(Case(hold_seconds=2.75))

    # Guards against the same on a connection whose age tells nothing.
    def test_a_request_that_is_held_up_on_a_connection_kept_alive(self):
        self.check(Case(hold_seconds=2.0, kept_alive=True))


if __name__ == "__main__":
    unittest.main()
