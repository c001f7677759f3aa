"""Clocks of a process."""

import time


def read_boot_clock() -> float:
    """Returns the clock in seconds that also counts while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def measure_unix_offset() -> float:
    """Returns what has to be added to the boot clock for Unix time, in seconds."""
    return time.time() - read_boot_clock()
