"""What the logs of runners tell of runs at the same time."""

import json
import pathlib
import tempfile
import unittest

from standins.platform_deployment import (
    PlatformDeployment,
    find_overlaps,
    log_runner_kill,
    read_overlaps,
)

FIRST, SECOND = "starts-agent-0.log", "starts-agent-1.log"
TASK = "a.0.0.0"


class TestOverlaps(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, log, *events):
        lines = [json.dumps([logged_at, event, task, 1]) for logged_at, event, task in events]
        (self.folder / log).write_text("".join(f"{line}\n" for line in lines))

    def measure(self):
        return [round(overlap.seconds, 3) for overlap in find_overlaps(self.folder)]

    def test_runs_one_after_the_other_do_not_overlap(self):
        self.write(FIRST, (10.0, "start", TASK), (11.0, "done", TASK))
        self.write(SECOND, (11.0, "start", TASK), (11.5, "done", TASK), (10.5, "start", "b.0.0.0"))
        self.assertEqual(read_overlaps(self.folder), [])

    def test_the_length_of_an_overlap_ends_with_either_run(self):
        self.write(FIRST, (10.0, "start", TASK), (11.0, "done", TASK))
        self.write(SECOND, (10.4, "start", TASK), (12.0, "done", TASK))
        self.assertEqual(read_overlaps(self.folder), [f"{TASK} on {FIRST} and {SECOND} for 0.60 s"])
        self.write(SECOND, (10.4, "start", TASK), (10.7, "stopped", TASK))
        self.assertEqual(self.measure(), [0.3])

    def test_a_run_whose_end_is_not_logged_lasts_until_the_last_event(self):
        self.write(FIRST, (10.0, "start", TASK), (13.0, "start", "b.0.0.0"))
        self.write(SECOND, (10.4, "start", TASK))
        self.assertEqual(self.measure(), [2.6])

    def test_a_killed_runner_ends_its_runs_alone(self):
        self.write(FIRST, (10.0, "start", TASK), (10.0, "start", "b.0.0.0"), (11.0, "killed", "*"))
        self.write(SECOND, (10.5, "start", "b.0.0.0"), (11.5, "start", TASK), (12.0, "done", TASK))
        self.assertEqual(self.measure(), [0.5])

    def test_the_kill_of_a_runner_is_logged(self):
        deployment = PlatformDeployment(network="", folder=self.folder, entries=1, agents=2)
        self.write(FIRST, (10.0, "start", TASK))
        log_runner_kill(deployment, "agent-0")
        self.write(SECOND, (1e11, "start", TASK))
        self.assertEqual(self.measure(), [])

    # Guards against a third run that isn't seen, as the first has ended.
    def test_a_third_run_beside_the_second_is_found(self):
        self.write(FIRST, (10.0, "start", TASK), (11.0, "done", TASK), (11.2, "start", TASK))
        self.write(SECOND, (10.4, "start", TASK), (11.5, "done", TASK))
        self.assertEqual(self.measure(), [0.6, 0.3])

    def test_a_start_that_was_carried_out_late_counts_once(self):
        self.write(FIRST, (10.0, "start", TASK), (10.0, "late", TASK), (11.0, "done", TASK))
        self.assertEqual(self.measure(), [])


if __name__ == "__main__":
    unittest.main()
