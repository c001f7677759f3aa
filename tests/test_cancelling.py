"""Jobs that are cancelled at any entry, in the simulated deployment."""

import random
import unittest
from unittest import mock

from comfreysill.claims import cancellations
from comfreysill.claims.cancellations import (
    CANCELLATION_SECONDS,
    CancellationMemory,
    expire_cancellations,
    is_cancelled,
    keep_cancellation,
    list_newest,
)
from comfreysill.claims.claim import ClaimRegistry
from comfreysill.claims.registry import (
    expire_claims,
    receive_cancellation,
    receive_claim,
    record_session,
    record_suspension,
)
from comfreysill.exchange.claims import (
    Cancellation,
    CancellationReply,
    CancellationStatus,
    ClaimRepliesFrame,
    ClaimRequest,
    ClaimsFrame,
)
from comfreysill.request.types import CancelOutcome, Verdict
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.claims import decode_claims, decode_replies, encode_claims, encode_replies
from comfreysill.wire.errors import FrameError
from tests.platform_world import World

ENTRIES = ("e0", "e1", "e2")
SEEDS = range(3)


def build_world(seed=0):
    world = World(seed, entries=len(ENTRIES), agents=4)
    world.run(2.0)
    return world


def submit(world, entry, request_id="r", steps=4):
    world.submit(request_id, entry, tasks=2, seconds=1.0, cpu=500, steps=steps)


def get_outcomes(world, request_id="r"):
    return [outcome for _, outcome in world.cancel_replies.get(request_id, ())]


class TestAnswerOfTheSubmission(unittest.TestCase):
    """What the open POST of a cancelled job is answered, and what a repetition is."""

    # Guards against a job that is repeated by its sender and run again, as its POST was answered
    # 504 when the job was cancelled.
    def test_a_cancelled_job_is_not_run_again(self):
        for seed in SEEDS:
            for entry in ENTRIES:
                world = build_world(seed)
                submit(world, entry)
                world.run(0.5)
                world.cancel("r", entry)
                world.run(12.0)
                self.assertEqual(world.violations, [])
                self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED])
                self.assertEqual(get_outcomes(world), [CancelOutcome.ENDED])

    # Guards against a repetition that was sent before its sender could know of the cancelling.
    def test_a_repetition_of_a_cancelled_job_is_not_run(self):
        for repeated_at in ENTRIES:
            for pause in (0.0, 0.01, 1.3, 15.0, 100.0):
                world = build_world()
                submit(world, "e0")
                world.run(0.5)
                world.cancel("r", "e0")
                world.run(pause)
                starts = world.starts
                world.send_request("r", repeated_at)
                world.run(8.0)
                self.assertEqual(world.starts, starts, f"{repeated_at}, {pause} s")
                self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED] * 2)

    # Guards against a job that is run again as its entry ends just after it has acknowledged.
    def test_a_cancelled_job_whose_entry_is_killed_then(self):
        for delay in (0.002, 0.003, 0.01, 0.05, 0.5):
            for killed in ENTRIES:
                world = build_world()
                submit(world, "e0")
                world.run(0.5)
                world.cancel("r", "e0")
                world.run(delay)
                world.kill_entry(killed, silent=killed == "e1")
                world.send_request("r", "e1")
                world.send_request("r", "e2")
                world.run(12.0)
                self.assertEqual(world.violations, [], f"{killed}, {delay} s")
                self.assertNotEqual(get_outcomes(world), [], f"{killed}, {delay} s")

    # Guards against a repetition that runs as one of the entries doesn't know of the cancelling.
    def test_a_repetition_while_some_entries_have_forgotten(self):
        for forgetful in (ENTRIES[:1], ENTRIES[1:]):
            for number in range(6):
                world = build_world()
                request_id = f"r{number}"
                submit(world, "e1", request_id)
                world.run(0.5)
                world.cancel(request_id, "e2")
                # Verdicts are kept for less time than cancellings.
                world.run(15.0)
                for name in forgetful:
                    world.entries[name].state.registry.cancelled = CancellationMemory()
                starts = world.starts
                world.send_request(request_id, "e0")
                world.run(8.0)
                self.assertEqual(world.starts, starts, f"{forgetful}, {request_id}")

    # Guards against entries that forget a cancelling when all of them are replaced in turn.
    def test_a_repetition_after_a_rolling_restart(self):
        world = build_world()
        submit(world, "e0")
        world.run(0.5)
        world.cancel("r", "e1")
        world.run(1.0)
        for entry in ENTRIES:
            world.kill_entry(entry)
            world.run(4.0)
        starts = world.starts
        for entry in ENTRIES:
            world.send_request("r", entry)
        world.run(8.0)
        self.assertEqual(world.starts, starts)


class TestCancellingAtAnyEntry(unittest.TestCase):
    """A DELETE that reaches another entry than the one that has the job."""

    # Guards against a job that runs on, as the entry that was asked to cancel it doesn't have it
    # and has answered that there is no such job.
    def test_an_entry_that_does_not_have_the_job(self):
        for seed in SEEDS:
            for entry in ENTRIES:
                for asked in ENTRIES:
                    world = build_world(seed)
                    submit(world, entry)
                    world.run(0.5)
                    world.cancel("r", asked)
                    world.run(0.1)
                    self.assertEqual(get_outcomes(world), [CancelOutcome.ENDED])
                    self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED])
                    world.run(8.0)
                    self.assertEqual(world.violations, [])

    # Guards against the same while an entry restarts, before and after its new process is linked.
    def test_an_entry_that_has_just_restarted(self):
        for delay in (1.01, 1.06, 1.1, 1.3, 2.0, 6.0):
            for entry in ENTRIES[1:]:
                world = build_world()
                submit(world, entry, steps=10)
                world.run(0.5)
                world.kill_entry("e0")
                world.run(delay)
                world.cancel("r", "e0")
                world.run(1.5)
                self.assert_not_unknown(world, f"{entry}, {delay} s")
                world.cancel("r", "e0")
                world.run(8.0)
                self.assertEqual(world.violations, [])
                self.assertEqual(get_outcomes(world)[-1], CancelOutcome.ENDED)

    # Guards against an entry that takes a request alone, as it has read it before it has asked for
    # the links to the other entries.
    def test_a_request_in_the_first_moment_of_an_entry(self):
        for cancelled in (False, True):
            world = build_world()
            submit(world, "e1")
            world.run(0.5)
            world.kill_entry("e0")
            if cancelled:
                world.cancel("r", "e1")
            world.schedule(1.0, world.send_request, "r", "e0")
            world.run(1.0)
            starts = world.starts
            self.assertTrue(world.entries["e0"].alive)
            world.run(0.5)
            self.assertEqual(world.violations, [])
            if cancelled:
                self.assertEqual(world.starts, starts)

    # Guards against an acknowledgement by an entry that is cut off from all others, one of which
    # runs the job too.
    def test_a_job_that_a_cut_off_entry_has_taken_alone(self):
        world = build_world()
        for other in ENTRIES[1:]:
            world.cut("e0", other, 4.0)
            world.cut(other, "e0", 4.0)
        world.run(1.5)
        submit(world, "e0", steps=10)
        world.run(0.5)
        world.cancel("r", "e0")
        world.run(0.5)
        self.assertEqual(get_outcomes(world), [CancelOutcome.UNCERTAIN])
        self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED])
        world.run(6.0)
        self.assertEqual(get_outcomes(world)[-1], CancelOutcome.ENDED)

    def assert_not_unknown(self, world, case, request_id="r"):
        outcomes = get_outcomes(world, request_id)
        self.assertNotEqual(outcomes, [], case)
        self.assertNotIn(CancelOutcome.UNKNOWN, outcomes, case)

    # Guards against a cancelling that is lost beside links between entries that are cut.
    def test_links_between_entries_that_are_cut(self):
        for cut in (
            [("e0", "e1")],
            [("e1", "e0")],
            [("e0", "e1"), ("e1", "e0")],
            [("e0", "e1"), ("e1", "e0"), ("e0", "e2"), ("e2", "e0")],
            [("e0", "e1"), ("e1", "e0"), ("e1", "e2"), ("e2", "e1")],
        ):
            for lead in (0.0, 0.6, 2.0):
                for number in range(6):
                    self.cancel_beside_cut(cut, lead, f"r{number}")

    def cancel_beside_cut(self, cut, lead, request_id):
        case = f"{cut}, {lead} s, {request_id}"
        world = build_world()
        submit(world, "e1", request_id, steps=12)
        world.run(0.5)
        for sender, receiver in cut:
            world.cut(sender, receiver, 4.0)
        world.run(lead)
        world.cancel(request_id, "e0")
        world.run(1.5)
        self.assert_not_unknown(world, case, request_id)
        world.run(4.0)
        world.cancel(request_id, "e0")
        world.run(8.0)
        self.assertEqual(world.violations, [], case)
        self.assertEqual(get_outcomes(world, request_id)[-1], CancelOutcome.ENDED, case)
        self.assertEqual(set(world.verdicts[request_id]), {Verdict.CANCELLED}, case)

    # Guards against an answer that there is no such job, as the entry that has it stands still.
    def test_an_entry_that_stands_still(self):
        for seconds in (0.3, 1.0, 3.0):
            for asked in ENTRIES[1:]:
                world = build_world()
                submit(world, "e0", steps=10)
                world.run(0.5)
                world.freeze(world.entries["e0"], seconds)
                world.run(0.02)
                world.cancel("r", asked)
                world.run(1.5)
                self.assert_not_unknown(world, f"{asked}, {seconds} s")
                world.run(4.0)
                world.cancel("r", asked)
                world.run(8.0)
                self.assertEqual(world.violations, [], f"{asked}, {seconds} s")
                self.assertEqual(get_outcomes(world)[-1], CancelOutcome.ENDED)

    # Guards against an acknowledgement by an entry that only waits for the claim of a cut-off one.
    def test_a_job_that_another_submission_waits_for(self):
        for asked in ENTRIES:
            world = build_world()
            submit(world, "e0", steps=10)
            world.run(0.5)
            for other in ENTRIES[1:]:
                world.send_request("r", other)
            world.run(0.5)
            world.cancel("r", asked)
            world.run(0.1)
            self.assertEqual(get_outcomes(world), [CancelOutcome.ENDED])
            world.run(8.0)
            self.assertEqual(world.violations, [])
            self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED] * 3)


class TestTimesOfCancelling(unittest.TestCase):
    """A DELETE before its POST, in the same moment, twice, and after the end."""

    # Guards against a job that runs though it was cancelled before its first submission was read.
    def test_a_job_that_is_cancelled_before_it_comes(self):
        for entry in ENTRIES:
            for asked in ENTRIES:
                for pause in (0.0005, 0.01, 1.0, 60.0):
                    world = build_world()
                    world.cancel("r", asked)
                    world.run(pause)
                    submit(world, entry)
                    world.run(8.0)
                    case = f"{entry}, {asked}, {pause} s"
                    self.assertEqual(world.starts, 0, case)
                    self.assertEqual(world.verdicts["r"], [Verdict.CANCELLED], case)

    # Guards against a job that runs, as its cancelling crosses its claims on the way.
    def test_a_job_that_is_cancelled_as_it_comes(self):
        for request_id in ("r", "s", "t", "u"):
            for entry in ENTRIES:
                for asked in ENTRIES:
                    for pause in (0.0, 0.0005, 0.001, 0.0015, 0.002, 0.0025, 0.003, 0.004):
                        world = build_world()
                        submit(world, entry, request_id)
                        world.run(pause)
                        world.cancel(request_id, asked)
                        world.run(8.0)
                        case = f"{request_id}, {entry}, {asked}, {pause} s"
                        self.assertEqual(world.violations, [], case)
                        self.assertEqual(world.verdicts[request_id], [Verdict.CANCELLED], case)
                        self.assertEqual(len(get_outcomes(world, request_id)), 1, case)

    def test_a_job_that_is_cancelled_twice(self):
        for asked in ENTRIES:
            for pause in (0.0, 0.0005, 0.002, 1.0):
                world = build_world()
                submit(world, "e0")
                world.run(0.5)
                world.cancel("r", "e1")
                world.run(pause)
                world.cancel("r", asked)
                world.run(8.0)
                self.assertEqual(get_outcomes(world), [CancelOutcome.ENDED] * 2)
                self.assertEqual(world.violations, [])

    # Guards against another run of a job that has ended and whose kept verdict is forgotten.
    def test_a_job_that_has_ended(self):
        for asked in ENTRIES:
            world = build_world()
            submit(world, "e0", steps=1)
            world.run(3.0)
            world.cancel("r", asked)
            world.run(0.5)
            self.assertEqual(get_outcomes(world), [CancelOutcome.ENDED])
            world.run(20.0)
            starts = world.starts
            for entry in ENTRIES:
                world.send_request("r", entry)
            world.run(8.0)
            self.assertEqual(world.starts, starts)
            self.assertEqual(world.verdicts["r"], [Verdict.COMPLETED, *[Verdict.CANCELLED] * 3])

    def test_a_job_that_does_not_exist(self):
        for asked in ENTRIES:
            world = build_world()
            world.cancel("r", asked)
            world.run(0.1)
            self.assertEqual(get_outcomes(world), [CancelOutcome.UNKNOWN])

    # Guards against starts after an acknowledgement in any order of events.
    def test_random_cancellings_beside_faults(self):
        for seed in range(40):
            world = self.play_random(seed)
            self.assertEqual(world.violations, [], f"seed {seed}")
            self.assertEqual(world.cancellers, {}, f"seed {seed}")

    def play_random(self, seed):
        choices = random.Random(seed)
        world = build_world(seed)
        for number in range(20):
            request_id = f"r{number}"
            submit(world, choices.choice(ENTRIES), request_id, steps=3)
            at = choices.random() * 3.0
            entry = choices.choice(ENTRIES)
            world.schedule(at, world.cancel, request_id, entry)
            self.disturb(world, choices)
            world.run(choices.random() * 0.5)
        world.run(20.0)
        return world

    def disturb(self, world, choices):
        entry, other = choices.sample(ENTRIES, 2)
        kind = choices.randrange(8)
        if kind == 0:
            world.kill_entry(entry, silent=choices.random() < 0.5)
        elif kind == 1:
            world.freeze(world.entries[entry], choices.random() * 2.0)
        elif kind == 2:
            world.cut(entry, other, choices.random() * 4.0)
        elif kind == 3:
            world.kill_agent(choices.choice(sorted(world.agents)))


class TestMemory(unittest.TestCase):
    """The memory of cancellings is bounded in count and in time."""

    # Guards against a memory that grows without end beside many cancellings.
    def test_the_oldest_is_forgotten_if_there_are_too_many(self):
        memory = CancellationMemory()
        with mock.patch.object(cancellations, "MAX_CANCELLATIONS", 3):
            for number in range(5):
                keep_cancellation(memory, f"r{number}", now=float(number))
        self.assertEqual(list(memory.expires_at), ["r2", "r3", "r4"])
        self.assertEqual(memory.dropped, 2)
        self.assertFalse(is_cancelled(memory, "r1", 5.0))
        self.assertTrue(is_cancelled(memory, "r2", 5.0))

    def test_a_cancelling_is_forgotten_after_its_time(self):
        memory = CancellationMemory()
        keep_cancellation(memory, "r", now=1.0)
        keep_cancellation(memory, "s", now=2.0)
        self.assertTrue(is_cancelled(memory, "r", 0.9 + CANCELLATION_SECONDS))
        self.assertFalse(is_cancelled(memory, "r", 1.0 + CANCELLATION_SECONDS))
        expire_cancellations(memory, 1.5 + CANCELLATION_SECONDS)
        self.assertEqual(list(memory.expires_at), ["s"])

    # Guards against entries that tell each other of a cancelling again and again, for ever.
    def test_a_repeated_cancelling_does_not_last_longer(self):
        memory, other = CancellationMemory(), CancellationMemory()
        keep_cancellation(memory, "r", now=1.0)
        for request_id, seconds in list_newest(memory, 100.0, limit=10):
            keep_cancellation(other, request_id, 100.0, seconds)
        self.assertEqual(other.expires_at, memory.expires_at)
        keep_cancellation(other, "r", 100.0, float("inf"))
        self.assertEqual(other.expires_at["r"], 100.0 + CANCELLATION_SECONDS)

    def test_the_newest_are_repeated(self):
        memory = CancellationMemory()
        for number in range(5):
            keep_cancellation(memory, f"r{number}", now=float(number))
        newest = [request_id for request_id, _ in list_newest(memory, 10.0, limit=2)]
        self.assertEqual(newest, ["r4", "r3"])


class TestRegistry(unittest.TestCase):
    # Guards against a claim without an end, and a cancelling that is uncertain for ever, as its
    # holder had closed its session before its process was replaced.
    def test_the_claim_of_an_earlier_process_that_had_closed_its_session_ends(self):
        registry = ClaimRegistry()
        record_session(registry, "f@1", set(), now=0.0)
        claim = ClaimRequest(request_id="r", number=1, seconds=float("inf"))
        receive_claim(registry, "f@1", claim, now=0.0)
        record_suspension(registry, "f@1", now=1.0)
        expire_claims(registry, 60.0, expiry_seconds=1.0)
        self.assertIn("r", registry.claims)
        record_session(registry, "f@2", set(), now=60.0)
        cancellation = Cancellation(request_id="r", number=1, seconds=10.0)
        reply = receive_cancellation(registry, "e@1", cancellation, now=60.5)
        self.assertEqual(reply.status, CancellationStatus.HANDED_ON)
        expire_claims(registry, 60.9, expiry_seconds=1.0)
        self.assertIn("r", registry.claims)
        expire_claims(registry, 61.1, expiry_seconds=1.0)
        self.assertEqual(registry.claims, {})
        answers = [item for item in registry.late_replies if item.entry == "e@1"]
        self.assertEqual([item.reply.status for item in answers], [CancellationStatus.KNOWN])


class TestWire(unittest.TestCase):
    def test_frames_are_the_same_after_encoding(self):
        told = Cancellation(request_id="r", number=7, seconds=1.5)
        frame = ClaimsFrame(
            entry="e@1", session=1, opening=False, claims=[], releases=[], cancellations=[told]
        )
        message = pb.Claims.FromString(encode_claims(frame).SerializeToString())
        (decoded,) = decode_claims(message).cancellations
        self.assertEqual((decoded.request_id, decoded.number, decoded.seconds), ("r", 7, 1.5))
        replies = [
            CancellationReply(request_id="r", number=7, status=status, holder=holder)
            for status, holder in (
                (CancellationStatus.UNKNOWN, ""),
                (CancellationStatus.KNOWN, ""),
                (CancellationStatus.ENDED, ""),
                (CancellationStatus.HANDED_ON, "f@2"),
            )
        ]
        frame = ClaimRepliesFrame(entry="e@1", session=1, replies=[], cancellations=replies)
        message = pb.ClaimReplies.FromString(encode_replies(frame).SerializeToString())
        for expected, found in zip(replies, decode_replies(message).cancellations, strict=True):
            self.assertEqual((expected.status, expected.holder), (found.status, found.holder))

    def test_odd_frames_are_refused(self):
        for item in (
            pb.Cancellation(request_id="", number=1, seconds=1.0),
            pb.Cancellation(request_id="r" * 10_000, number=1, seconds=1.0),
            pb.Cancellation(request_id="r", number=1, seconds=-1.0),
            pb.Cancellation(request_id="r", number=1, seconds=float("nan")),
        ):
            with self.assertRaises(FrameError):
                decode_claims(pb.Claims(entry="e@1", session=1, cancellations=[item]))
        for item in (
            pb.CancellationReply(request_id="", number=1),
            pb.CancellationReply(request_id="r", number=1, status=99),
            pb.CancellationReply(request_id="r", number=1, status=2, holder="f@1"),
            pb.CancellationReply(request_id="r", number=1, status=3),
            pb.CancellationReply(request_id="r", number=1, status=3, holder="f" * 10_000),
        ):
            with self.assertRaises(FrameError):
                decode_replies(pb.ClaimReplies(entry="e@1", session=1, cancellations=[item]))
