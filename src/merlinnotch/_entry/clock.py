"""The clock of deadlines and ages."""

import time


def read_clock():
    """Return seconds on the boot clock.

    Unlike the monotonic clock it goes on while the machine is suspended, so
    that what was believed before looks as old as it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
