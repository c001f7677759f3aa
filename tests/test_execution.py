import math
import unittest

from comfreysill.exchange.messages import (
    LINK_LEASE_SECONDS,
    MAX_CALL_DELAY_SECONDS,
    MAX_RUN_LEASE_SECONDS,
    RUN_LEASE_SECONDS,
    Batch,
    EntryFrame,
    Order,
    Outcome,
)
from comfreysill.execution.calls import (
    CallReply,
    ListedRun,
    RenewCall,
    RenewReply,
    ReplyStatus,
    RunEnd,
    RunnerLifetime,
    RunnerReport,
    StartCall,
    StopCall,
)
from comfreysill.execution.frame_handling import (
    CLOSED_LINK_RETENTION_SECONDS,
    close_session,
    expire_links,
    receive_frame,
)
from comfreysill.execution.frames import collect_frames, compute_load
from comfreysill.execution.health import SUSPEND_SECONDS, suspend_target
from comfreysill.execution.renewals import (
    IDLE_RENEWAL_WAIT_MS,
    RENEWAL_RETRY_SECONDS,
    RENEWAL_WAIT_MS,
    check_lease_expiry,
    queue_renewal,
    receive_renewal,
)
from comfreysill.execution.run import RunState
from comfreysill.execution.runner import (
    begin_shutdown,
    end_all_runs,
    end_runner_lifetime,
    is_idle,
    receive_deregistration,
    receive_report,
)
from comfreysill.execution.starts import (
    MAX_START_CALLS,
    MIN_START_INTERVAL_SECONDS,
    receive_call_reply,
    resend_stops,
    start_waiting,
)
from comfreysill.execution.state import AgentState

# Each differs from the one before in one dimension.
CAPACITY_CHANGES = (
    {"cpu": 2000},
    {"cpu": 2000, "memory_mb": 500},
    {"cpu": 2000, "memory_mb": 500, "gpus": 1},
)


class TestExecution(unittest.TestCase):
    def setUp(self):
        self.now = 50.0
        self.agent = AgentState(agent="a", lifetime="1", zone="z", token=1000)
        self.frame_number = 0
        self.deliver_report()
        self.answer_renewal()
        self.deliver_frame()

    def deliver_report(
        self,
        started_at_ms=1,
        draining=False,
        sequence=1,
        cpu=4000,
        memory_mb=1000,
        gpus=0,
        runner_id="i",
    ):
        return receive_report(
            self.agent,
            RunnerReport(
                lifetime=RunnerLifetime(runner_id=runner_id, started_at_ms=started_at_ms),
                service="s",
                address="",
                zone="z",
                draining=draining,
                sequence=sequence,
                cpu=cpu,
                memory_mb=memory_mb,
                gpus=gpus,
                labels=(),
            ),
            self.now,
        )

    def answer_renewal(self, running=(), ended=(), status=ReplyStatus.ACCEPTED, clock_ms=7000):
        self.agent.calls.clear()
        self.agent.renew_now = True
        queue_renewal(self.agent, self.now)
        call = next(call for call in self.agent.calls if isinstance(call, RenewCall))
        self.agent.calls.clear()
        self.now += 0.01
        rows = [ListedRun(task=task, run=run, percent=0) for task, run in running]
        answer = RenewReply(
            call=call,
            status=status,
            clock_ms=clock_ms,
            started_at_ms=0,
            running=rows,
            ended=list(ended),
        )
        receive_renewal(self.agent, answer, self.now)
        return call

    def deliver_frame(
        self,
        entry="e@1",
        tasks=0,
        session=1,
        echo=None,
        stops=(),
        cpu=1000,
        request_id="r",
        demand_rank=0,
        isolated=False,
        stop_at=math.inf,
        valid_until=math.inf,
    ):
        self.frame_number += 1
        orders = [Order(step=0, index=index, attempt=1) for index in range(tasks)]
        batch = Batch(
            request_id=request_id,
            payload="p",
            priority=0,
            due=0.0,
            cpu=cpu,
            memory_mb=1,
            gpus=0,
            estimate=0.1,
            orders=orders,
            isolated=isolated,
            stop_at=stop_at,
            valid_until=valid_until,
        )
        # The newest echoed timestamp renews the link lease of the entry.
        frame = EntryFrame(
            entry=entry,
            session=session,
            number=self.frame_number,
            echo=self.now if echo is None else echo,
            demand_rank=demand_rank,
            ended_seen=0,
            batches=[batch] if tasks else [],
            stops=list(stops),
            entries=["h:1"],
            routes_version=0,
        )
        accepted = receive_frame(self.agent, frame, self.now)
        start_waiting(self.agent, self.now)
        return accepted

    def drain_starts(self):
        calls, self.agent.calls = self.agent.calls, []
        return [call for call in calls if isinstance(call, StartCall)]

    def deliver_reply(self, call, status):
        receive_call_reply(self.agent, CallReply(call=call, status=status, clock_ms=7000), self.now)

    def confirm_starts(self):
        for call in self.drain_starts():
            self.deliver_reply(call, ReplyStatus.ACCEPTED)

    def list_ends(self, entry="e@1"):
        return [(end.task, end.outcome) for end in self.agent.links[entry].ended]

    def test_free_capacity_is_sent_first_to_the_entries_with_the_most_urgent_tasks(self):
        for entry, demand_rank in (("e1@1", 3), ("e2@1", 1), ("e3@1", 0), ("e4@1", 2), ("e5@1", 2)):
            self.deliver_frame(entry=entry, demand_rank=demand_rank)
        collect_frames(self.agent, False, self.now)
        # MAX_NOTIFIED_ENTRIES is two.
        first = [entry for entry, _ in collect_frames(self.agent, True, self.now)]
        self.assertEqual(first, ["e2@1", "e4@1"])
        self.now += 0.01
        second = [entry for entry, _ in collect_frames(self.agent, True, self.now)]
        self.assertEqual(second, ["e2@1", "e5@1"], "entries with equally urgent tasks take turns")
        # Longer than any interval between frames.
        self.now += 0.2
        later = [entry for entry, _ in collect_frames(self.agent, False, self.now)]
        self.assertIn("e1@1", later)

    def test_a_change_of_accepting_is_sent_at_once(self):
        collect_frames(self.agent, False, self.now)
        self.assertEqual(collect_frames(self.agent, False, self.now), [])
        suspend_target(self.agent, self.now)
        ((_, frame),) = collect_frames(self.agent, False, self.now)
        self.assertFalse(frame.load.accepting)
        self.now += SUSPEND_SECONDS + 0.01
        self.agent.answered_at = self.now
        ((_, frame),) = collect_frames(self.agent, False, self.now)
        self.assertTrue(frame.load.accepting)

    def test_tasks_beyond_the_capacity_are_refused_at_once(self):
        self.deliver_frame(tasks=6)
        self.assertEqual(len(self.drain_starts()), 4)
        self.assertEqual(self.list_ends(), [("r/0/4", Outcome.BUSY), ("r/0/5", Outcome.BUSY)])

    def test_an_unanswered_start_keeps_its_capacity_until_a_renewal_with_a_higher_token(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        self.assertEqual(self.agent.token, call.token + 1)
        self.assertEqual(self.agent.cpu_used, 1000)
        renewal = self.answer_renewal()
        self.assertEqual(renewal.token, call.token + 1)
        start_waiting(self.agent, self.now)
        (retry,) = self.drain_starts()
        self.assertGreater(retry.run, call.run)
        self.assertEqual(retry.token, call.token + 1)

    # Guards against a runner that restarts under the same id, and carries out a start that it never
    # answered before while the task runs at another target.
    def test_a_start_under_way_when_its_runner_restarts_is_held_until_the_new_lifetime_lists(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_report(started_at_ms=2)
        self.assertEqual(self.list_ends(), [])
        renewal = self.answer_renewal()
        self.assertGreater(renewal.token, call.token)
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])

    # Guards against the same where the new lifetime has carried out the start before it is asked.
    def test_a_start_that_the_new_lifetime_carried_out_goes_on_there(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_report(started_at_ms=2)
        self.answer_renewal(running=[("r/0/0", call.run)])
        self.assertEqual(self.list_ends(), [])
        self.assertEqual(self.agent.runs["r/0/0"].state, RunState.RUNNING)
        self.assertEqual(self.agent.calls, [])

    # Guards against the same where an earlier start of the task was the one that came late.
    def test_a_lost_run_is_held_until_its_earlier_unanswered_start_is_stopped(self):
        self.deliver_frame(tasks=1)
        (late,) = self.drain_starts()
        self.deliver_reply(late, ReplyStatus.UNANSWERED)
        self.answer_renewal()
        start_waiting(self.agent, self.now)
        self.confirm_starts()
        self.deliver_report(started_at_ms=2)
        self.answer_renewal(running=[("r/0/0", late.run)])
        self.assertEqual(self.list_ends(), [])
        self.assertIsInstance(self.agent.calls[0], StopCall)
        self.answer_renewal()
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])

    # Guards against the same where the runner's agent can't reach it as it restarts.
    def test_a_start_without_an_answer_is_held_while_its_runner_is_silent(self):
        self.deliver_frame(tasks=1)
        self.fall_silent()
        self.assertEqual(self.list_ends(), [])
        self.now += MAX_CALL_DELAY_SECONDS + MAX_RUN_LEASE_SECONDS + 0.1
        check_lease_expiry(self.agent, self.now)
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])

    # Guards against a task that starts elsewhere while its target is asked for the third time.
    def test_a_task_stays_with_its_target_however_often_its_start_is_unanswered(self):
        self.deliver_frame(tasks=1)
        for _ in range(2 * MAX_START_CALLS):
            (call,) = self.drain_starts()
            self.now += MIN_START_INTERVAL_SECONDS
            self.deliver_reply(call, ReplyStatus.UNANSWERED)
            self.answer_renewal()
            start_waiting(self.agent, self.now)
        self.assertEqual(self.list_ends(), [])

    # Guards against a start that a new lifetime has answered before its first report: with the end
    # of the old lifetime the run would be given up while it runs.
    def test_a_start_answered_on_another_clock_is_unconfirmed(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        reply = CallReply(call=call, status=ReplyStatus.ACCEPTED, clock_ms=40)
        receive_call_reply(self.agent, reply, self.now)
        self.deliver_report(started_at_ms=2)
        self.assertEqual(self.list_ends(), [])
        self.answer_renewal(running=[("r/0/0", call.run)])
        self.assertEqual(self.agent.runs["r/0/0"].state, RunState.RUNNING)

    # Guards against giving up the runs of a runner that is up while new connections are refused.
    def test_a_refused_connection_ends_no_lifetime_while_a_renewal_is_open(self):
        self.deliver_frame(tasks=1)
        self.confirm_starts()
        queue_renewal(self.agent, self.now)
        self.assertEqual(self.agent.renewals_in_flight, 1)
        self.answer_renewal(status=ReplyStatus.REFUSED)
        self.assertEqual(self.list_ends(), [])
        self.agent.renewals_in_flight = 0
        for status in (ReplyStatus.DISCONNECTED, ReplyStatus.REFUSED):
            self.now += RENEWAL_RETRY_SECONDS
            self.answer_renewal(status=status)
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])

    # Guards against the same after a renewal that was reset or timed out, or an answer.
    def test_a_refused_connection_ends_a_lifetime_only_after_its_connection_was_closed(self):
        for statuses in (
            (ReplyStatus.UNANSWERED,),
            (ReplyStatus.DISCONNECTED, ReplyStatus.ACCEPTED),
            (ReplyStatus.DISCONNECTED, ReplyStatus.UNHEALTHY),
        ):
            self.setUp()
            self.deliver_frame(tasks=1)
            (call,) = self.drain_starts()
            self.deliver_reply(call, ReplyStatus.ACCEPTED)
            running = [(call.task, call.run)]
            for status in (*statuses, ReplyStatus.REFUSED, ReplyStatus.REFUSED):
                self.now += RENEWAL_RETRY_SECONDS
                self.answer_renewal(running=running, status=status)
            self.assertEqual(self.list_ends(), [], statuses)

    def test_a_start_that_was_refused_after_its_lifetime_ended_is_returned_at_once(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_report(started_at_ms=2)
        self.deliver_reply(call, ReplyStatus.GONE)
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.RETURNED)])
        self.assertEqual(self.agent.links["e@1"].ended[-1].late_seconds, 0.0)

    # Guards against a task that waits for its target, though its only start was carried out.
    def test_a_run_whose_only_start_was_carried_out_is_not_bound_to_its_target(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        self.answer_renewal(running=[("r/0/0", call.run)])
        end = RunEnd(number=1, task="r/0/0", run=call.run, outcome="failed")
        self.answer_renewal(ended=[end])
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.FAILED)])
        self.assertEqual(self.agent.links["e@1"].ended[-1].late_seconds, 0.0)

    # Guards against an agent that takes the whole grace period to end, as its runner is gone.
    def test_a_held_start_without_a_runner_does_not_keep_the_agent(self):
        self.deliver_frame(tasks=1)
        self.drain_starts()
        self.assertFalse(is_idle(self.agent))
        end_runner_lifetime(self.agent, self.now, "test")
        self.assertTrue(self.agent.runs)
        self.assertTrue(is_idle(self.agent))

    def test_starts_are_held_for_no_runner_with_another_id(self):
        self.deliver_frame(tasks=1)
        self.drain_starts()
        self.deliver_report(started_at_ms=2, runner_id="j")
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])

    def test_a_list_requested_with_the_old_token_leaves_a_start_unconfirmed(self):
        self.agent.calls.clear()
        self.agent.renew_now = True
        queue_renewal(self.agent, self.now)
        (old_renewal,) = [call for call in self.agent.calls if isinstance(call, RenewCall)]
        self.agent.calls.clear()
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        answer = RenewReply(
            call=old_renewal,
            status=ReplyStatus.ACCEPTED,
            clock_ms=7001,
            started_at_ms=0,
            running=[],
            ended=[],
        )
        receive_renewal(self.agent, answer, self.now)
        start_waiting(self.agent, self.now)
        self.assertEqual(self.drain_starts(), [])
        self.assertEqual(self.agent.cpu_used, 1000)

    def test_a_listed_run_keeps_running_when_its_start_is_reported_unanswered_afterwards(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.answer_renewal(running=[("r/0/0", call.run)])
        self.deliver_reply(call, ReplyStatus.UNANSWERED)
        self.assertEqual(self.agent.token, call.token)
        self.assertEqual(self.list_ends(), [])

    def test_an_out_of_order_list_stops_no_run(self):
        self.answer_renewal(clock_ms=8000)
        self.answer_renewal(running=[("gone/0/0", 7)], clock_ms=7990)
        self.assertEqual([call for call in self.agent.calls if isinstance(call, StopCall)], [])
        self.answer_renewal(running=[("gone/0/0", 7)], clock_ms=8001)
        self.assertIsInstance(self.agent.calls[-1], StopCall)

    def test_a_token_that_is_too_low_is_raised(self):
        self.answer_renewal(status=ReplyStatus.FENCED)
        self.assertGreater(self.agent.token, 1000)

    def test_orders_of_a_silent_entry_are_refused_and_its_runs_stopped(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.ACCEPTED)
        old_echo = self.now
        # Longer than LINK_LEASE_SECONDS.
        self.now += 0.6
        self.agent.answered_at = self.now
        expire_links(self.agent, self.now)
        self.assertIsInstance(self.agent.calls[-1], StopCall)
        self.deliver_frame(tasks=1, echo=old_echo, request_id="late")
        self.assertIn(("late/0/0", Outcome.BUSY), self.list_ends())

    def test_stops_are_repeated_until_the_end_is_listed(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.ACCEPTED)
        self.deliver_frame(stops=["r/0/0"])
        self.agent.calls.clear()
        # Longer than STOP_RESEND_SECONDS.
        self.now += 0.2
        resend_stops(self.agent, self.now)
        self.assertIsInstance(self.agent.calls[0], StopCall)
        self.assertEqual(self.agent.cpu_used, 1000, "runs being stopped still hold their capacity")

    # Guards against a run that outlives its entry's lease, as stops got no answer while the leases
    # of all runs were renewed: its caller's next attempt ran beside it.
    def test_no_lease_is_renewed_while_a_run_of_a_silent_entry_cannot_be_stopped(self):
        self.deliver_frame(entry="e@1", tasks=1)
        self.deliver_frame(entry="f@1", tasks=1, request_id="q")
        for call in self.drain_starts():
            self.deliver_reply(call, ReplyStatus.ACCEPTED)
        running = [(run.task, run.number) for run in self.agent.runs.values()]
        self.now += LINK_LEASE_SECONDS + 0.01
        self.deliver_frame(entry="f@1", tasks=1, request_id="waiting", cpu=4000)
        expire_links(self.agent, self.now)
        leases_expire_at = self.agent.leases_expire_at
        self.assertEqual(self.answer_renewal(running=running).lease_until_ms, 0)
        self.deliver_frame(entry="f@1", tasks=1, request_id="late")
        self.assertEqual(self.drain_starts(), [], "the lease in a start extends those of all runs")
        self.assertEqual(self.agent.leases_expire_at, leases_expire_at)
        end = RunEnd(number=1, task="r/0/0", run=running[0][1], outcome="stopped")
        self.answer_renewal(running=running[1:], ended=[end])
        self.assertGreater(self.answer_renewal(running=running[1:]).lease_until_ms, 0)

    # Guards against the same for a run that its entry has asked to stop: it has to be gone within
    # the lease of the link, and is renewed until then.
    def test_a_run_that_its_entry_gave_up_is_renewed_no_longer_than_the_lease_of_the_link(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.ACCEPTED)
        self.deliver_frame(stops=["r/0/0"])
        running = [("r/0/0", call.run)]
        self.assertGreater(self.answer_renewal(running=running).lease_until_ms, 0)
        self.now += LINK_LEASE_SECONDS
        # Later frames of the entry don't postpone it.
        self.deliver_frame()
        self.assertEqual(self.answer_renewal(running=running).lease_until_ms, 0)
        self.assertFalse(compute_load(self.agent, self.now).accepting)

    # Guards against renewing a run that nobody has a record of.
    def test_no_lease_is_renewed_while_an_orphaned_run_is_listed(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.ACCEPTED)
        self.answer_renewal(running=[("r/0/0", call.run), ("old/0/0", 7)])
        self.assertEqual(self.answer_renewal(running=[("r/0/0", call.run)]).lease_until_ms, 0)
        self.assertGreater(self.answer_renewal(running=[("r/0/0", call.run)]).lease_until_ms, 0)

    def test_a_new_lifetime_of_an_entry_stops_runs_of_the_old_one(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.ACCEPTED)
        self.deliver_frame(entry="e@2")
        self.assertIsInstance(self.agent.calls[-1], StopCall)
        self.assertNotIn("e@1", self.agent.links)

    def test_runs_of_an_earlier_lifetime_of_the_agent_are_stopped_before_any_start(self):
        agent = AgentState(agent="a", lifetime="2", zone="z", token=2000)
        self.agent = agent
        self.deliver_report()
        self.answer_renewal(running=[("old/0/0", 7)])
        self.assertIsInstance(agent.calls[0], StopCall)
        self.deliver_frame(tasks=1)
        self.assertEqual(self.drain_starts(), [])
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.BUSY)])
        self.answer_renewal()
        self.deliver_frame(tasks=1, request_id="q")
        self.assertEqual(len(self.drain_starts()), 1)

    def test_no_start_after_a_draining_report(self):
        self.deliver_report(draining=True, sequence=2)
        self.deliver_frame(tasks=1)
        self.assertEqual(self.drain_starts(), [])

    def test_a_report_of_an_earlier_lifetime_of_the_runner_is_ignored(self):
        self.assertTrue(self.deliver_report(started_at_ms=5))
        self.assertFalse(self.deliver_report(started_at_ms=4))
        self.assertEqual(self.agent.runner_lifetime.started_at_ms, 5)

    def test_an_out_of_order_report_is_ignored(self):
        self.assertTrue(self.deliver_report(draining=True, sequence=3))
        self.assertFalse(self.deliver_report(draining=False, sequence=2))
        self.assertTrue(self.agent.report.draining)

    def test_runs_of_a_silent_runner_are_lost_only_after_their_lease_expired(self):
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.ACCEPTED)
        self.agent.answered_at = self.now
        # Longer than RENEWAL_GIVE_UP_SECONDS, but the run lease still lasts with its margin.
        self.now += 0.6
        check_lease_expiry(self.agent, self.now)
        self.assertEqual(self.list_ends(), [])
        # Now also longer than RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS.
        self.now += 0.3
        check_lease_expiry(self.agent, self.now)
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])

    def test_the_lease_of_a_silent_runner_is_no_longer_renewed(self):
        self.deliver_frame(tasks=1)
        self.agent.answered_at = self.now
        # Longer than RENEWAL_GIVE_UP_SECONDS.
        self.now += 1.0
        self.assertEqual(self.answer_renewal().lease_until_ms, 0)

    def test_failures_of_three_requests_suspend_the_target_and_then_one_task_is_accepted(self):
        for request_id in ("x", "y", "z"):
            self.deliver_frame(tasks=1, request_id=request_id)
            (call,) = self.drain_starts()
            self.deliver_reply(call, ReplyStatus.UNHEALTHY)
        self.deliver_frame(tasks=1, request_id="q")
        self.assertEqual(self.drain_starts(), [])
        # Longer than SUSPEND_SECONDS.
        self.now += 1.1
        self.agent.answered_at = self.now
        self.deliver_frame(tasks=3, request_id="probe")
        self.assertEqual(len(self.drain_starts()), 1)

    def test_failures_of_one_request_do_not_suspend_the_target(self):
        for _ in range(4):
            self.deliver_frame(tasks=1, request_id="x")
            (call,) = self.drain_starts()
            self.deliver_reply(call, ReplyStatus.UNHEALTHY)
        self.assertEqual(self.agent.suspended_until, 0.0)

    def test_ends_are_sent_again_on_a_new_link(self):
        self.deliver_frame(tasks=6)
        collect_frames(self.agent, False, self.now)
        self.deliver_frame(session=2)
        ((_, frame),) = collect_frames(self.agent, False, self.now)
        self.assertTrue(frame.opening)
        self.assertEqual(len(frame.ended), 2)
        self.assertEqual(len(frame.active), 4)
        self.assertFalse(
            self.deliver_frame(session=1), "a frame of an older session has to be refused"
        )

    def test_ends_are_numbered_on_after_a_link_was_removed(self):
        """An entry ignores ends up to the newest number that it has processed."""
        self.deliver_frame(tasks=1)
        first = self.collect_end_numbers()
        self.now += CLOSED_LINK_RETENTION_SECONDS + 10
        close_session(self.agent, "e@1", 1)
        expire_links(self.agent, self.now)
        self.assertEqual(self.agent.links, {})
        self.frame_number = 0
        self.deliver_frame(session=2)
        self.deliver_frame(session=2, tasks=1, request_id="r2")
        self.assertGreater(min(self.collect_end_numbers()), max(first))

    def collect_end_numbers(self):
        """Ends all runs, and returns the numbers of the ends that entries haven't confirmed."""
        self.confirm_starts()
        end_all_runs(self.agent, self.now, "test")
        return [end.number for link in self.agent.links.values() for end in link.ended]

    def test_a_report_that_arrives_after_the_runner_has_left_is_ignored(self):
        receive_deregistration(self.agent, "i", self.now)
        self.assertFalse(compute_load(self.agent, self.now).accepting)
        self.answer_renewal(status=ReplyStatus.GONE)
        self.assertIsNone(self.agent.runner_lifetime)
        self.assertFalse(self.deliver_report(sequence=9))
        self.assertIsNone(self.agent.runner_lifetime)
        self.assertTrue(self.deliver_report(started_at_ms=2))
        self.assertIsNotNone(self.agent.runner_lifetime)

    def test_a_crash_is_logged_with_the_runs_that_were_started_last_first(self):
        self.deliver_frame(tasks=2)
        self.deliver_frame(tasks=1, request_id="later")
        start_waiting(self.agent, self.now)
        self.confirm_starts()
        self.deliver_report(started_at_ms=2)
        crash = self.find_event("runner crashed")
        self.assertEqual(crash["tasks"], ["later/0/0", "r/0/1", "r/0/0"])
        self.assertEqual(self.agent.counters["runner_crashes"], 1)

    def test_a_crash_is_reported_to_every_entry_and_again_in_each_session(self):
        """Guards against crash reports that only one entry has when it dies."""
        self.deliver_frame(entry="other@1")
        self.deliver_frame(tasks=2)
        self.confirm_starts()
        self.deliver_report(started_at_ms=2)
        self.assertEqual(
            {entry: self.list_crashed_tasks(frame) for entry, frame in self.collect()},
            {"e@1": [("r/0/1", "r/0/0")], "other@1": [("r/0/1", "r/0/0")]},
        )
        self.now += 1.0
        self.assertEqual([self.list_crashed_tasks(frame) for _, frame in self.collect()], [[], []])
        self.deliver_frame(entry="other@2", session=1)
        frames = dict(self.collect())
        self.assertEqual(self.list_crashed_tasks(frames["other@2"]), [("r/0/1", "r/0/0")])

    def collect(self):
        return collect_frames(self.agent, False, self.now)

    def list_crashed_tasks(self, frame):
        return [report.tasks for report in frame.crashes]

    # Guards against a report that names a start as the cause of a crash that came before it.
    def test_a_start_that_a_crashed_runner_refused_is_in_no_report(self):
        for status in (ReplyStatus.REFUSED, ReplyStatus.GONE):
            for start_first in (False, True):
                self.setUp()
                self.deliver_frame(tasks=1)
                (call,) = self.drain_starts()
                if start_first:
                    self.deliver_reply(call, status)
                self.answer_renewal(status=ReplyStatus.DISCONNECTED)
                self.now += RENEWAL_RETRY_SECONDS
                self.answer_renewal(status=status)
                self.assertIsNone(self.agent.runner_lifetime)
                if not start_first:
                    self.deliver_reply(call, status)
                self.assertEqual(self.agent.counters["runner_crashes"], 1)
                self.assertEqual(list(self.agent.recent_crashes), [], (status, start_first))
                self.assertEqual(self.list_ends(), [("r/0/0", Outcome.RETURNED)])

    # Guards against a task that is never blamed as it crashes runners before they answer its start.
    def test_a_start_whose_call_broke_off_as_its_runner_crashed_is_reported(self):
        for status in (ReplyStatus.UNANSWERED, ReplyStatus.DISCONNECTED, ReplyStatus.ACCEPTED):
            for start_first in (False, True):
                self.setUp()
                self.deliver_frame(tasks=1)
                (call,) = self.drain_starts()
                if start_first:
                    self.deliver_reply(call, status)
                self.deliver_report(started_at_ms=2)
                if not start_first:
                    self.assertEqual(list(self.agent.recent_crashes), [])
                    self.deliver_reply(call, status)
                reported = [crash.report.tasks for crash in self.agent.recent_crashes]
                self.assertEqual(reported, [("r/0/0",)], (status, start_first))

    # Guards against a second crash in the count of tasks that ran beside a start without an answer.
    def test_a_start_whose_call_broke_off_is_added_to_the_crash_that_was_reported(self):
        self.deliver_frame(tasks=1)
        self.confirm_starts()
        self.deliver_frame(tasks=2, request_id="later")
        broken_off, refused = self.drain_starts()
        self.deliver_report(started_at_ms=2)
        (first,) = dict(self.collect())["e@1"].crashes
        self.assertEqual(first.tasks, ("r/0/0",))
        self.deliver_reply(refused, ReplyStatus.REFUSED)
        self.deliver_reply(broken_off, ReplyStatus.UNANSWERED)
        self.now += 1.0
        (second,) = dict(self.collect())["e@1"].crashes
        self.assertEqual(second.crash_id, first.crash_id)
        self.assertEqual(second.tasks, ("later/0/0", "r/0/0"))
        self.assertEqual(len(self.agent.unsaved_crashes), 2)
        self.assertEqual(self.agent.unsettled_crashes, [])
        self.assertEqual(self.agent.open_starts, set())

    def test_runs_of_a_runner_that_fell_silent_are_in_the_report_of_its_crash(self):
        """Guards against a task whose runners fall silent as they crash, so that none is blamed."""
        self.deliver_frame(tasks=1)
        self.confirm_starts()
        self.fall_silent()
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])
        self.deliver_report(started_at_ms=2)
        self.assertEqual([crash.report.tasks for crash in self.agent.recent_crashes], [("r/0/0",)])

    def test_runs_of_a_runner_that_was_only_silent_are_in_no_report(self):
        """Guards against blaming tasks for a link that was cut."""
        self.deliver_frame(tasks=1)
        self.confirm_starts()
        self.fall_silent()
        self.answer_renewal(clock_ms=9000)
        self.deliver_report(started_at_ms=2)
        self.assertEqual(list(self.agent.recent_crashes), [])

    def fall_silent(self):
        """Lets the leases expire without an answer of the runner."""
        self.drain_starts()
        self.now += 2.0
        check_lease_expiry(self.agent, self.now)

    def test_runs_that_never_reached_the_runner_are_not_in_its_crash_report(self):
        self.agent.clock_ms = -1
        self.deliver_frame(tasks=1)
        self.deliver_report(started_at_ms=2)
        self.assertEqual(list(self.agent.recent_crashes), [])
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.RETURNED)])

    def test_isolated_runs_wait_for_others_and_keep_them_out(self):
        """Guards against a suspect that takes down the tasks of other callers with it."""
        self.deliver_frame(tasks=2, request_id="first")
        started = self.drain_starts()
        self.deliver_frame(tasks=2, request_id="suspect", isolated=True)
        self.assertEqual(self.drain_starts(), [], "others are running")
        self.assertTrue(compute_load(self.agent, self.now).isolating)
        self.assertLessEqual(compute_load(self.agent, self.now).cpu, 0)
        self.deliver_frame(tasks=1, request_id="late")
        self.deliver_frame(tasks=1, request_id="other suspect", isolated=True)
        self.assertEqual(
            self.list_ends(),
            [("late/0/0", Outcome.BUSY), ("other suspect/0/0", Outcome.BUSY)],
        )
        self.end_runs(started)
        isolated = self.drain_starts()
        self.assertEqual([call.task for call in isolated], ["suspect/0/0", "suspect/0/1"])
        self.end_runs(isolated)
        self.assertFalse(compute_load(self.agent, self.now).isolating)
        self.deliver_frame(tasks=1, request_id="late")
        self.assertEqual([call.task for call in self.drain_starts()], ["late/0/0"])

    def end_runs(self, started):
        first = self.agent.runner_ends_seen + 1
        for call in started:
            self.deliver_reply(call, ReplyStatus.ACCEPTED)
        ended = [
            RunEnd(number=first + index, task=call.task, run=call.run, outcome="done")
            for index, call in enumerate(started)
        ]
        self.answer_renewal(ended=ended, clock_ms=7000 + first)
        start_waiting(self.agent, self.now)

    def test_waiting_runs_that_a_shrunken_target_has_no_room_for_are_returned(self):
        """Guards against a target that is kept for runs that can never start."""
        self.deliver_frame(tasks=1, request_id="first", cpu=2000)
        self.deliver_frame(tasks=2, request_id="suspect", cpu=2000, isolated=True)
        self.deliver_report(sequence=2, cpu=3000)
        self.assertEqual(self.list_ends(), [("suspect/0/1", Outcome.RETURNED)])
        self.deliver_report(sequence=3, cpu=1000)
        self.assertEqual(self.list_ends()[1:], [("suspect/0/0", Outcome.RETURNED)])
        self.assertFalse(compute_load(self.agent, self.now).isolating)

    def test_no_run_is_started_above_a_shrunken_capacity(self):
        self.deliver_frame(tasks=1, cpu=2000)
        self.drain_starts()
        self.deliver_report(sequence=2, cpu=3000)
        self.deliver_frame(tasks=1, cpu=2000, request_id="late")
        self.assertEqual(self.drain_starts(), [])
        self.assertEqual(self.list_ends(), [("late/0/0", Outcome.BUSY)])
        self.deliver_report(sequence=3, cpu=4000)
        self.deliver_frame(tasks=1, cpu=2000, request_id="late")
        self.assertEqual(len(self.drain_starts()), 1)

    def test_a_target_that_has_shrunk_before_its_report_is_not_suspended(self):
        """Guards against taking a refusal for want of capacity for a fault of the target."""
        for request_id in ("r", "s", "t", "u"):
            self.deliver_frame(tasks=1, request_id=request_id)
            self.deliver_reply(self.drain_starts()[0], ReplyStatus.NO_ROOM)
        self.assertEqual(self.agent.suspended_until, 0.0)
        self.assertEqual({outcome for _, outcome in self.list_ends()}, {Outcome.RETURNED})

    def test_every_change_of_capacity_is_sent_to_entries(self):
        """Guards against an entry that plans with a capacity that the target no longer has."""
        for sequence, changes in enumerate(CAPACITY_CHANGES, 2):
            self.collect()
            self.deliver_report(sequence=sequence, **changes)
            profiles = [frame.profile for _, frame in self.collect()]
            self.assertEqual(len(profiles), 1, changes)
            profile = profiles[0]
            for name, value in changes.items():
                self.assertEqual(getattr(profile, name), value)

    def test_a_runner_that_leaves_has_not_crashed(self):
        self.deliver_frame(tasks=1)
        start_waiting(self.agent, self.now)
        self.deliver_report(draining=True, sequence=2)
        self.deliver_report(started_at_ms=2)
        receive_deregistration(self.agent, "i", self.now)
        self.assertNotIn("runner_crashes", self.agent.counters)

    # Guards against a deregistration that names the id alone and comes late: the runs of the next
    # lifetime under this id were given up while they ran, and its reports ignored.
    def test_a_late_deregistration_ends_no_run_of_the_next_lifetime(self):
        self.deliver_report(started_at_ms=2)
        self.answer_renewal()
        self.deliver_frame(tasks=1)
        (call,) = self.drain_starts()
        self.deliver_reply(call, ReplyStatus.ACCEPTED)
        receive_deregistration(self.agent, "i", self.now)
        self.answer_renewal(running=[("r/0/0", call.run)])
        self.assertEqual(self.list_ends(), [])
        self.deliver_report(started_at_ms=2, sequence=2)
        self.assertTrue(compute_load(self.agent, self.now).accepting)

    # Guards against a run that is placed elsewhere between the deregistration and the end of its
    # runner.
    def test_runs_of_a_runner_that_has_deregistered_end_with_its_lifetime(self):
        self.deliver_frame(tasks=1)
        self.confirm_starts()
        receive_deregistration(self.agent, "i", self.now)
        self.assertEqual(self.list_ends(), [])
        self.answer_renewal(status=ReplyStatus.GONE)
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.LOST)])
        self.assertNotIn("runner_crashes", self.agent.counters)

    def find_event(self, text):
        return next(fields for event, fields in self.agent.events if event == text)

    def test_an_echo_from_the_future_does_not_extend_the_lease(self):
        self.deliver_frame(echo=self.now + 1000)
        self.assertLessEqual(self.agent.links["e@1"].lease_until, self.now + LINK_LEASE_SECONDS)

    def test_a_runner_that_fails_calls_at_once_is_not_called_without_a_pause(self):
        """A runner that goes down and up resets connections: each call fails immediately."""
        for status in (ReplyStatus.UNANSWERED, ReplyStatus.UNHEALTHY, ReplyStatus.INVALID):
            calls = 0
            for _ in range(1000):
                self.now += 0.001
                calls += self.fail_renewal(status)
            self.assertLessEqual(calls, 1 / RENEWAL_RETRY_SECONDS + 1, status)
            self.assertGreater(calls, 10, status)

    # Guards against the delay after a failed renewal of the lifetime before, in which a new one
    # carries out late starts.
    def test_a_new_lifetime_is_asked_for_its_runs_at_once(self):
        self.fail_renewal(ReplyStatus.UNANSWERED)
        self.deliver_report(started_at_ms=2)
        self.agent.calls.clear()
        queue_renewal(self.agent, self.now)
        self.assertEqual(len(self.agent.calls), 1)

    def fail_renewal(self, status):
        """Lets the queued renewals fail; returns their number."""
        queue_renewal(self.agent, self.now)
        calls, self.agent.calls = self.agent.calls, []
        for call in calls:
            reply = RenewReply(
                call=call, status=status, clock_ms=-1, started_at_ms=0, running=[], ended=[]
            )
            receive_renewal(self.agent, reply, self.now)
        return len(calls)

    def test_renewals_wait_longer_while_there_is_no_lease_to_extend(self):
        self.assertEqual(self.queue_renewal().wait_ms, IDLE_RENEWAL_WAIT_MS)
        self.deliver_frame(tasks=1)
        self.assertEqual(self.queue_renewal().wait_ms, RENEWAL_WAIT_MS)
        # The lease outlasts a renewal that was sent just before the first start.
        self.assertGreater(RUN_LEASE_SECONDS - IDLE_RENEWAL_WAIT_MS / 1000, 0.15)

    def queue_renewal(self):
        self.agent.calls.clear()
        self.agent.renewals_in_flight = 0
        self.agent.renew_now = False
        queue_renewal(self.agent, self.now)
        return self.agent.calls[0]

    def test_a_stopping_agent_returns_waiting_runs(self):
        # No run is started while the runner's clock is unknown.
        self.agent.clock_ms = -1
        self.deliver_frame(tasks=1)
        begin_shutdown(self.agent, self.now)
        self.assertEqual(self.list_ends(), [("r/0/0", Outcome.RETURNED)])

    def test_the_interval_on_idle_links_grows_with_their_number_and_is_announced(self):
        for number in range(11):
            self.deliver_frame(entry=f"e{number}@1")
        self.deliver_frame(entry="e0@1", tasks=1, request_id="busy")
        frames_by_entry = dict(collect_frames(self.agent, False, self.now))
        # The busy link has BUSY_INTERVAL_SECONDS. With this many open links, the idle ones have
        # MAX_IDLE_INTERVAL_SECONDS.
        self.assertAlmostEqual(frames_by_entry["e0@1"].next_seconds, 0.2)
        self.assertGreater(frames_by_entry["e1@1"].next_seconds, 0.35)
        self.now += 0.2
        self.assertEqual(
            [entry for entry, _ in collect_frames(self.agent, False, self.now)], ["e0@1"]
        )
