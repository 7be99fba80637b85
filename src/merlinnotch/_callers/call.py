"""Parsed and validated requests of callers."""

import time
from dataclasses import dataclass, field

from .._config import Kind, Team
from .._limits import Holding
from .._rate_limits import NO_PERMIT_NEEDED, Permit
from .._sessions import Session


@dataclass
class Call:
    """A caller's request.

    *key* is its key in the ledger, derived from the team and *request_id*.
    *has_idempotency_key* is true if the caller chose the id, so that the request may be
    repeated. *digest* is a hash of the content. *deadline* is on the monotonic clock.
    *may_have_been_sent* is true once an upstream may have received a byte of the
    request, *claimed* once the ledger granted the claim, so that no other attempt has
    run it. *permit* allows the next attempt to a limited upstream. *holding* counts the
    bodies of the request and of its response.
    """

    request_id: str
    key: bytes
    has_idempotency_key: bool
    digest: bytes
    team: Team
    session: Session | None
    deadline: float
    idempotent: bool
    may_have_been_sent: bool = field(default=False)
    claimed: bool = field(default=False)
    permit: Permit = field(default=NO_PERMIT_NEEDED)
    holding: Holding | None = field(default=None)

    @property
    def time_left_s(self):
        """The time left until the deadline, in seconds, never negative."""
        return max(0.0, self.deadline - time.monotonic())


@dataclass
class ChatCall(Call):
    """A request for a chat completion."""

    kind: Kind | None = None
    body: dict = field(default_factory=dict)
    stream: bool = False
    include_usage: bool = False
    affinity_key: str = ""


@dataclass
class ServiceCall(Call):
    """A request for a plain service."""

    service: object = None
    method: str = "GET"
    path: str = "/"
    content_type: str = ""
    body: bytes = b""
