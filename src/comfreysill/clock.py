"""Clocks, and the offset between them."""

import time


def read_boot_clock() -> float:
    """Returns the boot clock in seconds, which keeps counting while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def measure_unix_offset() -> float:
    """Returns the offset in seconds from the boot clock to Unix time."""
    return time.time() - read_boot_clock()
