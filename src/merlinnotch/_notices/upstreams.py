"""The notices of all upstreams, as one instance knows them."""

import collections
import math

from .notice import Notice

MAX_STARTS = 4096
"""Bounds memory. Notices without an effect are dropped first, then the one that was
renewed the longest time ago."""
MIN_REST_CHANGE_S = 1.0
"""Requests refused together extend a rest by fractions of a second. These extensions
are not reported as changes."""


class UpstreamNotices:
    """What each upstream asked of its senders, for all that choose or connect.

    *start* identifies one start of an upstream and may be any hashable. A notice
    outlives the upstream's entry in the store and holds until :meth:`drop` is called
    for the start.

    A rest is extended by a later one, but never shortened, as responses arrive in any
    order.

    Leaving holds for *max_leaving_s* at most, unless it is renewed.
    """

    def __init__(self, max_starts=MAX_STARTS, max_leaving_s=math.inf):
        self._max_starts = max_starts
        self._max_leaving_s = max_leaving_s
        self._notices = collections.OrderedDict()

    def __len__(self):
        return len(self._notices)

    def record_leaving(self, start, source, now, for_s=math.inf):
        """Record that *start* is leaving, for *for_s* seconds from *now*.

        A notice that holds for longer is not shortened.

        Return whether *source*, a :class:`NoticeSource`, had not said so before.
        """
        notice = self._get_or_create(start, now)
        current_until = notice.leaving_until.get(source, -math.inf)
        until = now + min(for_s, self._max_leaving_s)
        notice.leaving_until[source] = max(current_until, until)
        return current_until <= now

    def withdraw_leaving(self, start, source):
        """Record that *source* no longer says that *start* is leaving."""
        notice = self._notices.get(start)
        if notice is not None:
            notice.leaving_until.pop(source, None)

    def record_rest(self, start, rest_s, now):
        """Record that *start* wants no requests for *rest_s* seconds from *now*.

        Return whether this changes the end of its rest notably.
        """
        if rest_s <= 0.0:
            return False
        notice = self._get_or_create(start, now)
        added_s = rest_s - notice.get_rest_s(now)
        is_new = notice.get_rest_s(now) <= 0.0
        notice.resting_until = max(notice.resting_until, now + rest_s)
        return is_new or added_s >= MIN_REST_CHANGE_S

    def accepts_work(self, start, now):
        """Return whether *start* is neither leaving nor resting."""
        notice = self._notices.get(start)
        return notice is None or not notice.is_current(now)

    def is_leaving(self, start, now):
        """Return whether *start* is leaving."""
        notice = self._notices.get(start)
        return notice is not None and notice.is_leaving(now)

    def get_rest_s(self, start, now):
        """Return for how many more seconds *start* rests, 0 if it doesn't."""
        notice = self._notices.get(start)
        return notice.get_rest_s(now) if notice is not None else 0.0

    def drop(self, start):
        """Drop the notices of a start that has ended."""
        self._notices.pop(start, None)

    def _get_or_create(self, start, now):
        notice = self._notices.get(start)
        if notice is None:
            if len(self._notices) >= self._max_starts:
                self._make_room(now)
            notice = self._notices[start] = Notice()
        self._notices.move_to_end(start)
        return notice

    def _make_room(self, now):
        past = [s for s, notice in self._notices.items() if not notice.is_current(now)]
        for start in past:
            del self._notices[start]
        if not past:
            self._notices.popitem(last=False)
