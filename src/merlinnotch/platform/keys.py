"""Keys of the platform's store."""

ALL_KEYS_PREFIX = ""
"""The prefix of all keys: those of operators, of upstreams and of merlinnotch."""

CONFIGURATION = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
STATUS_PREFIX = "status/rollout/"


def status_key(service):
    """Return the key under which operators find the rollout status of *service*."""
    return STATUS_PREFIX + service
