"""Holders that stand still until their claims have run out, and entries that take over meanwhile.

Callers, entries and pauses do only what the users' pages allow: a caller may leave without a word,
and sends its request again `RESEND_DELAY_SECONDS` later, to any entry; entries pause and are killed
at any moment.
"""

import random
import unittest

from tests.platform_world import NEVER, RESEND_DELAY_SECONDS
from tests.test_claim_interleavings import (
    build_world,
    find_registrars,
    find_request,
    submit_and_leave,
)

TASK_SECONDS = 4.0
CALLER_WAIT_SECONDS = 20.0
LEFT_AFTER_SECONDS = 0.8
PAUSES = (1.3, 1.9, 2.4, 3.4, 5.0)
SEEDS = range(5)
RANDOM_PLAYS = 100


class TestLapsedClaims(unittest.TestCase):
    """A holder pauses; its caller leaves unseen, and asks another entry."""

    def play(self, disturb, pause, seed=0, entries=3, is_registrar=True, **options):
        """Plays a pause of the holder beside another fault; returns the world.

        Args:
            disturb: Called with the world and the name of the other registrar.
            pause: Seconds for which the holder stands still.
            seed: Seed of the world.
            entries: Number of entries.
            is_registrar: Whether the holder is a registrar of the request.
            options: Arguments of `submit_and_leave`.
        """
        world = build_world(entries=entries, seed=seed)
        world.wakes_in_any_order = True
        request_id = find_request(world, "e0", lambda ranked: ("e0" in ranked[:2]) == is_registrar)
        ranked = find_registrars(world, "e0", request_id)
        registrar = next(name for name in ranked if name != "e0")
        other = next(name for name in ("e1", "e2") if name != registrar)
        settings = {"seconds": TASK_SECONDS, "wait": CALLER_WAIT_SECONDS, **options}
        submit_and_leave(
            world, request_id, "e0", other, left_after=LEFT_AFTER_SECONDS, tasks=2, **settings
        )
        world.run(0.3)
        world.freeze(world.entries["e0"], pause)
        world.schedule(0.2, disturb, world, registrar)
        world.run(14.0)
        return world

    def check(self, disturb, **options):
        for pause in PAUSES:
            for seed in SEEDS:
                world = self.play(disturb, pause, seed, **options)
                self.assertEqual(world.violations, [], f"pause {pause} s, seed {seed}")

    # Guards against a holder that wakes and starts what another entry runs, whose claim it can't
    # have seen: the other registrar was killed meanwhile, and has started again.
    def test_the_other_registrar_was_killed(self):
        self.check(lambda world, name: world.kill_entry(name, 0.4))

    # Guards against the same as the other registrar has paused as well.
    def test_the_other_registrar_has_paused(self):
        self.check(lambda world, name: world.freeze(world.entries[name], 3.0))

    # Guards against the same where claims end by silence, as callers don't say how long they wait.
    def test_callers_do_not_say_how_long_they_wait(self):
        for entries in (3, 5):
            for is_registrar in (True, False):
                self.check(
                    lambda world, name: None,
                    entries=entries,
                    is_registrar=is_registrar,
                    wait=NEVER,
                )

    # Guards against a claim that is granted by registrars that have lost their memory just before,
    # while the holder that they had granted it to is at work.
    def test_both_registrars_have_just_restarted(self):
        for down_seconds in (0.01, 0.1, 0.5):
            for pause in (0.0, 0.3, 0.9):
                for seed in SEEDS:
                    world = self.play_restart(down_seconds, pause, seed)
                    case = f"down {down_seconds} s, pause {pause} s, seed {seed}"
                    self.assertEqual(world.violations, [], case)

    def play_restart(self, down_seconds, pause, seed):
        """Plays a restart of both registrars just before another entry is asked."""
        world = build_world(entries=5, seed=seed)
        world.wakes_in_any_order = True
        request_id = find_request(world, "e0", lambda ranked: "e0" not in ranked[:2])
        ranked = find_registrars(world, "e0", request_id)
        other = next(name for name in ranked[2:] if name != "e0")
        submit_and_leave(
            world,
            request_id,
            "e0",
            other,
            left_after=LEFT_AFTER_SECONDS,
            tasks=2,
            seconds=TASK_SECONDS,
            wait=CALLER_WAIT_SECONDS,
        )
        asked_after = LEFT_AFTER_SECONDS + RESEND_DELAY_SECONDS
        world.run(asked_after - down_seconds - 0.005)
        world.freeze(world.entries["e0"], pause)
        for name in ranked[:2]:
            world.kill_entry(name, down_seconds)
        world.run(12.0)
        return world


class TestRandomPauses(unittest.TestCase):
    """Two faults of any entries at any moments, beside callers that leave unseen."""

    # Guards against double runs in interleavings that no other test names.
    def test_two_faults_at_any_moments(self):
        for seed in range(RANDOM_PLAYS):
            world = self.play(seed)
            self.assertEqual(world.violations, [], f"seed {seed}")

    def play(self, seed):
        """Plays a request whose caller leaves, and two faults; returns the world."""
        draw = random.Random(seed)
        world = build_world(entries=draw.randint(3, 5), seed=seed)
        world.wakes_in_any_order = True
        wait = draw.choice([CALLER_WAIT_SECONDS, NEVER])
        other = draw.choice(sorted(set(world.entries) - {"e0"}))
        steps = draw.choice([1, 2])
        submit_and_leave(
            world,
            f"q{seed}",
            "e0",
            other,
            left_after=draw.uniform(0.1, 2.0),
            tasks=2,
            seconds=draw.choice([0.5, 1.5, TASK_SECONDS]),
            wait=wait,
            steps=steps,
        )
        faults = [("e0", "pause"), (draw.choice(sorted(world.entries)), "any")]
        for name, kind in faults:
            at = draw.uniform(0.1, 3.5)
            if kind == "pause" or draw.random() < 0.5:
                pause = draw.uniform(0.1, 5.0)
                world.schedule(at, world.freeze, world.entries[name], pause)
            else:
                world.schedule(at, world.kill_entry, name, draw.uniform(0.05, 2.0))
        world.run(16.0)
        return world


if __name__ == "__main__":
    unittest.main()
