"""Claims of requests: the registry of a registrar, and a claimant with its registrars."""

import unittest

from comfreysill.claims.claim import ClaimRegistry
from comfreysill.claims.registry import (
    ENDED_CLAIM_SECONDS,
    expire_claims,
    receive_claim,
    receive_release,
    record_absence,
    record_session,
    take_late_replies,
)
from comfreysill.exchange.claims import (
    ClaimRelease,
    ClaimRepliesFrame,
    ClaimReply,
    ClaimRequest,
    ClaimsFrame,
    ClaimStatus,
)
from comfreysill.exchange.messages import RUN_EXPIRY_SECONDS
from comfreysill.placement import claims
from comfreysill.placement.effects import SendClaimReplies, SendClaims
from comfreysill.placement.peer_links import (
    OVERDUE_REPLY_SECONDS,
    begin_peer_session,
    collect_claims,
    expire_replies,
    receive_replies,
    update_peers,
)
from comfreysill.placement.registrar import receive_claims
from comfreysill.placement.requests import (
    conclude_remote_ends,
    disconnect_caller,
    expire_requests,
    submit_request,
)
from comfreysill.placement.state import EntryState
from comfreysill.request.types import Verdict
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.claims import decode_claims, decode_replies, encode_claims, encode_replies
from comfreysill.wire.errors import FrameError
from tests.test_placement import build_request
from tests.waits import build_wait

NOW = 100.0
GRANTED, HELD, ENDED, AWAITED = ClaimStatus


class TestRegistry(unittest.TestCase):
    def setUp(self):
        self.registry = ClaimRegistry()
        for entry in ("e@1", "f@1", "g@1"):
            record_session(self.registry, entry, set(), NOW)

    def claim(self, entry, number=1, seconds=2.0, now=NOW, request_id="r"):
        request = ClaimRequest(request_id=request_id, number=number, seconds=seconds)
        return receive_claim(self.registry, entry, request, now).status

    def release(self, entry, number=1, verdict=None, now=NOW):
        release = ClaimRelease(request_id="r", number=number, verdict=verdict)
        receive_release(self.registry, entry, release, now)

    def take_replies(self, *statuses):
        """Returns the late replies with one of the statuses."""
        replies = take_late_replies(self.registry)
        return [
            (item.entry, item.reply.status) for item in replies if item.reply.status in statuses
        ]

    def test_one_entry_at_a_time_holds_a_claim(self):
        self.assertEqual(self.claim("e@1"), GRANTED)
        self.assertEqual(self.claim("e@1"), GRANTED)
        self.assertEqual(self.claim("f@1"), HELD)
        self.assertEqual(self.claim("g@1"), HELD)
        self.release("e@1")
        self.assertEqual(self.take_replies(GRANTED, ENDED), [("f@1", GRANTED)])
        self.release("f@1")
        self.assertEqual(self.take_replies(GRANTED, ENDED), [("g@1", GRANTED)])
        self.release("g@1")
        self.assertEqual(self.registry.claims, {})

    def test_those_who_wait_get_the_verdict_and_so_do_later_ones_for_a_time(self):
        self.claim("e@1")
        self.claim("f@1")
        self.release("e@1", verdict=Verdict.COMPLETED)
        self.assertEqual(self.take_replies(GRANTED, ENDED), [("f@1", ENDED)])
        self.assertEqual(self.claim("g@1", now=NOW + ENDED_CLAIM_SECONDS - 0.1), ENDED)
        later = NOW + ENDED_CLAIM_SECONDS
        expire_claims(self.registry, later, RUN_EXPIRY_SECONDS)
        self.assertEqual(self.registry.ended, {})
        self.assertEqual(self.claim("g@1", now=later), GRANTED)

    # Guards against a release that arrives after the same entry has claimed the request again.
    def test_a_release_of_an_earlier_claim_ends_no_later_one(self):
        self.claim("e@1", number=1)
        self.claim("e@1", number=2)
        self.release("e@1", number=1)
        self.assertEqual(self.claim("f@1"), HELD)

    def test_a_claim_ends_after_the_leases_of_a_holder_that_has_ended(self):
        self.claim("e@1", seconds=30.0)
        self.claim("f@1")
        record_absence(self.registry, "e@1", NOW)
        expire_claims(self.registry, NOW + RUN_EXPIRY_SECONDS - 0.01, RUN_EXPIRY_SECONDS)
        self.assertEqual(self.take_replies(GRANTED), [])
        expire_claims(self.registry, NOW + RUN_EXPIRY_SECONDS, RUN_EXPIRY_SECONDS)
        self.assertEqual(self.take_replies(GRANTED), [("f@1", GRANTED)])

    # Guards against a holder that is cut off from its peers, and whose tasks run on.
    def test_a_claim_of_a_silent_holder_lasts_until_nothing_of_the_submission_may_run(self):
        self.claim("e@1", seconds=30.0)
        self.claim("f@1", seconds=40.0)
        expire_claims(self.registry, NOW + 29.0, RUN_EXPIRY_SECONDS)
        self.assertEqual(self.take_replies(GRANTED), [])
        expire_claims(self.registry, NOW + 30.0, RUN_EXPIRY_SECONDS)
        self.assertEqual(self.take_replies(GRANTED), [("f@1", GRANTED)])

    # Guards against callers that wait for ever for an entry that has lost its power.
    def test_a_claim_without_an_end_ends_after_its_holder_is_silent(self):
        self.claim("e@1", seconds=float("inf"))
        self.claim("f@1")
        expire_claims(self.registry, NOW + RUN_EXPIRY_SECONDS, RUN_EXPIRY_SECONDS)
        self.assertEqual(self.take_replies(GRANTED), [("f@1", GRANTED)])

    def test_a_new_session_ends_the_claims_that_it_does_not_repeat(self):
        self.claim("e@1")
        self.claim("e@1", request_id="q")
        self.claim("f@1")
        record_session(self.registry, "e@1", {"q"}, NOW)
        self.assertEqual(self.take_replies(GRANTED), [("f@1", GRANTED)])
        self.assertEqual(self.registry.claims["q"].holder.entry, "e@1")

    def test_a_new_lifetime_ends_the_claims_of_the_earlier_one(self):
        self.claim("e@1", seconds=30.0)
        self.claim("f@1")
        record_session(self.registry, "e@2", set(), NOW)
        expire_claims(self.registry, NOW + RUN_EXPIRY_SECONDS, RUN_EXPIRY_SECONDS)
        self.assertEqual(self.take_replies(GRANTED), [("f@1", GRANTED)])

    def test_the_holder_is_told_for_how_long_others_wait(self):
        self.claim("e@1")
        self.claim("f@1", seconds=3.0)
        (item,) = take_late_replies(self.registry)
        self.assertEqual((item.entry, item.reply.status, item.reply.seconds), ("e@1", AWAITED, 3.0))
        self.release("f@1")
        (item,) = take_late_replies(self.registry)
        self.assertEqual((item.entry, item.reply.status, item.reply.seconds), ("e@1", AWAITED, 0.0))


class TestClaimant(unittest.TestCase):
    """An entry `e` with two peers, `f` and `g`; one of its requests is open."""

    def setUp(self):
        self.now = NOW
        self.state = EntryState(name="e@1", zone="z", unix_offset=0.0)
        self.state.entries = ["e:1", "f:1", "g:1"]
        update_peers(self.state, self.now)
        for name in ("f", "g"):
            begin_peer_session(self.state, f"{name}:1", self.now)
            self.receive(name)
        self.state.effects.clear()

    def receive(self, name, *replies):
        session = self.state.peers[f"{name}:1"].session
        frame = ClaimRepliesFrame(entry=f"{name}@1", session=session, replies=list(replies))
        receive_replies(self.state, f"{name}:1", frame, self.now)
        conclude_remote_ends(self.state, self.now)

    def submit(self, request_id="r", caller=1):
        specification = build_request(request_id=request_id)
        submit_request(self.state, caller, specification, self.now, build_wait(self.now, 2.0))

    def collect(self):
        """Returns the frames to the registrars, by the name of their instance."""
        collect_claims(self.state, self.now)
        effects, self.state.effects = self.state.effects, []
        frames = [effect for effect in effects if isinstance(effect, SendClaims)]
        return {effect.address.partition(":")[0]: effect.frame for effect in frames}

    def submit_to_others(self):
        """Submits a request whose registrars are the peers; returns its id and their names."""
        for number in range(100):
            request_id = f"r{number}"
            if "" not in claims._rank_registrars(self.state, request_id)[:2]:
                self.submit(request_id)
                ranked = claims._rank_registrars(self.state, request_id)
                return request_id, [address.partition(":")[0] for address in ranked[:2]]
        raise AssertionError("no such request")

    def build_reply(self, request_id, frame, status, **fields):
        (claim,) = frame.claims
        return ClaimReply(request_id=request_id, number=claim.number, status=status, **fields)

    def is_queued(self, request_id):
        return self.state.requests[request_id].queued

    def test_a_request_waits_until_both_registrars_have_granted_it(self):
        request_id, (first, second) = self.submit_to_others()
        frames = self.collect()
        self.receive(first, self.build_reply(request_id, frames[first], GRANTED))
        self.assertFalse(self.is_queued(request_id))
        self.receive(second, self.build_reply(request_id, frames[second], GRANTED))
        self.assertTrue(self.is_queued(request_id))

    def test_a_request_that_another_entry_has_waits_for_its_end_there(self):
        request_id, (first, second) = self.submit_to_others()
        frames = self.collect()
        held = self.build_reply(request_id, frames[first], HELD, holder="g@1")
        self.receive(first, held)
        # The claim behind it is withdrawn, so that two claimants never wait for each other.
        (release,) = self.collect()[second].releases
        self.assertEqual(release.request_id, request_id)
        self.assertFalse(self.is_queued(request_id))
        ended = self.build_reply(request_id, frames[first], ENDED, verdict=Verdict.COMPLETED)
        self.receive(first, ended)
        self.assertEqual(self.state.effects[-1].verdict, Verdict.COMPLETED)
        self.assertEqual((self.state.requests, self.state.claims), ({}, {}))

    def test_a_withdrawn_claim_is_made_again_once_the_one_before_it_is_granted(self):
        request_id, (first, second) = self.submit_to_others()
        frames = self.collect()
        self.receive(first, self.build_reply(request_id, frames[first], HELD, holder="g@1"))
        self.collect()
        self.receive(first, self.build_reply(request_id, frames[first], GRANTED))
        frames = self.collect()
        self.assertFalse(self.is_queued(request_id))
        self.receive(second, self.build_reply(request_id, frames[second], GRANTED))
        self.assertTrue(self.is_queued(request_id))

    def test_another_registrar_is_asked_in_place_of_a_silent_one(self):
        request_id, (first, second) = self.submit_to_others()
        frames = self.collect()
        self.receive(second, self.build_reply(request_id, frames[second], GRANTED))
        self.now += claims.CLAIM_TIMEOUT_SECONDS
        expire_replies(self.state, self.now)
        # This entry itself is the next one.
        self.assertTrue(self.is_queued(request_id))
        self.assertEqual(self.state.registry.claims[request_id].holder.entry, "e@1")
        self.now += OVERDUE_REPLY_SECONDS
        expire_replies(self.state, self.now)
        self.assertFalse(self.state.peers[f"{first}:1"].usable)

    # Guards against replies that are missing as this process was suspended itself.
    def test_no_registrar_is_left_out_after_a_suspension(self):
        request_id, (first, _) = self.submit_to_others()
        self.now += 5.0
        self.state.resumed_at = self.now
        expire_replies(self.state, self.now)
        self.assertTrue(self.state.peers[f"{first}:1"].usable)
        self.assertFalse(self.is_queued(request_id))

    # Guards against a claim that its registrar gets behind the release that follows it.
    def test_a_claim_that_was_not_sent_yet_is_not_released(self):
        request_id, _ = self.submit_to_others()
        disconnect_caller(self.state, 1, self.now)
        self.assertEqual(self.collect(), {})
        self.assertNotIn(request_id, self.state.claims)

    def test_a_request_without_callers_goes_on_for_another_entry_that_waits(self):
        request_id, names = self.submit_to_others()
        frames = self.collect()
        for name in names:
            self.receive(name, self.build_reply(request_id, frames[name], GRANTED))
        awaited = self.build_reply(request_id, frames[names[0]], AWAITED, seconds=4.0)
        self.receive(names[0], awaited)
        disconnect_caller(self.state, 1, self.now)
        self.assertIsNone(self.state.requests[request_id].verdict)
        gone = self.build_reply(request_id, frames[names[0]], AWAITED, seconds=0.0)
        self.receive(names[0], gone)
        self.assertEqual(self.state.requests, {})

    # Guards against a caller that is told that nothing ran, though another entry has run it.
    def test_a_request_that_another_entry_has_is_not_refused_as_never_run(self):
        request_id, (first, _) = self.submit_to_others()
        frames = self.collect()
        self.receive(first, self.build_reply(request_id, frames[first], HELD, holder="g@1"))
        self.now += 2.0
        request = self.state.requests[request_id]
        expire_requests(self.state, self.now)
        self.assertEqual(request.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_frame_of_an_earlier_session_is_dropped(self):
        opening = ClaimsFrame(entry="f@1", session=5, opening=True, claims=[], releases=[])
        receive_claims(self.state, opening, self.now)
        self.assertIsInstance(self.state.effects[-1], SendClaimReplies)
        claim = ClaimRequest(request_id="r", number=1, seconds=1.0)
        stale = ClaimsFrame(entry="f@1", session=4, opening=False, claims=[claim], releases=[])
        receive_claims(self.state, stale, self.now)
        self.assertEqual(self.state.registry.claims, {})


class TestWire(unittest.TestCase):
    def test_frames_are_the_same_after_encoding(self):
        frame = ClaimsFrame(
            entry="e@1",
            session=2,
            opening=True,
            claims=[
                ClaimRequest(request_id="r", number=1, seconds=2.5, settled=True),
                ClaimRequest(request_id="q", number=2, seconds=float("inf")),
            ],
            releases=[
                ClaimRelease(request_id="r", number=3, verdict=None),
                ClaimRelease(request_id="q", number=4, verdict=Verdict.FAILED),
            ],
            sent_at=7.5,
        )
        decoded = decode_claims(pb.Claims.FromString(encode_claims(frame).SerializeToString()))
        self.assertEqual([item.seconds for item in decoded.claims], [2.5, float("inf")])
        self.assertEqual([item.verdict for item in decoded.releases], [None, Verdict.FAILED])
        self.assertEqual([item.settled for item in decoded.claims], [True, False])
        self.assertEqual(decoded.sent_at, 7.5)
        replies = ClaimRepliesFrame(
            entry="e@1",
            session=2,
            replies=[
                ClaimReply(request_id="r", number=1, status=HELD, holder="f@1"),
                ClaimReply(request_id="q", number=2, status=ENDED, verdict=Verdict.COMPLETED),
                ClaimReply(request_id="q", number=2, status=AWAITED, seconds=1.5),
            ],
            echo=7.5,
            complete=False,
        )
        message = pb.ClaimReplies.FromString(encode_replies(replies).SerializeToString())
        decoded = decode_replies(message)
        rows = [(item.status, item.holder, item.verdict, item.seconds) for item in decoded.replies]
        expected = [
            (HELD, "f@1", None, 0.0),
            (ENDED, "", Verdict.COMPLETED, 0.0),
            (AWAITED, "", None, 1.5),
        ]
        self.assertEqual(rows, expected)
        self.assertEqual((decoded.echo, decoded.complete), (7.5, False))

    def test_odd_fields_are_refused(self):
        for message in (
            pb.Claims(entry="", session=1),
            pb.Claims(entry="e@1", claims=[pb.Claim(request_id="", number=1)]),
            pb.Claims(entry="e@1", claims=[pb.Claim(request_id="r", seconds=float("nan"))]),
            pb.Claims(entry="e@1", releases=[pb.Release(request_id="r", verdict=3)]),
        ):
            with self.assertRaises(FrameError):
                decode_claims(message)
        for reply in (
            pb.ClaimReply(request_id="r", status=9),
            pb.ClaimReply(request_id="r", status=2),
            pb.ClaimReply(request_id="r", status=0, verdict=1),
            pb.ClaimReply(request_id="x" * 300, status=0),
        ):
            with self.assertRaises(FrameError):
                decode_replies(pb.ClaimReplies(entry="e@1", replies=[reply]))


if __name__ == "__main__":
    unittest.main()
