"""When an instance may ask for permits."""

from dataclasses import dataclass

UNANSWERED_WAIT_S = 0.5
"""Pause after a request for a permit that was not answered; doubles each time."""
MAX_UNANSWERED_WAIT_S = 4.0
MAX_WAIT_S = 60.0
"""Longest wait, whatever an issuer says."""
MAX_RETURN_S = 10.0
"""Longest time until a refused caller is to return because of others before it."""


class PermitSchedule:
    """The times before which no permit is asked for, by start.

    Until then requests go to other upstreams without asking. Urgent ones, which know no
    other upstream, may be due sooner. *book* is a :class:`LimitBook`; starts without a
    limit need no permits.
    """

    def __init__(self, book):
        self._book = book
        self._pauses = {}
        self._return_times = {}

    def get_wait_s(self, start, now, is_urgent=False):
        """Return the seconds until a permit may be asked for, 0 if it may now."""
        pause = self._pauses.get(start)
        if pause is None or self._book.get(start) is None:
            return 0.0
        until = pause.urgent_until if is_urgent else pause.until
        return max(0.0, until - now)

    def get_return_s(self, start, now):
        """Return the seconds until a caller that is refused now should return.

        A permit is then due for it, after those of the callers refused before.
        """
        wait_s = self.get_wait_s(start, now, is_urgent=True)
        return_s = self._return_times.get(start, now) - now
        return max(wait_s, min(return_s, MAX_RETURN_S))

    def record_refused(self, start, return_s, now):
        """Record that a caller was refused and should return after *return_s*."""
        per_s = self._book.get(start)
        if per_s is not None:
            self._return_times[start] = now + return_s + 1.0 / per_s

    def record_issued(self, start):
        """Record that a permit was issued."""
        self._pauses.pop(start, None)

    def record_denied(self, start, wait_s, now, is_urgent=False):
        """Record that the next permit is due after *wait_s* seconds.

        That of an urgent request is due no later than that of another one.
        """
        until = now + min(wait_s, MAX_WAIT_S)
        previous = self._pauses.get(start)
        if is_urgent:
            normal_until = previous.until if previous is not None else until
            self._pauses[start] = _Pause(max(until, normal_until), until)
        else:
            urgent_until = previous.urgent_until if previous is not None else now
            self._pauses[start] = _Pause(until, min(until, urgent_until))

    def record_unanswered(self, start, now):
        """Record that the issuer did not answer."""
        previous = self._pauses.get(start)
        count = previous.unanswered_count if previous is not None else 0
        wait_s = min(MAX_UNANSWERED_WAIT_S, UNANSWERED_WAIT_S * 2.0**count)
        self._pauses[start] = _Pause(now + wait_s, now + wait_s, count + 1)

    def drop(self, start):
        """Drop a start that was removed."""
        self._pauses.pop(start, None)
        self._return_times.pop(start, None)


@dataclass(frozen=True)
class _Pause:
    """No permit is asked for before *until*, for urgent requests *urgent_until*."""

    until: float
    urgent_until: float
    unanswered_count: int = 0
