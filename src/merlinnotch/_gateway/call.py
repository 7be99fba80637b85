"""The state of a caller's request while it is forwarded."""

import functools
from dataclasses import dataclass, field

from .._fleet import Configuration, Route, Team, UpstreamStart
from .._http import Framing
from .._poison import Run, fingerprint_parts, fingerprint_request

MIN_REMAINING_S = 0.02
"""No attempt starts with less time left."""


@dataclass
class Call:
    """An admitted request, its limits, and the progress of its attempts.

    *headers* are the decoded header fields of the request, *header_pairs* the fields to
    forward. Times are on the boot clock. *deadline* is when the caller or the route
    times out, whichever is first.

    *tried_starts* holds the :class:`UpstreamStart` of each upstream that is excluded
    from further attempts, *sent_starts* of those that count towards the route's limit.
    *may_have_run* is set once an upstream may have started the request.
    *retry_reserved* is set if the next attempt has already been taken from the retry
    budget, *reserved_choice* once an upstream is connected for it. *run* is the record
    of the current attempt, used to find requests that crash upstreams. *reasons* lists
    why attempts were repeated or denied.

    *relayed_from* is the instance that relays the call to this one, *relayed_by* the
    latest peer that this instance relayed it to, of *tried_peers*; what it knew of that
    peer was *relay_age_s* seconds old. *earlier_send_count* is how many upstreams may
    have got the call from other instances.

    *confidence* and *slowdown* are the inputs of the latest decision on whether to
    escalate to a larger model. *framing* tells what marks the end of the latest
    response body, *unfinished_bytes* how much a stream had after its last event.
    *awaits_admission* is set while the call waits at this instance for room at the
    upstreams, *was_shed* once one of them has had no room for it.
    """

    request: object
    headers: object
    header_pairs: list
    configuration: Configuration
    route: Route
    team: Team | None
    arrived_at: float
    deadline: float
    service: str = ""
    model: str | None = None
    tried_starts: set[UpstreamStart] = field(default_factory=set)
    sent_starts: set[UpstreamStart] = field(default_factory=set)
    send_count: int = 0
    may_have_run: bool = False
    retry_reserved: bool = False
    reserved_choice: object | None = None
    run: Run | None = None
    reasons: list[str] = field(default_factory=list)
    last_event_id: int | None = None
    events_sent: int = 0
    upstream_id: str | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    longest_pause_ended_at: float | None = None
    confidence: float | None = None
    slowdown: float | None = None
    relayed_from: str | None = None
    relayed_by: str | None = None
    relay_age_s: float | None = None
    tried_peers: set[str] = field(default_factory=set)
    earlier_send_count: int = 0
    framing: Framing | None = None
    unfinished_bytes: int = 0
    awaits_admission: bool = False
    was_shed: bool = False

    def take_reserved_choice(self):
        """Return and clear *reserved_choice*."""
        choice, self.reserved_choice = self.reserved_choice, None
        return choice

    @property
    def rank(self):
        """The team's priority if it has one, otherwise the route's; 0 is first."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    def get_remaining_s(self, now):
        """Return the seconds until the deadline."""
        return self.deadline - now

    def classify_delay(self):
        """Return which latency goal the stream has missed so far.

        The value is "first event", "pause" or None, and is logged as ``late``.
        """
        first_at = self.first_event_at
        if first_at is None:
            return None
        if first_at - self.arrived_at > self.route.goal_s:
            return "first event"
        if 0.0 < self.route.pause_goal_s < self.longest_pause_s:
            return "pause"
        return None

    @functools.cached_property
    def fingerprint(self):
        """A hash that is equal for all repeats of this request."""
        request = self.request
        team = self.team.name if self.team else None
        return fingerprint_request(
            request.method, request.host, request.target, team, request.body
        )

    @functools.cached_property
    def parts(self):
        """Fingerprints of the prompt parts that other requests may contain."""
        return fingerprint_parts([part.id for part in self.headers.prompt])

    @property
    def crash_keys(self):
        """Fingerprints of what may crash an upstream: the request and its parts."""
        return (self.fingerprint, *self.parts)

    @property
    def sends_left(self):
        """How many more upstreams the route allows."""
        sent_count = len(self.sent_starts) + self.earlier_send_count
        return self.route.max_upstreams - sent_count

    @property
    def is_retryable(self):
        """Whether another attempt is safe after one that may have run."""
        return self.route.retry_policy.is_retryable
