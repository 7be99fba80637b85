"""Reaching the ledger from any instance."""

import time

from .._ledger import ClaimStatus, Query, bucket_of
from .._links.link import PeerUnreachable
from .._peers import BeginReply, BeginRequest, RecordReply, RecordRequest, rank
from .registry import RunRegistry
from .writer import BucketWriter

PEER_TIMEOUT_S = 1.0
SUBMIT_TIMEOUT_S = 0.6
"""Less than a peer's patience, so that a slow store is no dead owner."""

MIN_ASK_S = 0.05
BEGIN_TIMEOUT_S = 0.15
OWNERS_TRIED = 2
AVOID_S = 5.0
"""How long a peer that gave no reply is passed over."""


class Ledger:
    """Sends records to the instance that should write their bucket.

    That is the one that ranks first for the bucket among live instances. It
    is a matter of speed only: whoever can't reach it writes itself, and the
    log sorts out who came first.
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
        self._avoid_until = {}
        peers.handlers[RecordRequest] = self._answer_records
        peers.handlers[BeginRequest] = self._answer_begin

    def record(self, record, timeout_s):
        """Return the verdict of one record, or None if it isn't known in time."""
        return self.record_all(bucket_of(record.key), (record,), timeout_s)[0]

    def record_all(self, bucket, records, timeout_s):
        """Return the verdicts of records of one bucket, None where unknown.

        Whoever is reached is asked until the time is up: a second writer,
        only because the first is slow, would make both slower.
        """
        deadline = time.monotonic() + timeout_s
        for name, member in self._rank_owners(bucket):
            if name == self._instance:
                break
            try:
                return self._ask(member, bucket, records, deadline)
            except PeerUnreachable:
                self._avoid_until[name] = time.monotonic() + AVOID_S
        left = max(0.0, deadline - time.monotonic())
        return tuple(self._get_writer(bucket).submit(records, left))

    def _ask(self, member, bucket, records, deadline):
        """Ask a peer until all records have verdicts or the time is up.

        Asking again is harmless: a record that is logged already gets the
        verdict that it got.
        """
        request = RecordRequest(bucket, tuple(records))
        while True:
            left = deadline - time.monotonic()
            timeout_s = min(max(left, MIN_ASK_S), PEER_TIMEOUT_S)
            reply = self._peers.request(member.address, request, timeout_s)
            settled = all(verdict is not None for verdict in reply.verdicts)
            if settled or time.monotonic() >= deadline:
                return reply.verdicts

    def begin(self, key, digest, replace=False):
        """Return the :class:`BeginReply` for an idempotent request.

        With *replace* we become the holder, in place of one that no longer
        has the answer. Where the owner can't be asked in time, the request
        may as well run.
        """
        bucket = bucket_of(key)
        request = BeginRequest(bucket, key, digest, self._instance, replace)
        owners = self._rank_owners(bucket)
        if not owners or owners[0][0] == self._instance:
            return self._answer_begin(request)
        address = owners[0][1].address
        try:
            return self._peers.request(address, request, BEGIN_TIMEOUT_S)
        except PeerUnreachable:
            return BeginReply(self._instance, False)

    def was_never_run(self, key, timeout_s):
        """Return whether the ledger shows that nothing has claimed *key*."""
        verdict = self.record(Query(key), timeout_s)
        return verdict is not None and verdict.status is ClaimStatus.FREE

    def _rank_owners(self, bucket):
        """Return the (name, member) pairs to ask, best first."""
        now = time.monotonic()
        staying = self._membership.list_staying(now)
        for name, until in self._avoid_until.items():
            if now < until:
                staying.pop(name, None)
        names = rank(f"bucket-{bucket}", staying, OWNERS_TRIED)
        return [(name, staying[name]) for name in names]

    def _get_writer(self, bucket):
        if bucket not in self._writers:
            self._writers[bucket] = BucketWriter(
                self._store, self._metrics, bucket, self._writer_name
            )
        return self._writers[bucket]

    def _answer_records(self, request):
        writer = self._get_writer(request.bucket)
        verdicts = writer.submit(request.records, SUBMIT_TIMEOUT_S)
        return RecordReply(tuple(verdicts))

    def _answer_begin(self, request):
        now = time.monotonic()
        begin = self._registry.replace if request.replace else self._registry.begin
        run = begin(request.key, request.digest, request.holder, now)
        return BeginReply(run.holder, run.digest != request.digest)
