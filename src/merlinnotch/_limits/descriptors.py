"""Bounding the descriptors that connections of callers take."""

import resource
import sys

CALLER_SHARE = 0.4
"""Share of a process's descriptors for connections of callers. A request in progress
takes another one to an upstream; the rest is for peers, the store and files."""


def compute_max_connections(max_descriptors=0):
    """Return how many connections of callers a process may have.

    *max_descriptors* is the limit of the process, 0 for that of the kernel.
    """
    if not max_descriptors:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_descriptors == resource.RLIM_INFINITY:
        return sys.maxsize
    return max(1, int(CALLER_SHARE * max_descriptors))
