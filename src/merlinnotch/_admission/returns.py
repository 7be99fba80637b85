"""When refused callers should return."""

import math

MAX_RETURN_S = 10.0
"""Longest time until a caller is to return."""
MAX_RANKS = 10
"""Ranks that are distinguished; less urgent ones count as the last."""
MIN_PER_S = 0.01


class ReturnSchedule:
    """The next time without a booking, by rank.

    A booking takes the time of one request at the expected rate. It delays the next
    bookings of its own rank and of less urgent ones.
    """

    def __init__(self):
        self._free_at = [-math.inf] * MAX_RANKS

    def book(self, rank, per_s, now):
        """Return the seconds until a caller of *rank* should return, and book them.

        *per_s* is the rate at which this instance expects to admit requests.
        """
        if not MIN_PER_S <= per_s < math.inf:
            per_s = MIN_PER_S
        rank = min(MAX_RANKS - 1, max(0, rank))
        last = now + MAX_RETURN_S
        return_at = min(last, max(now, self._free_at[rank]) + 1.0 / per_s)
        for other in range(rank, MAX_RANKS):
            free_at = max(now, self._free_at[other]) + 1.0 / per_s
            self._free_at[other] = min(last, free_at)
        return return_at - now
