"""Life stages of a version."""

import enum


class VersionState(enum.StrEnum):
    """What an operator has declared about a version.

    ROLLING_OUT takes a share of new work, DRAINING only work of sessions
    that it has, WITHDRAWN none.
    """

    SERVING = "serving"
    ROLLING_OUT = "rolling-out"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"
