"""Client of the platform's store, which has an HTTP interface.

In its messages ``at`` is the store's index at the time of a reply, ``revision`` is
the modify index of an item, and a ``lease-id`` of 0 means no lease. ``after`` is the
last key of the previous page in a listing, and the last index seen in a watch.
``Store-Era`` is part of the indexes that this client returns.
"""

import base64
import logging
import urllib.parse
from dataclasses import dataclass

import msgspec

from .._errors import (
    ChangesExpired,
    ConnectFailed,
    ConnectionBroken,
    MalformedMessage,
    StoreConflict,
    StoreUnavailable,
)
from .._http import UpstreamConnection, call
from .._store import (
    Changes,
    Item,
    KeyValueStore,
    Listing,
    build_index,
    get_era,
    get_revision,
)

logger = logging.getLogger("merlinnotch")

ERA_FIELD = "store-era"
OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412

NO_LEASE = 0
MAX_REPLY_BYTES = 8 << 20
"""A page holds about 1 MB of values before Base64 encoding."""
CONNECT_TIMEOUT_S = 0.5
WATCH_GRACE_S = 0.5
"""Extra time for the reply of a watch after the requested wait. A reply takes 4 ms, one
of a slow store some 200 ms."""
MAX_IDLE_S = 10.0
"""Connections that have been idle for longer are not reused."""

JSON_CONTENT_TYPE = ("content-type", "application/json")


class _ItemRow(msgspec.Struct, rename="kebab"):
    key: str
    value: str = ""
    revision: int = 0
    lease_id: int = NO_LEASE
    deleted: bool = False


class _PageReply(msgspec.Struct, rename="kebab"):
    items: list[_ItemRow]
    at: int
    has_more: bool = False


class _ChangesReply(msgspec.Struct, rename="kebab"):
    events: list[_ItemRow]
    at: int


class _TransactionReply(msgspec.Struct, rename="kebab"):
    revision: int


class _ConflictReply(msgspec.Struct, rename="kebab"):
    items: list[_ItemRow] = []


class _LeaseReply(msgspec.Struct, rename="kebab"):
    lease_id: int
    ttl_ms: int = 0


@dataclass(frozen=True)
class PlatformLease:
    """The *number* of a lease, which may be given out again in a later *era*."""

    number: int
    era: int


class PlatformStore(KeyValueStore):
    """A client with a pool of connections.

    *address* is host:port. *timeout_s* limits the time until a reply begins, except for
    watches, whose limit depends on their wait, and pauses within a reply. *read_clock*
    returns monotonic seconds. *on_call* is called with the kind of each call, for
    metrics. A connection is closed after a failure, because the store sends nothing
    more on a connection whose reply was lost.

    Replies don't name their call. One that can't belong to it, by its fields, keys or
    revision, is rejected.

    The store's era rises each time it is restored from a copy, and with it all indexes.
    Replies of an earlier era are rejected. *on_restored* is called when the era
    rises; calls under way are then ended.
    """

    def __init__(self, address, read_clock, timeout_s, on_call=lambda kind: None):
        self.address = address
        self._read_clock = read_clock
        self._timeout_s = timeout_s
        self._on_call = on_call
        self.on_restored = lambda: None
        self._era = None
        self._idle_connections = []
        self._busy_connections = set()

    @property
    def era(self):
        """The highest era of the replies so far, 0 before the first."""
        return self._era or 0

    def advance_era(self, era):
        """Record that the store has reached *era*, which peers may know first."""
        if self._era is not None and era <= self._era:
            return
        is_restored = self._era is not None
        logger.info("store era changed", extra={"era": era, "previous": self._era})
        self._era = era
        if is_restored:
            self._end_calls()
            self.on_restored()

    def set_address(self, address):
        """Use another address for all further calls."""
        self.address = address
        self._close_idle()

    def read(self, prefix, recurse=False):
        if not recurse:
            return self._read_key(prefix)
        items = []
        after = None
        revision = None
        era = None
        while True:
            query = {"path-prefix": prefix}
            if after is not None:
                query["after"] = after
            reply = self._get("read", "/kv-range", query, _PageReply)
            if era not in (None, self.era):
                raise ChangesExpired("the store was restored between two pages")
            era = self.era
            self._check_keys(reply.items, prefix)
            # Items may change between two pages. A watch from the revision of the
            # first page reports those changes.
            revision = reply.at if revision is None else revision
            items.extend(self._build_item(row) for row in reply.items)
            if not reply.has_more or not reply.items:
                return Listing(tuple(items), build_index(era, revision))
            after = reply.items[-1].key

    def watch(self, prefix, index, wait_s, recurse=False):
        self.read_changes(prefix, index, wait_s)
        return self.read(prefix, recurse)

    def read_changes(self, prefix, index, wait_s):
        self._check_watch_era(index)
        query = {
            "path-prefix": prefix,
            "after": get_revision(index),
            "wait-ms": int(wait_s * 1000),
        }
        wait_s += WATCH_GRACE_S
        reply = self._get("watch", "/kv-watch", query, _ChangesReply, wait_s)
        self._check_watch_era(index)
        self._check_keys(reply.events, prefix)
        latest = {row.key: row for row in reply.events}
        written = tuple(self._build_item(r) for r in latest.values() if not r.deleted)
        deleted = tuple(row.key for row in latest.values() if row.deleted)
        return Changes(written, deleted, build_index(self.era, reply.at))

    def swap(self, key, value, modify_index):
        return self._write(key, value, NO_LEASE, modify_index)

    def put(self, key, value):
        return self._write(key, value, NO_LEASE, None)

    def delete(self, key, modify_index):
        body = {"expected": [], "puts": [], "remove": [key]}
        self._commit(body, key, modify_index)

    def open_lease(self, ttl_s, name):
        body = {"ttl-ms": int(ttl_s * 1000)}
        status, data = self._call("lease", "POST", "/kv-lease", body)
        _check_status(status, (OK,))
        return PlatformLease(self._decode(data, _LeaseReply).lease_id, self.era)

    def renew_lease(self, lease):
        self._check_lease_era(lease)
        status, _ = self._call("renewal", "POST", f"/kv-keep/{lease.number}")
        if status == NOT_FOUND:
            raise StoreConflict(f"lease {lease.number} has ended")
        _check_status(status, (OK,))
        self._check_lease_era(lease)

    def close_lease(self, lease):
        self._check_lease_era(lease)
        status, _ = self._call("lease", "DELETE", f"/kv-lease-end/{lease.number}")
        _check_status(status, (OK, NOT_FOUND))

    def acquire(self, key, value, lease):
        listing = self._read_key(key)
        item = listing.get(key)
        if item is not None and item.lease not in (None, lease.number):
            return False
        try:
            self._write(key, value, lease, item.modify_index if item else 0)
        except StoreConflict:
            return False
        return True

    def put_with_lease(self, key, value, lease):
        """Write *value* unconditionally; the key is deleted when *lease* ends."""
        return self._write(key, value, lease, None)

    def _read_key(self, key):
        query = {"key": key}
        status, data = self._call("read", "GET", "/kv-key", query=query)
        if status == NOT_FOUND:
            return Listing((), 0)
        _check_status(status, (OK,))
        row = self._decode(data, _ItemRow)
        self._check_key(row, key)
        item = self._build_item(row)
        return Listing((item,), item.modify_index)

    def _write(self, key, value, lease, modify_index):
        if lease != NO_LEASE:
            self._check_lease_era(lease)
        put = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease-id": lease if lease == NO_LEASE else lease.number,
        }
        body = {"expected": [], "puts": [put], "remove": []}
        return self._commit(body, key, modify_index)

    def _commit(self, body, key, modify_index):
        """Write *body* if *key* is unchanged since *modify_index*, None for any."""
        era = self._era
        if modify_index is not None:
            if modify_index and get_era(modify_index) != self.era:
                raise StoreConflict(f"{key}: the store was restored")
            row = {"key": key, "revision": get_revision(modify_index)}
            body["expected"].append(row)
        status, data = self._call("write", "POST", "/kv-txn", body)
        if status == PRECONDITION_FAILED:
            for row in self._decode(data, _ConflictReply).items:
                self._check_key(row, key)
        if status in (PRECONDITION_FAILED, NOT_FOUND):
            raise StoreConflict(key)
        _check_status(status, (OK,))
        if era not in (None, self._era):
            # The base may have been another write with the same revision.
            raise StoreConflict(f"{key}: the store was restored")
        revision = self._decode(data, _TransactionReply).revision
        if modify_index is not None and revision <= get_revision(modify_index):
            self._reject(f"reply has the old revision {revision}")
        return build_index(self.era, revision)

    def _check_watch_era(self, index):
        """Raise :class:`ChangesExpired` if the era of *index* has ended."""
        if index and get_era(index) != self.era:
            raise ChangesExpired("the store was restored")

    def _check_lease_era(self, lease):
        if lease.era != self.era:
            raise StoreConflict(f"lease {lease.number} is of an earlier era")

    def _build_item(self, row):
        try:
            value = base64.b64decode(row.value)
        except ValueError as error:
            raise StoreUnavailable(f"malformed value in reply: {error}") from error
        index = build_index(self.era, row.revision)
        return Item(row.key, value, index, row.lease_id or None)

    def _get(self, kind, path, query, reply_type, timeout_s=None):
        status, data = self._call(kind, "GET", path, None, query, timeout_s)
        if status == GONE:
            raise ChangesExpired(path)
        _check_status(status, (OK,))
        return self._decode(data, reply_type)

    def _call(self, kind, method, path, body=None, query=None, timeout_s=None):
        self._on_call(kind)
        if query:
            path += "?" + urllib.parse.urlencode(query)
        data = b"" if body is None else msgspec.json.encode(body)
        pairs = [("host", self.address), JSON_CONTENT_TYPE]
        deadline = self._read_clock() + (timeout_s or self._timeout_s)
        try:
            connection = self._get_connection()
        except ConnectFailed as error:
            raise StoreUnavailable(str(error)) from error
        self._busy_connections.add(connection)
        try:
            head, reply = call(
                connection,
                method,
                path,
                pairs,
                data,
                deadline,
                MAX_REPLY_BYTES,
                self._timeout_s,
            )
        except (ConnectionBroken, MalformedMessage) as error:
            connection.close()
            raise StoreUnavailable(str(error)) from error
        except BaseException:
            connection.close()
            raise
        finally:
            self._busy_connections.discard(connection)
        self._release_connection(connection)
        self._record_era(head.fields.get(ERA_FIELD))
        return head.status, reply

    def _record_era(self, text):
        """Record the era of a reply; raises :class:`StoreUnavailable` for an old one.

        A reply without a valid era belongs to the current one.
        """
        if text is None or not text.isdecimal():
            return
        era = int(text)
        if era < self.era:
            raise StoreUnavailable(f"reply of era {era}, the current one is {self.era}")
        self.advance_era(era)

    def _end_calls(self):
        """End the calls under way, which belong to the era before."""
        for connection in list(self._busy_connections):
            connection.abort()
        self._close_idle()

    def _decode(self, data, reply_type):
        try:
            return msgspec.json.decode(data, type=reply_type)
        except msgspec.MsgspecError as error:
            self._reject(f"malformed reply: {error}")

    def _check_key(self, row, key):
        if row.key != key:
            self._reject(f"reply is about the key {row.key}")

    def _check_keys(self, rows, prefix):
        for row in rows:
            if not row.key.startswith(prefix):
                self._reject(f"reply is about the key {row.key}")

    def _reject(self, reason):
        """Raise :class:`StoreUnavailable` for a reply that can't belong to its call.

        Its connection, one of the idle ones, may be a reply behind.
        """
        self._close_idle()
        raise StoreUnavailable(reason)

    def _close_idle(self):
        while self._idle_connections:
            self._idle_connections.pop().close()

    def _get_connection(self):
        now = self._read_clock()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if now - connection.idle_since < MAX_IDLE_S and connection.is_usable():
                return connection
            connection.close()
        return UpstreamConnection(self.address, self._read_clock, CONNECT_TIMEOUT_S)

    def _release_connection(self, connection):
        # The address may have changed during the call.
        is_outdated = connection.address != self.address
        if not is_outdated and connection.make_reusable(self._read_clock()):
            self._idle_connections.append(connection)
        else:
            connection.close()


def _check_status(status, accepted):
    if status not in accepted:
        raise StoreUnavailable(f"status {status}")
