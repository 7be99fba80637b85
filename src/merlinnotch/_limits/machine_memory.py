"""The memory that a process may use."""

import contextlib
import os
import pathlib
import resource

CGROUP_LIMIT = pathlib.Path("/sys/fs/cgroup/memory.max")


def find_memory_bytes():
    """Return the least limit that the kernel has for this process or its machine."""
    limits = [os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")]
    address_space, _ = resource.getrlimit(resource.RLIMIT_AS)
    if address_space != resource.RLIM_INFINITY:
        limits.append(address_space)
    # There may be no control group, or one without a limit.
    with contextlib.suppress(OSError, ValueError):
        limits.append(int(CGROUP_LIMIT.read_text()))
    return min(limits)
