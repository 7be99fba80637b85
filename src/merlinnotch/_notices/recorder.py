"""Recording of the notices in responses."""

import collections

from .logs import log_leaving, log_problem, log_rest
from .source import NoticeSource

MAX_WARNED_STARTS = 1024
"""Bounds memory; the start that was logged first is dropped first."""


class NoticeRecorder:
    """Records what upstreams ask for in their responses, and logs changes.

    *notices* is the :class:`UpstreamNotices` to record in. Invalid values are logged
    once per start.
    """

    def __init__(self, notices):
        self._notices = notices
        self._warned_starts = collections.OrderedDict()

    def record(self, start, upstream_id, notice, now):
        """Record the decoded *notice* of a response that was read at *now*."""
        if notice.problem:
            self._warn_once(start, upstream_id, notice.problem)
        if notice.is_leaving and self._notices.record_leaving(
            start, NoticeSource.ANSWER, now, notice.leaving_s
        ):
            log_leaving(upstream_id, NoticeSource.ANSWER)
        if self._notices.record_rest(start, notice.rest_s, now):
            log_rest(upstream_id, notice.rest_s)

    def _warn_once(self, start, upstream_id, problem):
        if start in self._warned_starts:
            return
        self._warned_starts[start] = None
        if len(self._warned_starts) > MAX_WARNED_STARTS:
            self._warned_starts.popitem(last=False)
        log_problem(upstream_id, problem)
