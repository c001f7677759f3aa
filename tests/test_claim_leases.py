"""Leases of claims at their holder, and what registrars that have just started say."""

import unittest

from comfreysill.claims.claim import ClaimRegistry
from comfreysill.claims.registry import receive_claim, take_late_replies
from comfreysill.exchange.claims import (
    ClaimRepliesFrame,
    ClaimRequest,
    ClaimsFrame,
    ClaimStatus,
)
from comfreysill.exchange.messages import CLAIM_LEASE_SECONDS, RUN_EXPIRY_SECONDS
from comfreysill.placement.claim_leases import is_complete
from comfreysill.placement.claims import confirm_claim
from comfreysill.placement.effects import SendClaimReplies
from comfreysill.placement.peer_links import (
    HEARTBEAT_SECONDS,
    expire_replies,
    receive_replies,
    update_peers,
)
from comfreysill.placement.registrar import receive_claims
from comfreysill.placement.requests import conclude_request
from comfreysill.placement.state import EntryState
from comfreysill.request.types import Verdict
from tests import test_claims

GRANTED, HELD = ClaimStatus.GRANTED, ClaimStatus.HELD


class TestHolder(unittest.TestCase):
    """An entry `e` with two peers, which have granted it a claim."""

    receive = test_claims.TestClaimant.receive
    submit = test_claims.TestClaimant.submit
    collect = test_claims.TestClaimant.collect
    submit_to_others = test_claims.TestClaimant.submit_to_others
    build_reply = test_claims.TestClaimant.build_reply

    def setUp(self):
        test_claims.TestClaimant.setUp(self)
        self.request_id, self.names = self.submit_to_others()
        for name, frame in self.collect().items():
            self.receive(name, self.build_reply(self.request_id, frame, GRANTED))
        self.request = self.state.requests[self.request_id]

    def echo(self, name, sent_at):
        """Delivers an answer to the frame that was sent at a time."""
        session = self.state.peers[f"{name}:1"].session
        frame = ClaimRepliesFrame(entry=f"{name}@1", session=session, replies=[], echo=sent_at)
        receive_replies(self.state, f"{name}:1", frame, self.now)

    def is_confirmed(self):
        return confirm_claim(self.state, self.request, self.now)

    # Guards against a holder that acts on a claim that it hasn't heard of for too long.
    def test_a_claim_lapses_unless_a_registrar_answers(self):
        self.now += CLAIM_LEASE_SECONDS - 0.01
        self.assertTrue(self.is_confirmed())
        self.now += 0.01
        self.assertFalse(self.is_confirmed())
        self.assertEqual({len(frame.claims) for frame in self.collect().values()}, {1})

    def test_heartbeats_and_their_answers_keep_a_claim(self):
        for _ in range(5):
            self.now += HEARTBEAT_SECONDS
            update_peers(self.state, self.now)
            expire_replies(self.state, self.now)
            frames = self.collect()
            self.assertEqual({frame.sent_at for frame in frames.values()}, {self.now})
            self.now += 0.05
            self.echo(self.names[0], self.now - 0.05)
            self.assertTrue(self.is_confirmed())

    # Guards against an answer that comes after a pause, from a registrar that has granted the claim
    # to another entry meanwhile.
    def test_an_answer_after_the_lapse_restores_no_earlier_claim(self):
        self.now += CLAIM_LEASE_SECONDS
        for name in self.names:
            self.echo(name, self.now - 0.001)
        self.assertFalse(self.is_confirmed())

    def test_an_answer_from_the_future_confirms_no_longer_than_any_other(self):
        self.echo(self.names[0], self.now + 1000.0)
        self.now += CLAIM_LEASE_SECONDS
        self.assertFalse(self.is_confirmed())

    def test_a_lapsed_claim_is_used_again_once_all_entries_have_answered(self):
        self.now += 3.0
        self.assertFalse(self.is_confirmed())
        for name, frame in self.collect().items():
            self.assertFalse(self.is_confirmed())
            self.receive(name, self.build_reply(self.request_id, frame, GRANTED))
        self.assertTrue(self.is_confirmed())

    def test_a_lapsed_claim_of_another_entry_is_waited_for(self):
        self.now += 3.0
        self.assertFalse(self.is_confirmed())
        frames = self.collect()
        reply = self.build_reply(self.request_id, frames[self.names[0]], HELD, holder="g@1")
        self.receive(self.names[0], reply)
        self.now += 1.0
        self.assertFalse(self.is_confirmed())
        self.assertIsNone(self.request.verdict)

    # Guards against an entry that grants another one what it runs itself, as both registrars of the
    # request are gone.
    def test_an_entry_does_not_grant_what_it_runs_itself(self):
        frame = ClaimsFrame(entry="g@1", session=1, opening=True, claims=[], releases=[])
        receive_claims(self.state, frame, self.now)
        claim = ClaimRequest(request_id=self.request_id, number=1, seconds=5.0)
        frame = ClaimsFrame(entry="g@1", session=1, opening=False, claims=[claim], releases=[])
        receive_claims(self.state, frame, self.now)
        replies = [
            reply
            for effect in self.state.effects
            if isinstance(effect, SendClaimReplies)
            for reply in effect.frame.replies
        ]
        self.assertEqual([(reply.status, reply.holder) for reply in replies], [(HELD, "e@1")])
        conclude_request(self.state, self.request, Verdict.COMPLETED, "", self.now)
        self.assertEqual(self.state.registry.claims, {})


class TestRegistrar(unittest.TestCase):
    """A registrar that may have granted claims that it doesn't know."""

    def claim(self, registry, entry, settled):
        request = ClaimRequest(request_id="r", number=1, seconds=5.0, settled=settled)
        return receive_claim(registry, entry, request, 100.0, is_complete=False).status

    # Guards against a holder whose runs go on beside those of an entry that has asked a registrar
    # just after its start.
    def test_an_earlier_holder_takes_its_claim_back(self):
        registry = ClaimRegistry()
        self.assertEqual(self.claim(registry, "e@1", False), GRANTED)
        self.assertEqual(self.claim(registry, "f@1", True), GRANTED)
        replies = [(item.entry, item.reply.status) for item in take_late_replies(registry)]
        self.assertEqual(replies, [("e@1", HELD)])
        self.assertEqual(self.claim(registry, "g@1", True), HELD)

    # Guards against claims that an entry reads before its first look for peers and grants for good.
    def test_it_knows_no_claims_before_its_first_action(self):
        state = EntryState(name="e@1", zone="z", unix_offset=0.0)
        state.entries = ["e:1", "f:1"]
        self.assertFalse(is_complete(state, test_claims.NOW))

    def test_it_knows_all_claims_once_all_entries_have_opened_their_sessions(self):
        case = TestHolder()
        case.setUp()
        state, now = case.state, test_claims.NOW
        self.assertFalse(is_complete(state, now))
        state.claimants = {"e@1": 1, "f@1": 1}
        self.assertFalse(is_complete(state, now))
        state.claimants["g@1"] = 1
        self.assertTrue(is_complete(state, now))
        update_peers(state, now + CLAIM_LEASE_SECONDS)
        self.assertFalse(is_complete(state, now + CLAIM_LEASE_SECONDS))
        self.assertTrue(is_complete(state, now + CLAIM_LEASE_SECONDS + RUN_EXPIRY_SECONDS))


if __name__ == "__main__":
    unittest.main()
