"""Clocks, and the offset between them."""

import time


def read_boot_clock() -> float:
    """Returns the boot clock in seconds, which keeps counting while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClockReading:
    """A reading of two clocks at the same moment.

    Attributes:
        boot: Boot clock in seconds.
        monotonic: Monotonic clock in seconds, which stands still while the instance is suspended.
    """

    __slots__ = ("boot", "monotonic")

    def __init__(self, *, boot: float, monotonic: float) -> None:
        self.boot = boot
        self.monotonic = monotonic


def read_clocks() -> ClockReading:
    """Returns a reading of the boot clock and the monotonic clock."""
    return ClockReading(boot=read_boot_clock(), monotonic=time.monotonic())


def measure_suspension(earlier: ClockReading, later: ClockReading) -> float:
    """Returns for how many seconds the instance was suspended between two readings."""
    return (later.boot - earlier.boot) - (later.monotonic - earlier.monotonic)


def measure_unix_offset() -> float:
    """Returns the offset in seconds from the boot clock to Unix time."""
    return time.time() - read_boot_clock()
