"""Signal handlers during the start of a process; programs import this module first.

SIGTERM exits with status 0, as no work has been accepted yet that would have to be finished. SIGHUP
would end the process by default; it is ignored. It asks a process of the platform to reload its
settings, which the running process also does periodically; `comfreysilld` never reloads them.
"""

import signal
import sys
from types import FrameType


def _exit(number: int, frame: FrameType | None) -> None:
    sys.exit(0)


signal.signal(signal.SIGTERM, _exit)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
