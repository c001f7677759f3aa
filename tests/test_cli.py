import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from comfreysill.cli.batch import estimate_ideal_time, read_jobs
from comfreysill.cli.main import main
from comfreysill.exceptions import DocumentError

JOBS = """
jobs:
  - {team: t, class: urgent, within_seconds: 5, service: s, copies: 2,
     tasks: [{payload: x, run_time: 0.1, count: 3}, {payload: y, run_time: 0.5}]}
"""
FLOOR = """
schema: 1
zones: [a]
services: [{name: s, zones: [b]}]
teams: [{name: t, wieght: 2}]
"""


def run_command(*arguments):
    """Runs the command; returns its exit status and its output on standard error."""
    errors = io.StringIO()
    with (
        mock.patch("sys.argv", ["comfreysill", *arguments]),
        contextlib.redirect_stderr(errors),
        contextlib.redirect_stdout(io.StringIO()),
    ):
        try:
            main()
        except SystemExit as end:
            return end.code or 0, errors.getvalue()
    return 0, errors.getvalue()


class CliTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return path

    def test_missing_file_names_the_parameter_and_a_hint(self):
        status, errors = run_command("floor", "check", str(self.folder / "none.yaml"))
        self.assertEqual(status, 2)
        self.assertIn("FILE", errors)
        self.assertIn("Hint:", errors)

    def test_invalid_floor_lists_errors_with_paths(self):
        status, errors = run_command("floor", "check", str(self.write("floor.yaml", FLOOR)))
        self.assertEqual(status, 3)
        self.assertIn("teams[0].wieght", errors)
        self.assertIn("did you mean 'weight'?", errors)

    def test_unreachable_entry_has_its_own_exit_status(self):
        status, errors = run_command("status", "--entry", "http://127.0.0.1:1")
        self.assertEqual(status, 4)
        self.assertIn("--entry http://127.0.0.1:1", errors)

    def test_job_file_is_expanded(self):
        requests = read_jobs(self.write("jobs.yaml", JOBS), 100.0)
        self.assertEqual(len(requests), 2)
        self.assertNotEqual(requests[0].job_id, requests[1].job_id)
        self.assertEqual(len(requests[0].document["tasks"]), 4)
        self.assertEqual(requests[0].document["deadline"], 105.0)

    def test_unknown_key_of_a_job_is_an_error(self):
        with self.assertRaises(DocumentError) as caught:
            read_jobs(self.write("jobs.yaml", JOBS.replace("copies", "copis")), 0.0)
        self.assertEqual(caught.exception.problems[0].path, "jobs[0].copis")

    def test_ideal_time_is_longest_task_or_work_divided_by_slots(self):
        document = {"tasks": [{"run_time": 0.1}] * 40 + [{"run_time": 0.5}]}
        self.assertEqual(estimate_ideal_time(document, 100), 0.5)
        self.assertAlmostEqual(estimate_ideal_time(document, 4), 1.125)
