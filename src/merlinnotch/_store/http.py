"""Client of a key-value store with Consul's HTTP API.

Compare-and-swap uses ``cas``, leases are sessions and watches are blocking queries.
"""

import base64
import itertools
import json
import urllib.parse

import urllib3

from .._errors import StoreConflict, StoreUnavailable
from .._pooled_http import make_pool_manager, send_call
from .base import KeyValueStore
from .item import Changes, Item, Listing

HTTP_OK = 200
HTTP_NOT_FOUND = 404
INDEX_HEADER = "X-Consul-Index"
WATCH_GRACE_S = 2.0
MAX_REPLY_BYTES = 64 << 20
"""A listing holds all values of a prefix, each of up to a megabyte."""


class HttpStore(KeyValueStore):
    """A client that uses one of several addresses.

    *addresses* are host:port strings; after a failure further calls use the next one.
    *timeout_s* limits each call except watches, whose limit depends on their wait.
    The connection of a timed-out call is closed, because a late reply could be taken
    for that of another call. A reply that can't be the answer to its call counts as an
    unavailable store, and all idle connections are closed. *on_call* is called with the
    kind of each call, for metrics. *source_ip* is the local address of connections.
    """

    def __init__(self, addresses, timeout_s=1.0, on_call=None, source_ip=None):
        self._timeout_s = timeout_s
        self._on_call = on_call or (lambda kind: None)
        self._addresses = itertools.cycle(addresses)
        self._address = next(self._addresses)
        source_address = (source_ip, 0) if source_ip else None
        self._http = make_pool_manager(
            maxsize=64, retries=False, source_address=source_address
        )

    def read(self, prefix, recurse=False):
        self._on_call("read")
        return self._read_listing(prefix, recurse, {}, self._timeout_s)

    def watch(self, prefix, index, wait_s, recurse=False):
        self._on_call("watch")
        query = {"index": index, "wait": f"{int(wait_s * 1000)}ms"}
        return self._read_listing(prefix, recurse, query, wait_s + WATCH_GRACE_S)

    def read_changes(self, prefix, index, wait_s):
        """Return the changes without deletions, which the store does not report."""
        listing = self.watch(prefix, index, wait_s, recurse=True)
        written = tuple(i for i in listing.items if i.modify_index > index)
        return Changes(written, (), listing.index)

    def swap(self, key, value, modify_index):
        self._on_call("write")
        path = f"/v1/kv/{urllib.parse.quote(key)}?cas={modify_index}"
        if not self._write("PUT", path, value):
            raise StoreConflict(key)

    def put(self, key, value):
        self._on_call("write")
        if not self._write("PUT", f"/v1/kv/{urllib.parse.quote(key)}", value):
            raise self._reject("unconditional write was refused")

    def delete(self, key, modify_index):
        self._on_call("write")
        path = f"/v1/kv/{urllib.parse.quote(key)}?cas={modify_index}"
        if not self._write("DELETE", path):
            raise StoreConflict(key)

    def open_lease(self, ttl_s, name):
        self._on_call("write")
        body = {"Name": name, "TTL": f"{int(ttl_s)}s", "LockDelay": "0s"}
        reply = self._call("PUT", "/v1/session/create", json.dumps(body).encode())
        if not isinstance(reply, dict) or "ID" not in reply:
            raise self._reject("reply to a new lease names none")
        return reply["ID"]

    def renew_lease(self, lease):
        self._on_call("write")
        rows = self._call("PUT", f"/v1/session/renew/{lease}")
        if not rows:
            raise StoreConflict(lease)
        if not _names_lease(rows, lease):
            raise self._reject("reply to a renewal names another lease")

    def close_lease(self, lease):
        self._on_call("write")
        self._call("PUT", f"/v1/session/destroy/{lease}")

    def acquire(self, key, value, lease):
        self._on_call("write")
        path = f"/v1/kv/{urllib.parse.quote(key)}?acquire={lease}"
        return self._write("PUT", path, value)

    def _read_listing(self, prefix, recurse, query, timeout_s):
        if recurse:
            query["recurse"] = "true"
        path = f"/v1/kv/{urllib.parse.quote(prefix)}?{urllib.parse.urlencode(query)}"
        reply = self._send("GET", path, None, timeout_s)
        if reply.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise StoreUnavailable(f"status {reply.status}")
        index = reply.headers.get(INDEX_HEADER)
        if index is None:
            # The store also sends it with "no such key"; another server doesn't.
            raise self._reject("listing without an index")
        rows = _decode(reply.data) if reply.status == HTTP_OK else []
        if not _are_rows(rows, prefix, recurse):
            raise self._reject("listing of something else")
        items = tuple(_parse_item(row) for row in rows)
        return Listing(items, int(index))

    def _write(self, method, path, body=None):
        """Return whether a write of a key took effect."""
        is_written = self._call(method, path, body)
        if not isinstance(is_written, bool):
            raise self._reject("reply to a write is not a boolean")
        return is_written

    def _reject(self, detail):
        """Return the error for a reply that belongs to another call.

        The connection may be out of step, and with it the later replies.
        """
        self._http.clear()
        self._address = next(self._addresses)
        return StoreUnavailable(detail)

    def _call(self, method, path, body=None):
        reply = self._send(method, path, body, self._timeout_s)
        if reply.status == HTTP_NOT_FOUND:
            return None
        if reply.status != HTTP_OK:
            raise StoreUnavailable(f"status {reply.status}")
        return _decode(reply.data)

    def _send(self, method, path, body, timeout_s):
        try:
            url = f"http://{self._address}{path}"
            return send_call(self._http, method, url, timeout_s, MAX_REPLY_BYTES, body)
        except urllib3.exceptions.HTTPError as error:
            self._address = next(self._addresses)
            raise StoreUnavailable(str(error)) from error


def _decode(data):
    try:
        return json.loads(data)
    except ValueError as error:
        # A truncated reply without a length reads like a complete one.
        raise StoreUnavailable(f"malformed reply: {error}") from error


def _are_rows(rows, prefix, recurse):
    """Return whether *rows* can be the listing of *prefix*."""
    if not isinstance(rows, list):
        return False
    keys = [row.get("Key") if isinstance(row, dict) else None for row in rows]
    if recurse:
        return all(key is not None and key.startswith(prefix) for key in keys)
    return all(key == prefix for key in keys)


def _names_lease(rows, lease):
    """Return whether *rows* are those of the renewed *lease*."""
    if not isinstance(rows, list):
        return False
    return all(isinstance(row, dict) and row.get("ID") == lease for row in rows)


def _parse_item(row):
    value = base64.b64decode(row["Value"] or "")
    return Item(row["Key"], value, row["ModifyIndex"], row.get("Session"))
