"""Bounding what new connections bring over the network link."""

import math

USABLE_SHARE = 0.9
"""Share of the link for callers' requests. The rest is for the store and for peers."""
MAX_QUEUE_S = 0.4
"""How long the bytes of a request may wait for the link."""
MAX_BURST_QUEUE_S = 0.8
"""The same for connections that the kernel has accepted already. As their requests are
on their way, closing them would save only the responses."""
MAX_PAUSE_S = 1.0
"""A connection is accepted after this time even if the link is full, as other traffic
may fill it for long."""
PACKET_DATA_BYTES = 1440
PACKET_HEADER_BYTES = 90
"""Headers of a packet, and of its share of an acknowledgement."""
CONNECTION_BYTES = 240
"""Packets that open and close a connection."""
INITIAL_REQUEST_BYTES = 4096.0
MEAN_WEIGHT = 0.05
"""Weight of the latest request in the mean."""


class LinkBudget:
    """Decides whether the link has room for another connection.

    It answers a load of new connections whose bytes exceed what the link carries.
    Without a bound all requests share the link and are answered late; with it, those
    that are read are served, and the callers of the others meet another instance.

    A leaky bucket. Its level rises by what requests and responses take of the link and
    falls by what the link carries. A new connection counts at once with the mean of
    earlier requests, as its bytes follow.

    The link carries *bytes_per_s* in each direction, 0 means that there is no limit.
    Each byte of a request or response crosses it twice, in and out, so that one bucket
    stands for both directions.
    """

    def __init__(self, bytes_per_s):
        self._usable_bytes_per_s = USABLE_SHARE * bytes_per_s
        self._level = 0.0
        self._drained_at = None
        self._admitted_at = -math.inf
        self.mean_request_bytes = INITIAL_REQUEST_BYTES

    @property
    def is_limited(self):
        """Whether there is a limit."""
        return self._usable_bytes_per_s > 0.0

    def has_room(self, now):
        """Return whether further connections are welcome at *now*."""
        if now - self._admitted_at >= MAX_PAUSE_S:
            return True
        return self.measure_queue_s(now) < MAX_QUEUE_S

    def try_admit(self, now):
        """Count a connection that has arrived; return whether to read its request.

        The link has to carry the request in any case.
        """
        is_due = now - self._admitted_at >= MAX_PAUSE_S
        is_admitted = is_due or self.measure_queue_s(now) < MAX_BURST_QUEUE_S
        if is_admitted:
            self._admitted_at = now
        self.charge(self.mean_request_bytes)
        return is_admitted

    def charge(self, size):
        """Count *size* bytes, headers included."""
        if self.is_limited:
            self._level += size

    def refund(self, size):
        """Take back *size* bytes that were charged and won't follow."""
        self._level = max(0.0, self._level - size)

    def record_request(self, size):
        """Record that a request and its response took *size* bytes, for the mean."""
        self.mean_request_bytes += MEAN_WEIGHT * (size - self.mean_request_bytes)

    def record_beat(self, now):
        """Record that the link has carried what it could until *now*.

        Bytes that are charged later haven't been carried before.
        """
        if self._drained_at is not None:
            drained = (now - self._drained_at) * self._usable_bytes_per_s
            self._level = max(0.0, self._level - drained)
        self._drained_at = now

    def measure_queue_s(self, now):
        """Return how long a byte that enters the link at *now* has to wait."""
        if not self.is_limited:
            return 0.0
        self.record_beat(now)
        return self._level / self._usable_bytes_per_s


class ConnectionTraffic:
    """Counts the bytes of an accepted connection in *budget*.

    The first request was counted with the mean when the connection was accepted.
    """

    def __init__(self, budget):
        self._budget = budget
        self._charged = budget.mean_request_bytes
        self._used = float(CONNECTION_BYTES)
        self._data_bytes = 0

    def record(self, size):
        """Count a block of *size* bytes that was read or written."""
        self._data_bytes += size
        self._used += measure_wire_bytes(size)
        if self._used > self._charged:
            self._budget.charge(self._used - self._charged)
            self._charged = self._used

    def record_resent(self, size):
        """Count *size* bytes that were sent again while the request was in progress.

        They have crossed the link by now and only raise the mean.
        """
        self._used += measure_wire_bytes(size)

    def finish_request(self):
        """Count the end of a request; further bytes belong to the next one.

        Return the bytes that were read and written for it.
        """
        self._budget.refund(max(0.0, self._charged - self._used))
        if self._data_bytes:
            self._budget.record_request(self._used)
        self._charged = self._used = 0.0
        data_bytes, self._data_bytes = self._data_bytes, 0
        return data_bytes


def measure_wire_bytes(size):
    """Return *size* bytes of data with the headers of their packets."""
    packets = -(-size // PACKET_DATA_BYTES)
    return size + packets * PACKET_HEADER_BYTES
