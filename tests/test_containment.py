"""An unexpected error in one message costs its request or its session, and no more."""

import unittest
from unittest import mock

from comfreysill.containment import MAX_CONSECUTIVE_FAILURES, handle_contained
from comfreysill.exchange.messages import Member, Outcome, Role
from comfreysill.execution.state import AgentState
from comfreysill.gateway import handlers as gateway
from comfreysill.gateway import messages as gateway_messages
from comfreysill.gateway.actor import Actor
from comfreysill.mailbox import Mailbox
from comfreysill.placement import agents, claims
from comfreysill.placement.agents import begin_session
from comfreysill.placement.effects import CloseSession, SendVerdict
from comfreysill.request.types import Verdict
from comfreysill.sidecar import actor as sidecar
from comfreysill.sidecar import messages as sidecar_messages
from tests import test_placement
from tests.test_placement import build_request
from tests.waits import build_wait


def fail(*arguments, **named_arguments):
    raise KeyError("bug")


class TestEntryContainment(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.case = test_placement.TestPlacement()
        self.case.setUp()
        self.state, self.now = self.case.state, self.case.now
        self.actor = Actor(state=self.state)
        self.state.effects.clear()

    def pass_message(self, message):
        handle_contained(self.actor, message, self.now, gateway.HANDLERS, gateway.CONTAINMENT)

    def handle(self, message):
        with self.assertLogs("comfreysill.containment", "ERROR"):
            self.pass_message(message)

    def test_a_failed_submission_is_answered_as_one_that_may_have_run(self):
        message = gateway_messages.Submit(
            caller=7, specification=build_request(), wait=build_wait(self.now)
        )
        with mock.patch.object(claims, "push_request", fail):
            self.handle(message)
        verdicts = [effect for effect in self.state.effects if isinstance(effect, SendVerdict)]
        self.assertEqual({effect.caller for effect in verdicts}, {7})
        self.assertEqual({effect.verdict for effect in verdicts}, {Verdict.MAY_HAVE_RUN})
        self.assertEqual((self.state.requests, self.state.callers), ({}, {}))
        self.pass_message(message)
        self.assertIn("r", self.state.requests)

    def test_a_failed_frame_closes_its_session_and_ends_the_requests_it_left_half_changed(self):
        self.case.submit(build_request(tasks=1))
        self.case.flush()
        name, agent = next(item for item in self.state.agents.items() if item[1].tasks)
        frame = mock.Mock(agent=name)

        def fail_after_removing_the_task(state, frame, now):
            agent.tasks.clear()
            fail()

        with mock.patch.object(gateway, "receive_agent_frame", fail_after_removing_the_task):
            self.handle(gateway_messages.AgentFrameReceived(agent=name, frame=frame))
        closed = [effect for effect in self.state.effects if isinstance(effect, CloseSession)]
        self.assertEqual([effect.agent for effect in closed], [name])
        self.assertEqual((self.state.requests, self.state.callers), ({}, {}))
        self.assertEqual(begin_session(self.state, name, self.now), agent.session)

    def test_a_frame_of_another_agent_releases_the_address(self):
        frame = mock.Mock(agent="b")
        self.pass_message(gateway_messages.AgentFrameReceived(agent="a", frame=frame))
        self.assertEqual(self.state.agents["a"].address, "")
        self.assertEqual(self.state.agents["b"].address, "b:1")

    def test_members_named_by_another_entry_dont_override_what_is_known(self):
        """Another entry may know an address of an agent that is gone."""
        members = [
            Member(name="gone", role=Role.AGENT, address="a:1"),
            Member(name="b", role=Role.AGENT, address="old:1"),
            Member(name="c", role=Role.AGENT, address="c:1"),
        ]
        self.pass_message(gateway_messages.MembersDiscovered(members=members, second_hand=True))
        known = {name: agent.address for name, agent in self.state.agents.items()}
        self.assertEqual(known, {"a": "a:1", "b": "b:1", "c": "c:1"})
        self.pass_message(gateway_messages.MembersDiscovered(members=members[:1]))
        self.assertEqual(self.state.agents["a"].address, "")

    def test_an_error_in_a_tick_is_passed_on(self):
        with mock.patch.object(gateway, "expire_agents", fail), self.assertRaises(KeyError):
            self.handle(gateway_messages.Tick())

    def test_errors_without_end_are_passed_on(self):
        message = gateway_messages.MemberRemoved(name="a")
        with mock.patch.object(gateway, "release_agent", fail):
            for _ in range(MAX_CONSECUTIVE_FAILURES - 1):
                self.handle(message)
            self.pass_message(gateway_messages.Tick())
            for _ in range(MAX_CONSECUTIVE_FAILURES - 1):
                self.handle(message)
            with self.assertRaises(KeyError):
                self.handle(message)

    def test_the_ends_after_a_failed_one_are_processed_on_the_next_session(self):
        self.case.submit(build_request("r1", tasks=1), caller=1)
        self.case.submit(build_request("r2", tasks=1), caller=2)
        self.case.flush()
        agent = self.state.agents["a"]
        ends = [(name, 1, Outcome.DONE) for name in ("r1/0/0", "r2/0/0")]
        for name in ("r1/0/0", "r2/0/0"):
            agent.tasks[name] = self.state.requests[name[:2]].placed[name]
            agent.tasks[name].agent = "a"
        with mock.patch.object(agents, "end_task", fail), self.assertRaises(KeyError):
            self.case.deliver_frame("a", task_ends=ends)
        agents.contain_failed_frame(self.state, "a", self.now)
        self.assertEqual(list(self.state.requests), ["r2"])
        begin_session(self.state, "a", self.now)
        self.case.task_ends["a"] = 0
        self.case.deliver_frame("a", opening=True, active=["r2/0/0"], task_ends=ends)
        self.assertEqual(self.case.flush()[1], {1: Verdict.MAY_HAVE_RUN, 2: Verdict.COMPLETED})


class TestAgentContainment(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        state = AgentState(agent="a", lifetime="1", zone="z", token=1)
        self.actor = sidecar.Actor(agent=state, submit_call=lambda call: None)

    def handle(self, message):
        with self.assertLogs("comfreysill.containment", "ERROR"):
            handle_contained(self.actor, message, 1.0, sidecar.HANDLERS, sidecar.CONTAINMENT)

    async def test_a_failed_frame_closes_its_session(self):
        outbox = Mailbox()
        message = sidecar_messages.EntryFrameReceived(frame=mock.Mock(), outbox=outbox)
        with mock.patch.object(sidecar, "receive_frame", fail):
            self.handle(message)
        self.assertEqual(await outbox.get_batch(), [None])

    def test_a_failed_reply_is_settled_by_the_next_renewal(self):
        message = sidecar_messages.RunnerCallFinished(reply=mock.Mock())
        with mock.patch.object(sidecar, "receive_call_reply", fail):
            self.handle(message)
        self.assertTrue(self.actor.agent.renew_now)
