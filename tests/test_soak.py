import asyncio
import unittest

from standins.pauses import run_trial
from standins.soak import FAULTS, name_fault, run_seed

# Seeds of failures found are added here, each with a line on the cause.
SEEDS = (11,)
SOAK_SECONDS = 8.0
# Kinds of faults by which faults that are listed in KNOWN-RED.txt show: a start that is carried out
# late is known to one entry only, and refused connections count as the end of a runner.
KNOWN_KINDS = ("crash-beside-late-calls", "inject-runner-fault", "refuse-runner-connections")
# Kinds that came later; without them the seeds draw the same faults as before.
LATER_KINDS = ("evacuate-zone", "send-crowd")
CROWD_SEEDS = (29,)
CROWD_KINDS = ("send-crowd", "change-routes", "inject-store-fault", "signal-process")
EVACUATION_SEEDS = (7,)
EVACUATION_KINDS = (
    "evacuate-zone",
    "inject-proxy-fault",
    "inject-store-fault",
    "pause-process",
    "signal-process",
)
# Kinds of faults that keep from an entry what its callers do.
CALLER_KINDS = (
    "hold-path-of-callers",
    "break-connections-at-callers",
    "make-callers-leave",
)
CALLER_SEEDS = (83,)
CALLER_SOAK_SECONDS = 10.0
PAUSE_SEEDS = (41,)
PAUSE_SOAK_SECONDS = 15.0
PAUSE_SECONDS = 3.5
WAIT_SECONDS = 1.5


class TestSoak(unittest.TestCase):
    def test_short_seeded_run(self):
        for seed in SEEDS:
            problems = asyncio.run(
                run_seed(seed, SOAK_SECONDS, entries=2, agents=3, without=LATER_KINDS)
            )
            self.assertEqual(problems, [], f"seed {seed}")

    def test_short_seeded_run_without_known_faults(self):
        for seed in PAUSE_SEEDS:
            without = KNOWN_KINDS + LATER_KINDS
            call = run_seed(seed, PAUSE_SOAK_SECONDS, entries=3, agents=3, without=without)
            self.assertEqual(asyncio.run(call), [], f"seed {seed}")

    def test_short_seeded_run_of_evacuations(self):
        without = tuple(sorted({name_fault(kind) for kind in FAULTS} - set(EVACUATION_KINDS)))
        for seed in EVACUATION_SEEDS:
            call = run_seed(seed, PAUSE_SOAK_SECONDS, entries=3, agents=4, without=without)
            self.assertEqual(asyncio.run(call), [], f"seed {seed}")

    # Guards against clients that keep no limits and so cost others their answers, or end a process.
    def test_short_seeded_run_beside_crowds(self):
        without = tuple(sorted({name_fault(kind) for kind in FAULTS} - set(CROWD_KINDS)))
        for seed in CROWD_SEEDS:
            call = run_seed(seed, PAUSE_SOAK_SECONDS, entries=3, agents=4, without=without)
            self.assertEqual(asyncio.run(call), [], f"seed {seed}")

    # Guards against an entry whose tasks run beside those of another one that its callers have
    # asked since, which it can't know.
    def test_short_seeded_run_of_callers_that_leave_unseen(self):
        names = {name_fault(kind) for kind in FAULTS}
        self.assertLessEqual(set(CALLER_KINDS), names)
        without = tuple(sorted(names - set(CALLER_KINDS)))
        for seed in CALLER_SEEDS:
            call = run_seed(seed, CALLER_SOAK_SECONDS, entries=3, agents=4, without=without)
            self.assertEqual(asyncio.run(call), [], f"seed {seed}")


class TestPause(unittest.TestCase):
    # Guards against an entry that wakes and starts tasks of callers that have left, and that
    # another entry runs.
    def test_a_paused_entry_runs_nothing_beside_another_entry(self):
        outcome = asyncio.run(run_trial(PAUSE_SECONDS, WAIT_SECONDS, "127.29"))
        self.assertGreater(outcome.first_statuses.count(0), 0, "no caller has left in the pause")
        self.assertEqual(outcome.overlaps, [])
        self.assertEqual(outcome.unanswered, 0)
