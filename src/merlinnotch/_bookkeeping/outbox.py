"""Delivery of bills and releases to the ledger."""

import time
from collections import OrderedDict

import eventlet
from eventlet.event import Event

from .._daemon.task import Task
from .._errors import ErrorKind, RequestRefused
from .._ledger import Bill, RecordStatus, get_bucket
from .._links.link import PeerUnreachable
from .._peers import DeleteBillCopies, StoreBillCopies

MAX_UNPOSTED_RECORDS = 50_000
COPY_TIMEOUT_S = 0.25
POST_TIMEOUT_S = 3.0
POST_BATCH_SIZE = 128
RELEASE_RETRY_S = 60.0
"""Time for which a release is sent again, as its claim may reach the log late."""


class Outbox(Task):
    """Keeps records and sends them to the ledger until it has logged them.

    A peer, in another zone if possible, holds a copy of each bill before the answer
    ends. It sends the copies to the ledger itself if this instance fails or restarts.
    The ledger counts each bill once, even if both send it.
    """

    interval_s = 0.5

    def __init__(self, settings, ledger, peers, membership, metrics, incarnation):
        super().__init__()
        self._instance = settings.instance
        self._incarnation = incarnation
        self._ledger = ledger
        self._peers = peers
        self._membership = membership
        self._metrics = metrics
        self._unposted = OrderedDict()
        self._copy_holders = {}
        self._peer_bills = {}
        self._uncopied = []
        self._is_copying = False
        self._posting_buckets = set()
        peers.handlers[StoreBillCopies] = self._handle_store_bill_copies
        peers.handlers[DeleteBillCopies] = self._handle_delete_bill_copies

    def __len__(self):
        return len(self._unposted)

    def check_capacity(self):
        """Raise :class:`RequestRefused` if the limit of unposted records is reached."""
        if len(self._unposted) >= MAX_UNPOSTED_RECORDS:
            raise RequestRefused(
                ErrorKind.LEDGER_UNAVAILABLE, "too many bills are unposted"
            )

    def add_bill(self, bill):
        """Queue *bill*, and return once a peer has a copy or the copy has failed."""
        self._unposted[bill.key, Bill] = bill
        self._metrics.bills.labels("made").inc()
        copied = Event()
        self._uncopied.append((bill, copied))
        if not self._is_copying:
            self._is_copying = True
            eventlet.spawn(self._send_copies)
        copied.wait()

    def add_release(self, release):
        """Queue *release* until it is logged, at most for :data:`RELEASE_RETRY_S`."""
        self._unposted[release.key, release.attempt] = release

    def run_once(self):
        self._adopt_orphaned_bills()
        self._metrics.unposted_bills.set(len(self._unposted))
        records_by_bucket = {}
        for record in self._unposted.values():
            records_by_bucket.setdefault(get_bucket(record.key), []).append(record)
        for bucket, records in records_by_bucket.items():
            if bucket not in self._posting_buckets:
                self._posting_buckets.add(bucket)
                eventlet.spawn(self._post_records, bucket, records[:POST_BATCH_SIZE])

    def _send_copies(self):
        """Send copies of all waiting bills in one message, until none is left."""
        try:
            while self._uncopied:
                waiting, self._uncopied = self._uncopied, []
                self._send_copy_batch(tuple(bill for bill, _ in waiting))
                for _, copied in waiting:
                    copied.send(True)
        finally:
            self._is_copying = False

    def _send_copy_batch(self, bills):
        holder = self._membership.pick_copy_holder(time.monotonic())
        message = StoreBillCopies(self._instance, self._incarnation, bills)
        try:
            if holder is not None:
                address = holder[1].address
                self._peers.request(address, message, COPY_TIMEOUT_S)
                for bill in bills:
                    self._copy_holders[bill.key] = address
                self._metrics.bills.labels("copied").inc(len(bills))
                return
        except PeerUnreachable:
            pass
        self._metrics.bills.labels("uncopied").inc(len(bills))

    def _post_records(self, bucket, records):
        try:
            results = self._ledger.record_all(bucket, records, POST_TIMEOUT_S)
            settled = [
                record
                for record, result in zip(records, results, strict=True)
                if _is_settled(record, result, time.time())
            ]
            self._remove_settled(settled)
        finally:
            self._posting_buckets.discard(bucket)

    def _remove_settled(self, records):
        keys_by_address = {}
        for record in records:
            if isinstance(record, Bill):
                self._unposted.pop((record.key, Bill), None)
                self._metrics.bills.labels("posted").inc()
                holder = self._copy_holders.pop(record.key, None)
                if holder:
                    keys_by_address.setdefault(holder, []).append(record.key)
            else:
                self._unposted.pop((record.key, record.attempt), None)
        for address, keys in keys_by_address.items():
            eventlet.spawn(self._send_drop_copies, address, tuple(keys))

    def _send_drop_copies(self, address, keys):
        try:
            self._peers.request(address, DeleteBillCopies(keys), COPY_TIMEOUT_S)
        except PeerUnreachable:
            return

    def _handle_store_bill_copies(self, message):
        owner = (message.instance, message.incarnation)
        for bill in message.bills:
            self._peer_bills[bill.key] = (owner, bill)
        return DeleteBillCopies(())

    def _handle_delete_bill_copies(self, message):
        for key in message.keys:
            self._peer_bills.pop(key, None)
        return DeleteBillCopies(())

    def _adopt_orphaned_bills(self):
        """Queue the bills of instances that have failed or restarted."""
        now = time.monotonic()
        for key, ((instance, incarnation), bill) in list(self._peer_bills.items()):
            member = self._membership.get(instance)
            restarted = member is not None and member.incarnation != incarnation
            if restarted or not self._membership.is_live(instance, now):
                del self._peer_bills[key]
                self._unposted[key, Bill] = bill
                self._metrics.bills.labels("adopted").inc()


def _is_settled(record, result, now):
    if result is None:
        return False
    if isinstance(record, Bill) or result.status is RecordStatus.RECORDED:
        return True
    return now - record.released_at > RELEASE_RETRY_S
