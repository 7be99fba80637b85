"""The lease that allows an instance to send orders."""

import json
from dataclasses import asdict, dataclass

LEASE_TTL_S = 10.0
USABLE_FRACTION = 0.5
"""Fraction of the lease's TTL, from the request of its renewal, in which orders are
sent. The remainder covers clock drift and orders in transit."""


@dataclass(frozen=True)
class LeaseHolder:
    """The holder of a lease and its fencing number.

    *fence* is greater than that of every earlier holder.
    """

    instance: str
    fence: int

    def encode(self):
        """Return the JSON bytes for the store."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the holder encoded in *data*."""
        return cls(**json.loads(data))


class OrderLease:
    """The state of this instance's lease. All times are monotonic seconds.

    Engines that check the fencing number reject orders of earlier holders. For
    engines that ignore it, a holder stops sending before its lease can expire, and
    its successor waits one TTL, after which the predecessor's lease has expired.
    """

    def __init__(self, ttl_s=LEASE_TTL_S):
        self._ttl_s = ttl_s
        self._fence = 0
        self._renewed_at = float("-inf")
        self._acquired_at = float("-inf")

    @property
    def fence(self):
        """The fencing number to send with orders, 0 before the first lease."""
        return self._fence

    @property
    def renewed_at(self):
        """When the last acquisition or renewal was requested.

        Minus infinity if the lease is not held.
        """
        return self._renewed_at

    def acquire(self, fence, requested_at):
        """Record a successful acquisition that was requested at *requested_at*."""
        self._fence = fence
        self._acquired_at = requested_at
        self._renewed_at = requested_at

    def renew(self, requested_at):
        """Record a successful renewal that was requested at *requested_at*."""
        self._renewed_at = max(self._renewed_at, requested_at)

    def mark_lost(self):
        """Record that the lease is no longer held."""
        self._renewed_at = float("-inf")

    def may_send_orders(self, now):
        """Return whether an order may be sent at *now*."""
        predecessor_expired = now - self._acquired_at >= self._ttl_s
        return predecessor_expired and self.get_remaining_s(now) > 0

    def get_remaining_s(self, now):
        """Return the seconds until the holder must stop sending orders.

        Zero or negative once it must.
        """
        return self._renewed_at + self._ttl_s * USABLE_FRACTION - now
