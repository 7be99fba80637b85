"""Permits to send one request to a limited upstream, and requests for them."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class PermitRequest:
    """A request for one permit.

    *asker* is the name of the instance that asks. *is_urgent* says that it knows no
    other upstream for the request that it would send.
    """

    asker: str
    is_urgent: bool = False


@dataclass(frozen=True)
class PermitDecision:
    """The answer to a :class:`PermitRequest`.

    *permit_id* is 0 if no permit is issued. The asker should then ask again after
    *wait_s* seconds.
    """

    permit_id: int
    wait_s: float = 0.0

    @property
    def is_issued(self):
        """Whether a permit is issued."""
        return self.permit_id != 0


@dataclass(frozen=True)
class Permit:
    """Permission to send one request to an upstream until *expires_at*.

    *issuer* is the name of the instance that issued it. An upstream without a limit
    needs no permit; *id* is then 0.
    """

    start: object = None
    id: int = 0
    issuer: str = ""
    expires_at: float = math.inf

    def is_expired(self, now):
        """Return whether the request may no longer be sent at *now*."""
        return now >= self.expires_at


NO_PERMIT_NEEDED = Permit()
