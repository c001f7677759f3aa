"""Interleavings of claims with faults of entries and of the links between them."""

import math
import unittest
from unittest import mock

from comfreysill.claims.claim import ClaimRegistry
from comfreysill.claims.registry import (
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
from comfreysill.placement import peer_links
from comfreysill.placement.claims import _rank_registrars
from comfreysill.placement.effects import OpenPeerLink, RemovePeerLink, SendClaims
from comfreysill.placement.peer_links import (
    begin_peer_session,
    end_peer_session,
    receive_replies,
    update_peers,
)
from comfreysill.placement.state import EntryState
from comfreysill.request.types import Verdict
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.claims import decode_claims, decode_replies
from comfreysill.wire.errors import FrameError
from tests.platform_world import NEVER, World

LONG_WAIT_SECONDS = 6.0
LONG_TASK_SECONDS = 4.0


def build_world(entries=3, seed=0):
    world = World(seed, entries=entries, agents=4)
    world.run(2.0)
    return world


def find_registrars(world, entry, request_id):
    """Returns the entries in the order in which an entry ranks them as registrars."""
    state = world.entries[entry].state
    return [address or entry for address in _rank_registrars(state, request_id)]


def find_request(world, entry, is_wanted):
    """Returns the first request id whose ranking at an entry is as wanted."""
    names = (f"q{number}" for number in range(1000))
    return next(name for name in names if is_wanted(find_registrars(world, entry, name)))


def submit_and_leave(world, request_id, first, second, left_after=0.3, tasks=1, **options):
    """Sends a request to one entry; its connection breaks unseen, and another entry is asked."""
    breaks = iter([left_after])
    world.draw_break_delay = lambda: next(breaks, NEVER)
    world.draw_end_delay = lambda: NEVER
    world.choose_entry = lambda: second
    options = {"seconds": LONG_TASK_SECONDS, "wait": LONG_WAIT_SECONDS, **options}
    world.submit(request_id, first, tasks=tasks, cpu=500, **options)


def close_at_end(world, request_id, claimant, registrar):
    """Reopens a peer link just before its claimant learns of the end of a request's task."""
    handle = world.handle_agent_frame

    def handle_agent_frame(process, frame):
        is_open = request_id in world.entries[claimant].state.claims
        if process.name == claimant and frame.ended and is_open:
            world.drop_peer_link(claimant, registrar)
            world.connect_peer(claimant, registrar)
        handle(process, frame)

    world.handle_agent_frame = handle_agent_frame


class TestOpenInterleavings(unittest.TestCase):
    """Interleavings with one fault, or with two long after one another, that claims leave open."""

    # Guards against a request that an entry reads before its first look for peers, and starts with
    # itself as the only registrar.
    def test_an_entry_that_starts_with_a_request_waits_for_its_links(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: ranked[0] == "e0")
        submit_and_leave(world, request_id, "e0", "e2", left_after=0.27, tasks=7)
        world.run(1.555)
        world.kill_entry("e2", down_seconds=0.005)
        world.run(12.0)
        self.assertEqual(world.violations, [])

    # Guards against claims that end as their holder closes the sessions of peers it can't hear.
    def test_a_holder_that_hears_no_peer_keeps_its_claims(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: "e0" not in ranked[:2])
        submit_and_leave(world, request_id, "e0", "e1")
        world.run(0.1)
        for other in ("e1", "e2"):
            world.cut(other, "e0", 4.0)
        world.submit("other", "e0", tasks=1, seconds=0.5, cpu=500, wait=LONG_WAIT_SECONDS)
        world.run(12.0)
        self.assertEqual(world.violations, [])

    # Guards against an entry without a link to any peer that starts what another one runs.
    def test_an_entry_that_is_cut_off_from_its_peers_alone(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: "e1" not in ranked[:2])
        submit_and_leave(world, request_id, "e0", "e1")
        world.run(0.1)
        for other in ("e0", "e2"):
            world.cut(other, "e1", 4.0)
            world.cut("e1", other, 4.0)
        world.run(12.0)
        self.assertEqual(world.violations, [])

    # Guards against a holder that keeps no claims of others, but counts itself as a registrar, so
    # that one lost registrar is the only one that others share with it.
    def test_a_registrar_is_killed_where_not_all_entries_are_linked(self):
        with mock.patch.object(peer_links, "MAX_REGISTRARS", 2):
            world = build_world(entries=5)
            linked = {name for other in world.entries.values() for name in other.state.peers}
            holder, other = [name for name in world.entries if name not in linked][:2]
            request_id = "q0"
            lost = find_registrars(world, holder, request_id)[0]
            self.assertNotIn(lost, (holder, other))
            submit_and_leave(world, request_id, holder, other)
            world.run(0.5)
            world.kill_entry(lost, 5.0)
            world.run(12.0)
        self.assertEqual(world.violations, [])

    # Guards against a claim that isn't told to the next registrar once one of its own is gone.
    def test_both_registrars_end_for_good_long_after_one_another(self):
        world = build_world(entries=5)
        request_id = find_request(world, "e0", lambda ranked: "e0" not in ranked[:3])
        ranked = find_registrars(world, "e0", request_id)
        other = next(name for name in ranked[2:] if name != "e0")
        submit_and_leave(world, request_id, "e0", other, left_after=9.0, seconds=20.0, wait=30.0)
        world.run(1.0)
        world.kill_entry(ranked[0], 1000.0)
        world.run(6.0)
        world.kill_entry(ranked[1], 1000.0)
        world.run(30.0)
        self.assertEqual(world.violations, [])

    # Guards against a release that is dropped between the opening frame of a session and its reply.
    def test_a_release_while_a_session_is_opened(self):
        world = build_world()
        request_id = find_request(
            world, "e0", lambda ranked: ranked[0] == "e1" and ranked[1] == "e2"
        )
        world.submit(request_id, "e0", tasks=1, seconds=1.0, cpu=500, wait=30.0)
        world.run(0.3)
        world.drop_caller(next(iter(world.callers)))
        close_at_end(world, request_id, "e0", "e1")
        world.run(1.3)
        self.assertEqual(world.entries["e0"].state.claims, {})
        self.assertEqual(world.entries["e1"].state.registry.claims, {})

    # Guards against two claimants that wait for each other, as a withdrawal was dropped between the
    # opening frame of a session and its reply.
    def test_a_withdrawal_while_a_session_is_opened(self):
        world = build_world(entries=4)
        request_id = find_request(world, "e0", lambda ranked: ranked[:2] == ["e2", "e3"])
        send = world.send_to_peer

        def send_to_peer(sender, receiver, handle, frame):
            # Each claimant is the first at another registrar.
            delay = 0.004 if (sender, receiver) in (("e0", "e2"), ("e1", "e3")) else 0.0
            world.schedule(delay, send, sender, receiver, handle, frame)

        world.send_to_peer = send_to_peer
        world.submit(request_id, "e0", tasks=1, seconds=0.5, cpu=500, wait=20.0)
        world.send_request(request_id, "e1")
        world.schedule(0.005, world.drop_peer_link, "e0", "e3")
        world.schedule(0.005, world.connect_peer, "e0", "e3")
        world.run(5.0)
        self.assertEqual(world.verdicts[request_id], [Verdict.COMPLETED] * 2)

    # Guards against a claim without a known end that is kept for good after such a release.
    def test_a_claim_without_an_end_is_released_while_a_session_is_opened(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: ranked[:2] == ["e1", "e2"])
        other = find_request(
            world, "e0", lambda ranked: "e1" in ranked[:2] and ranked[:2] != ["e1", "e2"]
        )
        world.submit(request_id, "e0", tasks=1, seconds=1.0, cpu=500)
        world.run(0.3)
        world.drop_caller(next(iter(world.callers)))
        close_at_end(world, request_id, "e0", "e1")
        world.run(1.0)
        # Another claim keeps heartbeats coming.
        world.submit(other, "e0", tasks=1, seconds=50.0, cpu=100)
        world.choose_entry = lambda: "e2"
        world.send_request(request_id, "e2")
        world.run(20.0)
        self.assertEqual(world.verdicts[request_id], [Verdict.COMPLETED])

    # Guards against a claim that ends too early, as its renewal was dropped between the opening
    # frames of sessions and their replies.
    def test_a_caller_that_joins_while_sessions_are_opened(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: "e0" not in ranked[:2])
        options = {"left_after": 0.05, "tasks": 5, "seconds": 2.65, "wait": 1.5}
        submit_and_leave(world, request_id, "e0", "e1", **options)
        breaks, entries = iter([0.05]), iter(["e0"])
        world.draw_break_delay = lambda: next(breaks, NEVER)
        world.choose_entry = lambda: next(entries, "e1")
        world.run(1.349)
        for other in ("e1", "e2"):
            world.drop_peer_link("e0", other)
            world.connect_peer("e0", other)
        world.run(10.0)
        self.assertEqual(world.violations, [])

    # Guards against a verdict that is lost with the link to a registrar, so that a request that has
    # completed runs again.
    def test_a_verdict_reached_while_the_links_are_away(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: "e0" not in ranked[:2])
        submit_and_leave(world, request_id, "e0", "e1", seconds=2.5, wait=8.0)
        world.run(2.0)
        for other in ("e1", "e2"):
            world.cut("e0", other, 1.0)
            world.cut(other, "e0", 1.0)
            world.drop_peer_link("e0", other)
        world.run(14.0)
        self.assertEqual(world.verdicts[request_id], [Verdict.COMPLETED])
        self.assertEqual(world.starts, 1)

    # Guards against callers that wait for the claims of an entry whose machine is gone without a
    # word, for as long as its own callers would have waited.
    def test_a_machine_that_vanishes_holds_up_its_requests_for_a_bounded_time(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: "e0" not in ranked[:2])
        world.choose_entry = lambda: "e1"
        world.submit(request_id, "e0", tasks=1, seconds=0.5, cpu=500, wait=20.0)
        world.run(0.2)
        world.kill_entry("e0", 1000.0, silent=True)
        world.run(6.0)
        self.assertEqual(world.verdicts[request_id], [Verdict.COMPLETED])

    # Guards against a link that is opened again and again to an entry with two addresses.
    def test_an_entry_at_two_addresses_is_linked_once(self):
        for name in ("e1@1", "e0@1"):
            self.assertLessEqual(self.count_openings(name), 4, name)

    def count_openings(self, name):
        """Returns how often links are opened in 40 rounds; both addresses reach one entry."""
        state = EntryState(name="e0@1", zone="z", unix_offset=0.0, retry_seconds=1.3)
        state.entries = ["h0:1", "h1:1", "alias:1"]
        sessions, openings = {}, 0
        for step in range(40):
            now = 1.0 + 0.01 * step
            update_peers(state, now)
            effects, state.effects = state.effects, []
            for effect in effects:
                if isinstance(effect, OpenPeerLink):
                    openings += 1
                    sessions[effect.address] = begin_peer_session(state, effect.address, now)
                elif isinstance(effect, RemovePeerLink) and effect.address in sessions:
                    session = sessions.pop(effect.address)
                    end_peer_session(state, effect.address, session, now)
                elif isinstance(effect, SendClaims) and effect.address in sessions:
                    reply = ClaimRepliesFrame(entry=name, session=effect.frame.session, replies=[])
                    receive_replies(state, effect.address, reply, now)
        return openings


class TestSingleFaults(unittest.TestCase):
    """Single faults beside a caller that has left unseen, which claims bear."""

    def check(self, disturb, holder_is_registrar=False):
        for seed in range(4):
            world = build_world(seed=seed)
            request_id = find_request(
                world, "e0", lambda ranked: ("e0" in ranked[:2]) == holder_is_registrar
            )
            submit_and_leave(world, request_id, "e0", "e1")
            world.run(0.1)
            disturb(world, find_registrars(world, "e0", request_id))
            world.run(14.0)
            self.assertEqual(world.violations, [], f"seed {seed}")

    # Guards against a double run as the holder or a registrar ends, pauses, or restarts.
    def test_an_entry_is_killed_or_paused(self):
        for name in ("e0", "e1", "e2"):
            for is_registrar in (False, True):
                for silent in (False, True):
                    self.check(
                        lambda world, ranked, name=name, silent=silent: world.kill_entry(
                            name, 0.5, silent=silent
                        ),
                        is_registrar,
                    )
                self.check(
                    lambda world, ranked, name=name: world.freeze(world.entries[name], 2.0),
                    is_registrar,
                )

    # Guards against a double run as all links between entries are reset again and again.
    def test_links_between_entries_are_reset(self):
        def reset(world, ranked):
            for number in range(20):
                for one in ("e0", "e1", "e2"):
                    for other in ("e0", "e1", "e2"):
                        world.schedule(0.1 * number, world.drop_peer_link, one, other)

        self.check(reset)
        self.check(reset, holder_is_registrar=True)


class TestRegistry(unittest.TestCase):
    """Odd sequences of frames at a registrar."""

    def claim(self, registry, entry, number=1, now=0.0, seconds=5.0):
        request = ClaimRequest(request_id="r", number=number, seconds=seconds)
        return receive_claim(registry, entry, request, now)

    def open(self, *entries):
        registry = ClaimRegistry()
        for entry in entries:
            record_session(registry, entry, set(), 0.0)
        return registry

    # Guards against a waiter that is granted a claim after it has withdrawn its own.
    def test_a_waiter_that_has_withdrawn_is_passed_over(self):
        registry = self.open("a@1", "b@1", "c@1")
        self.assertEqual(self.claim(registry, "a@1").status, ClaimStatus.GRANTED)
        self.assertEqual(self.claim(registry, "b@1").status, ClaimStatus.HELD)
        self.assertEqual(self.claim(registry, "c@1").status, ClaimStatus.HELD)
        release = ClaimRelease(request_id="r", number=1, verdict=None)
        receive_release(registry, "b@1", release, 0.1)
        receive_release(registry, "a@1", release, 0.2)
        granted = [
            item.entry
            for item in take_late_replies(registry)
            if item.reply.status == ClaimStatus.GRANTED
        ]
        self.assertEqual(granted, ["c@1"])

    # Guards against a late release of an earlier claim that ends a newer one.
    def test_a_late_release_leaves_a_newer_claim(self):
        registry = self.open("a@1")
        self.claim(registry, "a@1", number=1)
        self.claim(registry, "a@1", number=2)
        receive_release(registry, "a@1", ClaimRelease(request_id="r", number=1, verdict=None), 0.1)
        self.assertIn("r", registry.claims)

    # Guards against the release of a claim by an entry that doesn't hold it.
    def test_a_release_by_another_entry_changes_nothing(self):
        registry = self.open("a@1", "b@1")
        self.claim(registry, "a@1")
        release = ClaimRelease(request_id="r", number=9, verdict=Verdict.COMPLETED)
        receive_release(registry, "b@1", release, 0.1)
        self.assertEqual(registry.claims["r"].holder.entry, "a@1")
        self.assertEqual(registry.ended, {})

    # Guards against a claim that outlasts its holder's process.
    def test_a_claim_ends_after_its_holders_session(self):
        registry = self.open("a@1", "b@1")
        self.claim(registry, "a@1", seconds=math.inf)
        self.claim(registry, "b@1")
        record_absence(registry, "a@1", 1.0)
        expire_claims(registry, 2.1, 1.17)
        self.assertEqual(registry.claims["r"].holder.entry, "a@1")
        expire_claims(registry, 2.2, 1.17)
        self.assertEqual(registry.claims["r"].holder.entry, "b@1")

    # Guards against memory that grows with the lifetimes of entries or with ended requests.
    def test_nothing_is_kept_of_old_lifetimes_and_ends(self):
        registry = ClaimRegistry()
        for number in range(1000):
            now = float(number)
            name = f"a@{number}"
            record_session(registry, name, set(), now)
            claim = ClaimRequest(request_id=f"r{number}", number=1, seconds=5.0)
            receive_claim(registry, name, claim, now)
            release = ClaimRelease(request_id=f"r{number}", number=1, verdict=Verdict.COMPLETED)
            receive_release(registry, name, release, now)
            expire_claims(registry, now, 1.17)
        self.assertLessEqual(len(registry.ended), 11)
        self.assertLessEqual(len(registry.ended_ids), 11)
        self.assertLessEqual(len(registry.absent_since), 2)
        self.assertEqual(len(registry.heard_at), 1)


class TestOddFrames(unittest.TestCase):
    """Frames of peers that no entry sends."""

    # Guards against names and numbers that the decoder lets pass.
    def test_frames_out_of_range_are_refused(self):
        claims = [
            pb.Claim(request_id="r" * 201, number=1, seconds=1.0),
            pb.Claim(request_id="", number=1, seconds=1.0),
            pb.Claim(request_id="r", number=1, seconds=-1.0),
            pb.Claim(request_id="r", number=1, seconds=math.nan),
        ]
        for claim in claims:
            with self.assertRaises(FrameError):
                decode_claims(pb.Claims(entry="a@1", session=1, claims=[claim]))
        for entry in ("", "a" * 201):
            with self.assertRaises(FrameError):
                decode_claims(pb.Claims(entry=entry, session=1))
        replies = [
            pb.ClaimReply(request_id="r", number=1, status=9),
            pb.ClaimReply(request_id="r", number=1, status=2, verdict=0),
            pb.ClaimReply(request_id="r", number=1, status=0, verdict=1),
        ]
        for reply in replies:
            with self.assertRaises(FrameError):
                decode_replies(pb.ClaimReplies(entry="a@1", session=1, replies=[reply]))

    # Guards against replies to claims never made, and against those of earlier sessions.
    def test_replies_that_nobody_asked_for_change_nothing(self):
        world = build_world()
        request_id = find_request(world, "e0", lambda ranked: "e0" not in ranked[:2])
        world.submit(request_id, "e0", tasks=1, seconds=1.0, cpu=500, wait=LONG_WAIT_SECONDS)
        world.run(0.1)
        state = world.entries["e0"].state
        session = state.peers["e1"].session
        replies = [
            ClaimReply(request_id="unknown", number=1, status=ClaimStatus.GRANTED),
            ClaimReply(
                request_id=request_id,
                number=10**9,
                status=ClaimStatus.ENDED,
                verdict=Verdict.COMPLETED,
            ),
        ]
        for number in (session, session - 1, session + 1):
            frame = ClaimRepliesFrame(entry="e1@1", session=number, replies=replies)
            receive_replies(state, "e1", frame, world.now)
        self.assertEqual(state.remote_ends, [])
        world.run(3.0)
        self.assertEqual(world.verdicts[request_id], [Verdict.COMPLETED])
        self.assertEqual(world.starts, 1)

    # Guards against frames of an earlier session that change claims.
    def test_a_session_number_that_goes_back_is_refused(self):
        world = build_world()
        process = world.entries["e1"]
        frame = ClaimsFrame(
            entry="e0@1",
            session=0,
            opening=True,
            claims=[ClaimRequest(request_id="forged", number=1, seconds=math.inf)],
            releases=[],
        )
        world.handle_claims(process, "e0", frame)
        self.assertNotIn("forged", process.state.registry.claims)


if __name__ == "__main__":
    unittest.main()
