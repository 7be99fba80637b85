"""States of a version."""

import enum


class VersionState(enum.StrEnum):
    """The state that operators declare for a version.

    A ROLLING_OUT version gets a share of new requests, a DRAINING one only requests
    of its existing sessions, a WITHDRAWN one none.
    """

    SERVING = "serving"
    ROLLING_OUT = "rolling-out"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"
