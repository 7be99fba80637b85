"""Bills and releases on their way into the ledger."""

import time
from collections import OrderedDict

import eventlet
from eventlet.event import Event

from .._daemon.task import Task
from .._errors import ErrorKind, RequestRefused
from .._ledger import Bill, ClaimStatus, bucket_of
from .._links.link import PeerUnreachable
from .._peers import DropCopies, KeepCopies

MAX_UNPOSTED = 50_000
COPY_TIMEOUT_S = 0.25
POST_TIMEOUT_S = 3.0
POST_BATCH = 128
RELEASE_FOR_S = 60.0
"""How long a release is offered: the claim itself may reach the log late."""


class Outbox(Task):
    """Holds records until the ledger has them.

    Before an answer ends, a peer, in another zone where there is one, holds a
    copy of its bill. A peer that held copies for an instance that is gone
    posts them itself; the ledger takes each bill once, whoever posts it.
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
        self._holders = {}
        self._copies = {}
        self._uncopied = []
        self._copying = False
        self._posting = set()
        peers.handlers[KeepCopies] = self._keep_copies
        peers.handlers[DropCopies] = self._drop_copies

    def __len__(self):
        return len(self._unposted)

    def check_room(self):
        """Raise :class:`RequestRefused` when no more bills can be held."""
        if len(self._unposted) >= MAX_UNPOSTED:
            raise RequestRefused(
                ErrorKind.LEDGER_UNAVAILABLE, "too many bills are unposted"
            )

    def add_bill(self, bill):
        """Hold *bill*, and return once a peer has a copy or none can be had."""
        self._unposted[bill.key, Bill] = bill
        self._metrics.bills.labels("made").inc()
        copied = Event()
        self._uncopied.append((bill, copied))
        if not self._copying:
            self._copying = True
            eventlet.spawn(self._copy)
        copied.wait()

    def add_release(self, release):
        """Hold *release* until it is logged."""
        self._unposted[release.key, release.attempt] = release

    def run_once(self):
        self._adopt_orphans()
        self._metrics.unposted.set(len(self._unposted))
        by_bucket = {}
        for record in self._unposted.values():
            by_bucket.setdefault(bucket_of(record.key), []).append(record)
        for bucket, records in by_bucket.items():
            if bucket not in self._posting:
                self._posting.add(bucket)
                eventlet.spawn(self._post, bucket, records[:POST_BATCH])

    def _copy(self):
        """Send copies while there are bills, all that wait in one message."""
        try:
            while self._uncopied:
                waiting, self._uncopied = self._uncopied, []
                self._copy_batch(tuple(bill for bill, _ in waiting))
                for _, copied in waiting:
                    copied.send(True)
        finally:
            self._copying = False

    def _copy_batch(self, bills):
        holder = self._membership.pick_copy_holder(time.monotonic())
        message = KeepCopies(self._instance, self._incarnation, bills)
        try:
            if holder is not None:
                address = holder[1].address
                self._peers.request(address, message, COPY_TIMEOUT_S)
                for bill in bills:
                    self._holders[bill.key] = address
                self._metrics.bills.labels("copied").inc(len(bills))
                return
        except PeerUnreachable:
            pass
        self._metrics.bills.labels("uncopied").inc(len(bills))

    def _post(self, bucket, records):
        try:
            verdicts = self._ledger.record_all(bucket, records, POST_TIMEOUT_S)
            logged = [
                record
                for record, verdict in zip(records, verdicts, strict=True)
                if _is_settled(record, verdict, time.time())
            ]
            self._forget(logged)
        finally:
            self._posting.discard(bucket)

    def _forget(self, records):
        by_holder = {}
        for record in records:
            if isinstance(record, Bill):
                self._unposted.pop((record.key, Bill), None)
                self._metrics.bills.labels("posted").inc()
                holder = self._holders.pop(record.key, None)
                if holder:
                    by_holder.setdefault(holder, []).append(record.key)
            else:
                self._unposted.pop((record.key, record.attempt), None)
        for address, keys in by_holder.items():
            eventlet.spawn(self._send_drop, address, tuple(keys))

    def _send_drop(self, address, keys):
        try:
            self._peers.request(address, DropCopies(keys), COPY_TIMEOUT_S)
        except PeerUnreachable:
            return

    def _keep_copies(self, message):
        owner = (message.instance, message.incarnation)
        for bill in message.bills:
            self._copies[bill.key] = (owner, bill)
        return DropCopies(())

    def _drop_copies(self, message):
        for key in message.keys:
            self._copies.pop(key, None)
        return DropCopies(())

    def _adopt_orphans(self):
        """Post the bills of instances that are gone, or were replaced."""
        now = time.monotonic()
        for key, ((instance, incarnation), bill) in list(self._copies.items()):
            member = self._membership.get(instance)
            replaced = member is not None and member.incarnation != incarnation
            if replaced or not self._membership.is_live(instance, now):
                del self._copies[key]
                self._unposted[key, Bill] = bill
                self._metrics.bills.labels("adopted").inc()


def _is_settled(record, verdict, now):
    if verdict is None:
        return False
    if isinstance(record, Bill) or verdict.status is ClaimStatus.RECORDED:
        return True
    return now - record.at > RELEASE_FOR_S
