"""Keys of the platform's store."""

EVERYTHING = ""
"""Prefix that covers the operators', the upstreams' and our own keys."""

CONFIGURATION = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
STATUS_PREFIX = "status/rollout/"


def status_key(service):
    """Return where the state of a service's roll-out is told to operators."""
    return STATUS_PREFIX + service
