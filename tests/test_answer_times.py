import unittest

from comfreysill.execution.answer_times import (
    LOSS_SECONDS,
    MAX_PATIENCE_SECONDS,
    MIN_PATIENCE_SECONDS,
    MIN_SAMPLES,
    AnswerTimes,
    compute_patience,
    record_answer,
    record_silence,
)
from comfreysill.execution.calls import ReplyStatus, build_unanswered_reply
from comfreysill.execution.renewals import RENEWAL_WAIT_MS, queue_renewal, receive_renewal
from tests import test_execution

# What a task of 0.1 s can spare for a start that gets no answer, and for the list that shows it.
SPARE_SECONDS = 0.06


def build_times(*seconds):
    times = AnswerTimes()
    for answer_seconds in seconds:
        record_answer(times, answer_seconds)
    return times


class TestAnswerTimes(unittest.TestCase):
    def test_without_samples_the_time_is_the_longest(self):
        self.assertEqual(compute_patience(build_times(0.001)), MAX_PATIENCE_SECONDS)

    def test_starts_without_an_answer_at_a_quick_runner_leave_short_tasks_on_time(self):
        times = build_times(*[0.001, 0.004] * MIN_SAMPLES)
        self.assertEqual(compute_patience(times), MIN_PATIENCE_SECONDS)
        self.assertLess(compute_patience(times), SPARE_SECONDS)

    def test_a_runner_that_turns_slow_is_given_more_time(self):
        times = build_times(*[0.002] * MIN_SAMPLES)
        for _ in range(3):
            record_answer(times, 0.04)
        self.assertGreater(compute_patience(times), 0.04)

    def test_each_silence_doubles_the_time_until_the_next_answer(self):
        times = build_times(*[0.002] * MIN_SAMPLES)
        record_silence(times)
        self.assertEqual(compute_patience(times), 2 * MIN_PATIENCE_SECONDS)
        for _ in range(1000):
            record_silence(times)
        self.assertEqual(compute_patience(times), MAX_PATIENCE_SECONDS)
        record_answer(times, 0.002)
        self.assertEqual(compute_patience(times), MIN_PATIENCE_SECONDS)


class TestPatienceOfAnAgent(unittest.TestCase):
    def setUp(self):
        self.case = test_execution.TestExecution()
        self.case.setUp()
        self.agent = self.case.agent
        self.agent.answer_times = AnswerTimes()

    def start_one(self, request_id, status=ReplyStatus.ACCEPTED):
        self.case.deliver_frame(tasks=1, cpu=1, request_id=request_id)
        (call,) = self.case.drain_starts()
        self.case.now += 0.001
        self.case.deliver_reply(call, status)
        return call

    def test_the_deadline_of_a_start_follows_the_answers_before_it(self):
        calls = [self.start_one(f"r{number}") for number in range(MIN_SAMPLES + 1)]
        first, last = calls[0], calls[-1]
        self.assertAlmostEqual(first.answer_by - first.sent_at, MAX_PATIENCE_SECONDS)
        self.assertLess(last.answer_by - last.sent_at, SPARE_SECONDS)

    def test_a_new_lifetime_of_the_runner_is_given_the_longest_time(self):
        for _ in range(MIN_SAMPLES):
            record_answer(self.agent.answer_times, 0.001)
        self.case.deliver_report(runner_id="j")
        self.assertEqual(compute_patience(self.agent.answer_times), MAX_PATIENCE_SECONDS)

    def queue_long_poll(self):
        self.agent.renew_now = False
        self.agent.renewals_in_flight = 0
        self.agent.calls.clear()
        queue_renewal(self.agent, self.case.now)
        return self.agent.calls[-1]

    def test_a_long_poll_is_given_its_wait_and_the_time_of_other_calls(self):
        call = self.queue_long_poll()
        waited_seconds = call.answer_by - call.sent_at
        self.assertAlmostEqual(waited_seconds, call.wait_ms / 1000 + MAX_PATIENCE_SECONDS)

    # Guards against ends of short runs that are known only after a long poll without an answer.
    def test_polls_are_short_where_calls_get_lost(self):
        self.start_one("r")
        self.assertEqual(self.queue_long_poll().wait_ms, RENEWAL_WAIT_MS)
        self.start_one("lost", ReplyStatus.UNANSWERED)
        self.assertLess(self.queue_long_poll().wait_ms / 1000, SPARE_SECONDS)
        self.case.now += LOSS_SECONDS
        self.assertEqual(self.queue_long_poll().wait_ms, RENEWAL_WAIT_MS)

    def test_a_long_poll_without_an_answer_does_not_make_starts_wait_longer(self):
        call = self.queue_long_poll()
        receive_renewal(self.agent, build_unanswered_reply(call), self.case.now)
        self.assertEqual(self.agent.answer_times.silences, 0)
        self.assertGreater(self.agent.answer_times.lossy_until, self.case.now)

    def test_a_start_without_an_answer_is_not_taken_for_an_answer(self):
        self.start_one("r", ReplyStatus.UNANSWERED)
        self.assertEqual(self.agent.answer_times.samples, 0)
        self.assertEqual(self.agent.answer_times.silences, 1)
