import unittest

from comfreysill.crashes.ledger import COINCIDENCE_SECONDS
from comfreysill.crashes.report import CrashReport
from comfreysill.exchange.messages import AgentFrame, Ended, LateStart, Load, Outcome, Profile
from comfreysill.placement.agents import (
    AGENT_EXPIRY_SECONDS,
    FORGET_AGENT_SECONDS,
    LATE_START_SECONDS,
    begin_session,
    collect_frames,
    discover_agent,
    end_session,
    expire_agents,
    receive_agent_frame,
)
from comfreysill.placement.crashes import judge_crashes
from comfreysill.placement.effects import FetchRoutes, SendFrame, SendVerdict
from comfreysill.placement.placement import place_waiting, refuse_unmeetable
from comfreysill.placement.queue import MAX_PENDING_TASKS, rank_demand
from comfreysill.placement.requests import disconnect_caller, expire_requests, submit_request
from comfreysill.placement.state import EntryState
from comfreysill.request.types import Specification, Step, Verdict
from tests.waits import build_wait


def build_request(request_id="r", tasks=2, cpu=1000, estimate=0.2, priority=0, label="", after=()):
    steps = [Step(count=tasks, cpu=cpu, memory_mb=1, estimate=estimate, label=label)]
    if after:
        steps.append(Step(count=1, cpu=cpu, memory_mb=1, estimate=estimate, after=after))
    return Specification(
        request_id=request_id,
        route="q",
        service="s",
        payload="",
        steps=tuple(steps),
        priority=priority,
        max_attempts=2,
        stretch=1.6,
        slack_seconds=0.06,
    )


class TestPlacement(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.state = EntryState(name="e@1", zone="z1", unix_offset=0.0)
        self.state.ticked_at = self.now
        self.task_ends = {}
        for name in ("a", "b"):
            discover_agent(self.state, name, f"{name}:1")
            self.establish_link(name)

    def establish_link(self, name, **changes):
        begin_session(self.state, name, self.now)
        self.deliver_frame(name, opening=True, **changes)

    def deliver_frame(
        self,
        name,
        cpu=4000,
        task_ends=(),
        opening=False,
        active=(),
        lifetime="1",
        slowness=1.0,
        routes=(0, ""),
        accepting=True,
        crashes=(),
        isolating=False,
        unconfirmed=(),
        late_starts=(),
        ends=(),
    ):
        agent = self.state.agents[name]
        load = Load(
            accepting=accepting,
            cpu=cpu,
            memory_mb=900,
            gpus=0,
            slowness=slowness,
            isolating=isolating,
        )
        profile = Profile(
            service="s", zone="z1", cpu=4000, memory_mb=900, gpus=0, labels=("k", name)
        )
        ended_attempts = list(ends)
        for task, attempt, outcome in task_ends:
            number = self.task_ends[name] = self.task_ends.get(name, 0) + 1
            ended_attempts.append(
                Ended(
                    number=number, task=task, attempt=attempt, outcome=outcome, seconds=0, detail=""
                )
            )
        frame = AgentFrame(
            agent=name,
            lifetime=lifetime,
            session=agent.session,
            seen=agent.last_sent_number,
            stamp=self.now,
            load=load,
            profile=profile,
            ended=ended_attempts,
            active=list(active),
            opening=opening,
            routes_version=routes[0],
            routes_holder=routes[1],
            next_seconds=0.15,
            crashes=tuple(CrashReport(crash_id=name, tasks=tasks) for name, tasks in crashes),
            unconfirmed=list(unconfirmed),
            late_starts=tuple(
                LateStart(task=task, seconds=seconds) for task, seconds in late_starts
            ),
        )
        receive_agent_frame(self.state, frame, self.now)

    def submit(self, specification, caller=1, wait=None):
        wait = wait or build_wait(self.now)
        submit_request(self.state, caller, specification, self.now, wait)

    def flush(self):
        """Returns the number of tasks sent to each agent, and the verdict sent to each caller."""
        expire_requests(self.state, self.now)
        place_waiting(self.state, self.now)
        collect_frames(self.state, self.now)
        effects, self.state.effects = self.state.effects, []
        placed, verdicts = {}, {}
        for effect in effects:
            if isinstance(effect, SendFrame):
                orders = [order for batch in effect.frame.batches for order in batch.orders]
                if orders:
                    placed[effect.agent] = len(orders)
            elif isinstance(effect, SendVerdict):
                verdicts[effect.caller] = effect.verdict
        return placed, verdicts

    def test_a_request_known_to_crash_runners_is_failed_at_once(self):
        """Guards against a resubmitted request that crashes runners as if it were new."""
        crashes = (("a/1", ("r/0/1", "x/0/0")), ("b/1", ("r/0/1", "r/0/0")))
        self.deliver_frame("a", crashes=crashes)
        self.judge_crashes()
        self.submit(build_request("r"))
        placed, verdicts = self.flush()
        self.assertEqual((placed, verdicts), ({}, {1: Verdict.FAILED}))

    # Guards against one more start of a deadly task while its last crash isn't judged yet.
    def test_a_request_whose_last_crash_is_not_judged_yet_is_held(self):
        crashes = (("a/1", ("r/0/0", "x/0/0")), ("b/1", ("r/0/0",)))
        self.deliver_frame("a", crashes=crashes)
        self.submit(build_request("r", tasks=1))
        self.assertEqual(self.flush(), ({}, {}))
        self.judge_crashes()
        self.assertEqual(self.flush(), ({}, {1: Verdict.FAILED}))

    def judge_crashes(self):
        self.now += COINCIDENCE_SECONDS
        judge_crashes(self.state, self.now)

    def test_a_suspect_is_placed_on_an_idle_target_and_nothing_beside_it(self):
        self.submit(build_request("r", tasks=1), caller=1)
        self.assertEqual(self.flush()[0], {"a": 1})
        end = ("r/0/0", 1, Outcome.LOST)
        self.deliver_frame("a", task_ends=[end], crashes=[("a/1", ("r/0/0",))], accepting=False)
        self.deliver_frame("b")
        self.assertEqual(self.flush()[0], {"b": 1})
        self.assertTrue(self.state.agents["b"].reservations[0].isolated)
        self.submit(build_request("s", tasks=1), caller=2)
        self.assertEqual(self.flush()[0], {}, "the only usable target isolates the suspect")

    def test_suspects_that_wait_do_not_hold_up_other_requests(self):
        """Guards against suspects without a target at the head of the queue."""
        crashes = [(f"x/{number}", (f"r{number}/0/0",)) for number in range(40)]
        self.deliver_frame("a", crashes=crashes, isolating=True, cpu=0)
        for number in range(40):
            self.submit(build_request(f"r{number}", tasks=1), caller=number)
        self.flush()
        self.submit(build_request("s", tasks=1), caller=100)
        self.assertEqual(self.flush()[0], {"b": 1})

    def test_unmeetable_requests_are_refused_while_queued_or_without_a_target(self):
        for is_accepting in (True, False):
            self.setUp()
            for name in ("a", "b"):
                self.deliver_frame(name, cpu=0, accepting=is_accepting)
            self.submit(build_request("short", estimate=0.1), caller=1)
            self.submit(build_request("long", estimate=2.0), caller=2)
            self.now += 0.6
            for name in ("a", "b"):
                self.deliver_frame(name, cpu=0, accepting=is_accepting)
            refuse_unmeetable(self.state, self.now)
            verdicts = {
                effect.caller: (effect.verdict, effect.retry_at > self.now)
                for effect in self.state.effects
                if isinstance(effect, SendVerdict)
            }
            self.assertEqual(
                verdicts, {} if not is_accepting else {1: (Verdict.NOT_RUN, True)}, is_accepting
            )
            self.now += 0.1
            refuse_unmeetable(self.state, self.now)
            self.assertEqual(list(self.state.requests), ["long"])

    def test_agents_receive_the_rank_of_the_most_urgent_waiting_request(self):
        self.flush()
        for priority, rank in ((2, 4), (1, 3), (0, 2)):
            self.submit(build_request(f"r{priority}", priority=priority))
            self.assertEqual(rank_demand(self.state), rank)
            collect_frames(self.state, self.now)
            effects, self.state.effects = self.state.effects, []
            frames = [effect.frame for effect in effects if isinstance(effect, SendFrame)]
            self.assertEqual([frame.demand_rank for frame in frames], [rank, rank])
        self.state.queues.clear()
        collect_frames(self.state, self.now)
        self.assertEqual(self.state.effects, [], "no frame is sent without a change")

    def place(self, specification):
        self.submit(specification)
        placed, _ = self.flush()
        return placed

    def finish_all_tasks(self, outcome):
        for name, agent in self.state.agents.items():
            task_ends = [(task.name, task.attempt, outcome) for task in agent.tasks.values()]
            self.deliver_frame(name, task_ends=task_ends)
        return self.flush()

    def test_a_request_completes_and_a_repetition_gets_its_verdict(self):
        self.assertEqual(sum(self.place(build_request(tasks=4)).values()), 4)
        _, verdicts = self.finish_all_tasks(Outcome.DONE)
        self.assertEqual(verdicts, {1: Verdict.COMPLETED})
        self.submit(build_request(tasks=4), caller=2)
        self.assertEqual(self.flush()[1], {2: Verdict.COMPLETED}, "a repetition is not run again")

    def test_tasks_beyond_capacity_wait_and_reservations_count(self):
        self.assertEqual(sum(self.place(build_request(tasks=10)).values()), 8)
        self.assertEqual(self.place(build_request(request_id="q")), {})

    def test_the_higher_priority_is_placed_first(self):
        for name in ("a", "b"):
            self.deliver_frame(name, cpu=0)
        self.submit(build_request(request_id="bulk", priority=2, tasks=1))
        self.submit(build_request(request_id="urgent", priority=0, tasks=1), caller=2)
        self.flush()
        self.deliver_frame("a", cpu=1000)
        self.flush()
        self.assertEqual(list(self.state.agents["a"].tasks), ["urgent/0/0"])

    # Guards against large requests that keep others out by what is left of them.
    def test_what_has_begun_and_is_of_no_use_any_more_follows_what_can_be_on_time(self):
        self.submit(build_request(request_id="large", tasks=2 * MAX_PENDING_TASKS))
        self.flush()
        self.now += 0.5
        self.take_room()
        self.submit(build_request(request_id="early", tasks=1), caller=2)
        self.flush()
        self.deliver_frame("a", cpu=1000)
        self.assertIn("large", self.place_next("a"), "begun, and still of use")
        self.now += 1.0
        self.take_room()
        self.submit(build_request(request_id="later", tasks=1), caller=3)
        self.flush()
        self.deliver_frame("a", cpu=1000)
        self.assertEqual(self.place_next("a"), "later/0/0")
        # It isn't held back where nothing else waits, though little room is free.
        self.deliver_frame("b", cpu=1000)
        self.assertIn("large", self.place_next("b"))

    def test_what_is_left_of_a_small_request_that_has_begun_precedes_others(self):
        self.submit(build_request(request_id="small", tasks=MAX_PENDING_TASKS))
        self.flush()
        self.now += 1.5
        self.take_room()
        self.submit(build_request(request_id="later", tasks=1), caller=2)
        self.flush()
        self.deliver_frame("a", cpu=1000)
        self.assertIn("small", self.place_next("a"))

    def take_room(self):
        for name in ("a", "b"):
            self.deliver_frame(name, cpu=0)

    def place_next(self, name):
        """Returns the name of the task that is placed on an agent next."""
        before = set(self.state.agents[name].tasks)
        self.flush()
        (task,) = set(self.state.agents[name].tasks) - before
        return task

    def test_a_slow_target_is_not_used_while_a_fast_one_would_be_on_time(self):
        self.deliver_frame("a", cpu=0)
        self.deliver_frame("b", slowness=5.0)
        self.assertEqual(self.place(build_request()), {})
        self.now += 0.25
        for name, cpu in (("a", 0), ("b", 4000)):
            self.deliver_frame(name, cpu=cpu, slowness=1.0 if name == "a" else 5.0)
        self.assertEqual(self.flush()[0], {"b": 2}, "late on either target")

    def test_unmeetable_requests_end_as_not_run(self):
        for name in ("a", "b"):
            self.deliver_frame(name, cpu=0)
        self.submit(build_request())
        self.flush()
        self.now += 2.0
        for name in ("a", "b"):
            self.deliver_frame(name, cpu=0)
        self.assertEqual(self.flush()[1], {1: Verdict.NOT_RUN})

    def test_labels_and_step_dependencies_are_respected(self):
        self.assertEqual(self.place(build_request(label="b", after=(0,))), {"b": 2})
        self.deliver_frame("b", task_ends=[("r/0/0", 1, Outcome.DONE)])
        self.assertEqual(self.flush()[0], {})
        self.deliver_frame("b", task_ends=[("r/0/1", 1, Outcome.DONE)])
        self.assertEqual(sum(self.flush()[0].values()), 1)

    def test_failed_tasks_are_retried_on_other_agents_until_attempts_are_exhausted(self):
        self.place(build_request(tasks=1))
        (first,) = [name for name in "ab" if self.state.agents[name].tasks]
        placed, verdicts = self.finish_all_tasks(Outcome.FAILED)
        self.assertEqual(verdicts, {})
        self.assertNotIn(first, placed)
        self.assertEqual(self.finish_all_tasks(Outcome.FAILED)[1], {1: Verdict.FAILED})

    def test_tasks_survive_the_reconnection_of_a_link(self):
        self.place(build_request(label="a"))
        end_session(self.state, "a", self.state.agents["a"].session)
        self.establish_link("a", active=["r/0/0", "r/0/1"])
        self.assertEqual(self.flush()[0], {})
        self.deliver_frame("a", task_ends=[("r/0/0", 1, Outcome.DONE), ("r/0/1", 1, Outcome.DONE)])
        self.assertEqual(self.flush()[1], {1: Verdict.COMPLETED})

    def test_tasks_that_never_reached_their_agent_are_placed_again(self):
        self.place(build_request(label="a"))
        end_session(self.state, "a", self.state.agents["a"].session)
        self.establish_link("a", active=["r/0/0"])
        self.assertEqual(self.flush()[0], {"a": 1})

    def test_tasks_of_a_silent_agent_are_placed_again_only_after_its_leases_expire(self):
        self.place(build_request(tasks=1))
        (silent,) = [name for name in "ab" if self.state.agents[name].tasks]
        other = "b" if silent == "a" else "a"
        self.deliver_frame(silent)
        started = self.now
        replaced_at = None
        while replaced_at is None and self.now < started + 3:
            self.now += 0.05
            self.deliver_frame(other)
            expire_agents(self.state, self.now)
            if self.flush()[0]:
                replaced_at = self.now
        self.assertGreater(replaced_at - started, 0.5 + 0.6)
        self.assertLess(replaced_at - started, 1.3)

    def fall_silent(self, silent, seconds):
        """Lets an agent be silent; returns the numbers of tasks sent to other agents meanwhile."""
        placed = []
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += 0.05
            for name in "ab":
                if name != silent:
                    self.deliver_frame(name)
            expire_agents(self.state, self.now)
            placed.extend(self.flush()[0].values())
        return placed

    # Guards against a start of an agent that died, which its runner carries out as it restarts,
    # while the task runs elsewhere.
    def test_an_unconfirmed_task_of_a_dead_agent_waits_for_the_next_lifetime_of_the_agent(self):
        self.deliver_frame("b", accepting=False)
        self.place(build_request(tasks=2))
        self.deliver_frame("a", unconfirmed=["r/0/1"])
        self.assertEqual(self.fall_silent("a", 4.0), [1])
        end_session(self.state, "a", self.state.agents["a"].session)
        self.establish_link("a", lifetime="2", accepting=False)
        self.assertEqual(self.flush()[0], {})
        self.deliver_frame("a", lifetime="2")
        self.assertEqual(sum(self.flush()[0].values()), 1)

    def test_an_unconfirmed_task_of_an_agent_that_is_gone_waits_until_its_start_is_too_old(self):
        self.deliver_frame("b", accepting=False)
        self.place(build_request(tasks=1))
        self.assertEqual(self.fall_silent("a", LATE_START_SECONDS - 0.1), [])
        self.assertEqual(self.fall_silent("a", 0.3), [1])

    # Guards against a task that its agent still has, after a cut, and that is placed again.
    def test_a_silent_agent_that_returns_has_its_unconfirmed_tasks_back(self):
        self.deliver_frame("b", accepting=False)
        self.place(build_request(tasks=1))
        self.assertEqual(self.fall_silent("a", 2.0), [])
        self.establish_link("a", active=["r/0/0"])
        self.deliver_frame("a", unconfirmed=["r/0/0"])
        self.assertEqual(self.flush()[0], {})
        self.deliver_frame("a", task_ends=[("r/0/0", 1, Outcome.DONE)])
        self.assertEqual(self.flush()[1], {1: Verdict.COMPLETED})

    def test_tasks_of_a_restarted_agent_are_placed_again_once_it_accepts_work(self):
        self.place(build_request(label="a"))
        end_session(self.state, "a", self.state.agents["a"].session)
        self.establish_link("a", lifetime="2", accepting=False)
        self.assertEqual(self.flush()[0], {})
        self.deliver_frame("a", lifetime="2")
        self.assertEqual(self.flush()[0], {"a": 2})

    def test_a_disconnected_caller_cancels_its_request_and_a_repetition_waits(self):
        self.place(build_request(label="a"))
        disconnect_caller(self.state, 1, self.now)
        self.assertEqual(sorted(self.state.agents["a"].stops), ["r/0/0", "r/0/1"])
        self.submit(build_request(label="a"), caller=2)
        self.assertEqual(self.flush()[0], {})
        self.deliver_frame("a", task_ends=[("r/0/0", 1, Outcome.LOST), ("r/0/1", 1, Outcome.LOST)])
        self.assertEqual(self.flush()[0], {"a": 2})

    def test_a_suspended_entry_does_not_time_out_its_agents(self):
        self.place(build_request())
        self.now += 5.0
        expire_agents(self.state, self.now)
        self.assertEqual(self.flush()[0], {})
        self.assertTrue(self.state.agents["a"].connected)

    def test_the_factor_of_remote_tasks_decides_between_a_near_and_a_fast_target(self):
        for factor, expected in ((1.5, "a"), (2.5, "b")):
            self.setUp()
            self.state.remote_factor = factor
            self.deliver_frame("b", slowness=2.0)
            request = build_request(tasks=1, estimate=0.05)
            request.steps[0].rack = "b"
            self.submit(request)
            self.assertEqual(list(self.flush()[0]), [expected])

    def test_a_refusal_without_targets_says_so(self):
        for name in ("a", "b"):
            self.deliver_frame(name, accepting=False)
        self.submit(build_request())
        self.now += 5
        refuse_unmeetable(self.state, self.now)
        verdicts = [effect for effect in self.state.effects if isinstance(effect, SendVerdict)]
        details = [effect.detail for effect in verdicts]
        self.assertEqual(details, ["no target is usable: 2 known, 2 linked"])

    def test_an_agent_whose_address_belongs_to_another_one_is_forgotten(self):
        self.submit(build_request(tasks=8))
        self.flush()
        self.deliver_frame("a")
        self.assertTrue(self.state.agents["a"].tasks)
        discover_agent(self.state, "c", "a:1")
        self.assertEqual(self.state.agents["a"].address, "")
        self.now += AGENT_EXPIRY_SECONDS + 0.1
        for _ in range(2):
            self.state.ticked_at = self.now
            expire_agents(self.state, self.now)
        self.assertEqual(sorted(self.state.agents), ["b", "c"])
        discover_agent(self.state, "a", "a:2")
        self.assertEqual(self.state.agents["a"].address, "a:2")

    def test_an_agent_out_of_reach_for_long_is_no_longer_tried(self):
        end_session(self.state, "a", self.state.agents["a"].session)
        self.state.agents["a"].link_requested_at = self.now
        self.now += FORGET_AGENT_SECONDS + 1
        self.state.ticked_at = self.now
        expire_agents(self.state, self.now)
        self.assertEqual(list(self.state.agents), ["b"])
        self.assertIn("RemoveLink", [type(effect).__name__ for effect in self.state.effects])

    def test_a_timestamp_is_echoed_at_once_if_it_extends_the_lease(self):
        """A late echo would leave less time until the agent stops the tasks of a silent entry."""
        collect_frames(self.state, self.now)
        for seconds, expected in ((0.01, 0), (0.2, 1), (0.01, 0), (0.3, 1)):
            self.now += seconds
            self.deliver_frame("a")
            self.state.effects.clear()
            collect_frames(self.state, self.now)
            frames = [effect for effect in self.state.effects if isinstance(effect, SendFrame)]
            self.assertEqual(len(frames), expected, seconds)

    def test_a_newer_routing_document_is_fetched(self):
        self.deliver_frame("a", routes=(7, "e2:1"))
        (effect,) = [e for e in self.state.effects if isinstance(e, FetchRoutes)]
        self.assertEqual(effect.address, "e2:1")
