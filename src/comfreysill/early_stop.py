"""Imported first by programs: signals that come while they load.

A request to end ends them cleanly; nothing has been taken yet that would have to be finished. Word
of changed settings would kill them by default; it is passed over, as the settings are read again
now and then once the program runs.
"""

import signal
import sys
from types import FrameType


def _exit(number: int, frame: FrameType | None) -> None:
    sys.exit(0)


signal.signal(signal.SIGTERM, _exit)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
