"""Access to the ledger from any instance."""

import time

from .._ledger import Query, RecordStatus, get_bucket
from .._links.link import PeerUnreachable
from .._peers import BeginReply, BeginRequest, RecordReply, RecordRequest, rank_names
from .registry import RunRegistry
from .writer import BucketWriter

PEER_TIMEOUT_S = 1.0
SUBMIT_TIMEOUT_S = 0.6
"""Less than :data:`PEER_TIMEOUT_S`, so that a peer replies in time even if the store is
slow, and is not considered unreachable."""

MIN_PEER_TIMEOUT_S = 0.05
BEGIN_TIMEOUT_S = 0.15
MAX_OWNERS_TRIED = 2
UNREACHABLE_RETRY_S = 5.0
"""Time for which an unreachable peer is sent no further requests."""


class Ledger:
    """Sends records to the owner of their bucket, and writes those of own buckets.

    The owner is the instance that ranks first for the bucket, of those that are live
    and not leaving. A single writer avoids conflicts but isn't required: an instance
    that can't reach the owner writes to the log itself, and the log orders the writes.
    """

    def __init__(self, settings, store, peers, membership, metrics, incarnation):
        self._instance = settings.instance
        self._writer_name = f"{settings.instance}/{incarnation}"
        self._store = store
        self._peers = peers
        self._membership = membership
        self._metrics = metrics
        self._writers = {}
        self._registry = RunRegistry()
        self._unreachable_until = {}
        peers.handlers[RecordRequest] = self._handle_record_request
        peers.handlers[BeginRequest] = self._handle_begin_request

    def record(self, record, timeout_s):
        """Return the result of one record, None if not known in time."""
        return self.record_all(get_bucket(record.key), (record,), timeout_s)[0]

    def record_all(self, bucket, records, timeout_s):
        """Return a sequence with the result of each record, None if not known in time.

        All records belong to *bucket*. While its owner replies, no other instance is
        tried, even if the owner is slow: a second writer would cause conflicts and
        delay both.
        """
        deadline = time.monotonic() + timeout_s
        for owner_name, owner in self._rank_owners(bucket):
            if owner_name == self._instance:
                break
            try:
                return self._request_results(owner, bucket, records, deadline)
            except PeerUnreachable:
                self._unreachable_until[owner_name] = (
                    time.monotonic() + UNREACHABLE_RETRY_S
                )
        remaining_s = max(0.0, deadline - time.monotonic())
        return tuple(self._get_writer(bucket).submit(records, remaining_s))

    def _request_results(self, member, bucket, records, deadline):
        """Send records to a peer until all have results or the deadline has passed.

        Sending again is safe, as a record is logged once. Raise
        :class:`PeerUnreachable` if the peer doesn't reply.
        """
        request = RecordRequest(bucket, tuple(records))
        while True:
            remaining_s = deadline - time.monotonic()
            timeout_s = min(max(remaining_s, MIN_PEER_TIMEOUT_S), PEER_TIMEOUT_S)
            reply = self._peers.request(member.address, request, timeout_s)
            settled = all(result is not None for result in reply.results)
            if settled or time.monotonic() >= deadline:
                return reply.results

    def register_run(self, key, digest, replace=False):
        """Return the owner's :class:`BeginReply` for an idempotent request.

        If *replace* is true, this instance becomes the holder in place of one that no
        longer has the answer. If the owner can't be reached, this instance is returned
        as the holder, as an idempotent request may run twice.
        """
        bucket = get_bucket(key)
        request = BeginRequest(bucket, key, digest, self._instance, replace)
        owners = self._rank_owners(bucket)
        if not owners or owners[0][0] == self._instance:
            return self._handle_begin_request(request)
        address = owners[0][1].address
        try:
            return self._peers.request(address, request, BEGIN_TIMEOUT_S)
        except PeerUnreachable:
            return BeginReply(self._instance, False)

    def is_unclaimed(self, key, timeout_s):
        """Return whether the ledger has no claim and no bill of *key*.

        Return False if that is not known in time.
        """
        result = self.record(Query(key), timeout_s)
        return result is not None and result.status is RecordStatus.FREE

    def _rank_owners(self, bucket):
        """Return (name, member) pairs of the bucket's owner and its substitutes."""
        now = time.monotonic()
        candidates = self._membership.list_staying(now)
        for name, until in self._unreachable_until.items():
            if now < until:
                candidates.pop(name, None)
        names = rank_names(f"bucket-{bucket}", candidates, MAX_OWNERS_TRIED)
        return [(name, candidates[name]) for name in names]

    def _get_writer(self, bucket):
        if bucket not in self._writers:
            self._writers[bucket] = BucketWriter(
                self._store, self._metrics, bucket, self._writer_name
            )
        return self._writers[bucket]

    def _handle_record_request(self, request):
        writer = self._get_writer(request.bucket)
        results = writer.submit(request.records, SUBMIT_TIMEOUT_S)
        return RecordReply(tuple(results))

    def _handle_begin_request(self, request):
        now = time.monotonic()
        register = (
            self._registry.replace if request.replace else self._registry.register
        )
        run = register(request.key, request.digest, request.holder, now)
        return BeginReply(run.holder, run.digest != request.digest)
