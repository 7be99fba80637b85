"""Clock for deadlines and ages."""

import time


def read_clock():
    """Return the time since boot in seconds.

    Unlike the monotonic clock it includes time spent suspended, so cached state ages
    while the machine sleeps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
