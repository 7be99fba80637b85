"""The window of requests in flight of an upstream that ramps up."""

import math
from dataclasses import dataclass

TRY_SIZE = 0.5
"""Window below one request: single requests are sent, with pauses between them."""
TRY_INTERVAL_S = 0.5
"""Pause between tries. With work six times the usual and 67 requests per second, two
late tries per second are the limit of 3 in 100 callers."""
MAX_TRY_INTERVAL_S = 1.0
"""Longest pause, after tries that were not answered."""
HOLD_S = 0.2
"""How long a window doesn't grow after it shrank: reports from other zones that were
made before that are up to this old."""


@dataclass
class RampWindow:
    """The window of one start, as one instance sees it.

    *size* is the allowed number of requests in flight, over all instances; *slots* is
    its full size. *tried_at* is when this instance last knew of a try, *reported_at*
    when it last got a report on the start, *has_reports* whether it ever got one.
    *is_answered* tells whether the start has answered anything, *is_last_own* whether
    the last try was made by this instance.
    """

    upstream: object
    reason: str
    began_at: float
    size: float = TRY_SIZE
    tried_at: float = -math.inf
    reported_at: float = -math.inf
    seen_at: float = -math.inf
    alone_due_at: float | None = None
    has_reports: bool = False
    is_answered: bool = False
    is_last_own: bool = False
    _unanswered_count: int = 0
    _threshold: float = math.inf
    _grown_at: float = -math.inf
    _held_until: float = -math.inf

    @property
    def slots(self):
        """The full size."""
        return max(1, self.upstream.slots)

    @property
    def is_full(self):
        """Whether the window is as large as the slots allow."""
        return self.size >= self.slots

    @property
    def is_trying(self):
        """Whether only single requests are sent."""
        return self.size < 1.0

    def get_pause_s(self):
        """Return the pause after the last try."""
        factor = 2.0 ** max(0, min(10, self._unanswered_count - 1))
        return min(MAX_TRY_INTERVAL_S, TRY_INTERVAL_S * factor)

    def get_due_at(self):
        """Return when the next try is due."""
        return self.tried_at + self.get_pause_s()

    def record_try(self, now, is_own):
        """Record that an instance sent a request."""
        self.tried_at = now
        self.is_last_own = is_own
        self._unanswered_count += 1

    def record_answer(self):
        """Record that an instance got a response."""
        self.is_answered = True
        self._unanswered_count = 0

    def grow(self, now, round_s):
        """Enlarge the window, once per *round_s*; return whether it has changed.

        It doubles up to half the size at which it last shrank, and is then enlarged by
        one request at a time.
        """
        if now < self._held_until or now - self._grown_at < round_s:
            return False
        self._grown_at = now
        if self.is_trying:
            self.size = 1.0
        elif self.size < self._threshold:
            self.size *= 2.0
        else:
            self.size += 1.0
        self.size = min(self.size, self.slots)
        return True

    def shrink(self, now):
        """Halve the window."""
        if now >= self._held_until and not self.is_trying:
            self._threshold = max(1.0, self.size / 2.0)
        self._held_until = now + HOLD_S
        self.size = self.size / 2.0 if self.size >= 2.0 else TRY_SIZE

    def adopt(self, size, is_good, now):
        """Apply the window *size* that another instance has after a response.

        *is_good* tells whether the response was as usual, None if that is not known.
        Return whether the window has changed. One that lags behind must not undo what
        is known already.
        """
        previous = self.size
        size = min(self.slots, max(TRY_SIZE, size))
        if is_good is None:
            self.size = size
        elif is_good:
            if now >= self._held_until:
                self.size = max(previous, size)
        else:
            self._held_until = now + HOLD_S
            self.size = min(previous, size)
        if self.size > previous:
            self._grown_at = now
        return self.size != previous
