"""What responses say about their upstream, for this instance and its peers."""

import math
import time

from .._http import Fields
from .._links.gossiper import LEAVING
from .._notices import NoticeRecorder, NoticeSource, log_leaving
from .._peers import Leaving
from .._rate_limits import NO_PERMIT_NEEDED
from ..platform import decode_notice

REPUBLISH_INTERVAL_S = 30.0
"""Peers keep a notice of leaving for a limited time."""


class ResponseNotices:
    """Records the notices in responses of upstreams, and publishes who is leaving.

    *on_change* is called after each notice of an upstream that wants no requests, and
    after each change of a limit, which *permits* records.
    """

    def __init__(self, table, gossiper, permits, on_change):
        self._table = table
        self._permits = permits
        self._gossiper = gossiper
        self._on_change = on_change
        self._recorder = NoticeRecorder(table.notices)
        gossiper.add_listener(LEAVING, self._handle_leaving)

    def record(self, upstream, response, now):
        """Record and return the notice of a *response* that was received at *now*."""
        headers = response.headers.items()
        fields = Fields((name.lower(), value) for name, value in headers)
        notice = decode_notice(response.status, fields)
        self._recorder.record(upstream.start, upstream.listed.id, notice, now)
        if math.isinf(notice.leaving_s):
            self._publish_leaving(upstream)
        if notice.is_leaving or notice.rest_s > 0.0:
            self._on_change()
        return notice

    def record_limit(
        self, upstream, notice, asked_at, now, permit=NO_PERMIT_NEEDED, may_end=False
    ):
        """Record the limit that *notice* names.

        The arguments are as for :meth:`Permits.record_response`.
        """
        if self._permits.record_response(
            upstream, notice.limit_per_s, may_end, asked_at, now, permit
        ):
            self._on_change()

    def report_leaving(self, upstream, now):
        """Record that *upstream* refuses requests because it is leaving."""
        if not self._is_current(upstream):
            return
        upstream_id = upstream.listed.id
        source = NoticeSource.ANSWER
        if self._table.record_leaving(upstream_id, now, source):
            log_leaving(upstream_id, source)
        self._publish_leaving(upstream)
        self._on_change()

    def _publish_leaving(self, upstream):
        """Publish that *upstream* is leaving, unless that was done recently."""
        if not self._is_current(upstream):
            return
        upstream_id = upstream.listed.id
        at = time.time()
        previous = self._gossiper.state.get((LEAVING, upstream_id))
        if previous is None or at - previous.at >= REPUBLISH_INTERVAL_S:
            self._gossiper.publish(LEAVING, (upstream_id,), Leaving(at))

    def _is_current(self, upstream):
        """Return whether the upstream has not restarted since."""
        return self._table.get(upstream.listed.id) is upstream

    def _handle_leaving(self, key, leaving):
        upstream_id = key[1]
        if self._table.record_leaving(upstream_id, time.monotonic()):
            log_leaving(upstream_id, NoticeSource.PEER)
        self._on_change()
