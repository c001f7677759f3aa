import os
import pathlib
import signal
import subprocess
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).parent.parent


class TestLaunch(unittest.TestCase):
    def test_sigterm_during_startup_exits_cleanly(self):
        code = "import comfreysill.startup_signals, time, os; os.write(1, b'x'); time.sleep(30)"
        process = subprocess.Popen(
            [sys.executable, "-c", code],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )
        process.stdout.read(1)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(20), 0)
        process.stdout.close()

    def test_sighup_during_startup_is_ignored(self):
        code = "import comfreysill.startup_signals, sys, os; os.write(1, b'x'); sys.stdin.read()"
        process = subprocess.Popen(
            [sys.executable, "-c", code],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )
        process.stdout.read(1)
        process.send_signal(signal.SIGHUP)
        process.stdin.close()
        self.assertEqual(process.wait(20), 0)
        process.stdout.close()

    def test_invalid_role_or_settings_are_reported(self):
        for role, expected in (("nobody", "unknown role"), ("entry", "COMFREYSILL_SETTINGS")):
            environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
            environment.pop("COMFREYSILL_SETTINGS", None)
            completed = subprocess.run(
                [sys.executable, str(ROOT / "deploy" / "comfreysill.py"), role],
                capture_output=True,
                text=True,
                env=environment,
                timeout=60,
            )
            self.assertNotEqual(completed.returncode, 0)
            self.assertIn(expected, completed.stderr)


class TestStructuredLog(unittest.TestCase):
    def test_logging_is_rate_limited_and_never_blocks(self):
        code = (
            "import logging, comfreysill.structured_logging as s\n"
            "s.configure_structured_logging('p')\n"
            "for n in range(5000): logging.info('e', extra={'fields': {'n': n}})\n"
        )
        reader, writer = os.pipe()
        started = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-c", code],
            stdout=writer,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )
        os.close(writer)
        self.assertEqual(
            process.wait(60), 0, "the process has to exit although nothing reads its log"
        )
        lines = os.read(reader, 1 << 20).splitlines()
        os.close(reader)
        self.assertGreater(len(lines), 100)
        self.assertLess(len(lines), 400 + 200 * (time.monotonic() - started + 1))
