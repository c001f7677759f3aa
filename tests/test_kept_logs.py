import pathlib
import tempfile
import unittest
from unittest import mock

from standins import kept_logs


class KeptLogsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.logs = pathlib.Path(folder.name) / "logs"
        self.kept = pathlib.Path(folder.name) / "kept"
        self.logs.mkdir()

    def keep(self):
        return kept_logs.keep_logs(self.logs, "tests.test_x.XTest.test_y", self.kept)

    def test_the_end_of_each_log_is_kept(self):
        (self.logs / "entry-0.log").write_bytes(b"x" * 9 + b"end")
        with mock.patch.object(kept_logs, "MAX_KEPT_BYTES_PER_FILE", 4):
            copy = self.keep()
        self.assertEqual((copy / "entry-0.log").read_bytes(), b"xend")
        self.assertTrue(copy.name.endswith("test_y"))

    def test_files_and_deployments_kept_are_bounded(self):
        for number in range(5):
            (self.logs / f"entry-{number}.log").write_text("x")
        with mock.patch.multiple(kept_logs, MAX_KEPT_FILES=3, MAX_KEPT_DEPLOYMENTS=2):
            copies = [self.keep() for _ in range(4)]
        self.assertEqual(sorted(self.kept.iterdir()), copies[-2:])
        self.assertEqual(len(list(copies[-1].iterdir())), 3)
