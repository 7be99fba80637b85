"""Judging whether this instance may give orders."""

import json
from dataclasses import asdict, dataclass

LEASE_TTL_S = 10.0
SAFE_SHARE = 0.5
"""Part of the lease, counted from when its renewal was asked for, in which
orders are given; the rest covers clocks that run unlike and orders under way."""


@dataclass(frozen=True)
class LeaseHolder:
    """Who got a fencing number; *fence* grows with each new holder."""

    instance: str
    fence: int

    def encode(self):
        """Return the bytes kept in the store."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the holder in *data*."""
        return cls(**json.loads(data))


class OrderLease:
    """Decides when a holder may order; all times are monotonic seconds.

    Engines that honour the fencing number are safe whatever we do. For those
    that ignore it, a holder stops well before its lease can end, and its
    successor waits until the predecessor's lease has surely ended.
    """

    def __init__(self, ttl_s=LEASE_TTL_S):
        self._ttl_s = ttl_s
        self._fence = 0
        self._renewed_at = float("-inf")
        self._acquired_at = float("-inf")

    @property
    def fence(self):
        """The fencing number that our orders carry."""
        return self._fence

    @property
    def renewed_at(self):
        """When the last renewal was asked for."""
        return self._renewed_at

    def acquire(self, fence, asked_at):
        """We became the holder by a call made at *asked_at*."""
        self._fence = fence
        self._acquired_at = asked_at
        self._renewed_at = asked_at

    def renew(self, asked_at):
        """The lease was renewed by a call made at *asked_at*."""
        self._renewed_at = max(self._renewed_at, asked_at)

    def lose(self):
        """We are no longer the holder."""
        self._renewed_at = float("-inf")

    def may_order(self, now):
        """Return whether an order may be sent at *now*."""
        waited_out = now - self._acquired_at >= self._ttl_s
        return waited_out and self.get_time_left(now) > 0

    def get_time_left(self, now):
        """Return for how long orders may be under way, in seconds."""
        return self._renewed_at + self._ttl_s * SAFE_SHARE - now
