"""Stand-in of the platform's store, with its protocol and failure modes."""

import base64
import copy
import json
import urllib.parse
from dataclasses import dataclass

import eventlet

from merlinnotch._entry.clock import read_clock
from merlinnotch._http import HttpServer

PAGE_SIZE = 500


@dataclass(frozen=True)
class StoreCopy:
    """What a store held when the copy was taken."""

    items: dict
    revision: int
    leases: dict


class StandInStore:
    """In-process store server on a free port of 127.0.0.1.

    *status* answers every call with that status. *is_unresponsive* leaves all calls
    unanswered. *dropped_replies* is the number of writes to apply without an answer.
    *era* is in all answers and rises when the store comes back from a copy. Watches
    that wait at that time are ended, unless *holds_watches*. *before_call* is called
    with the path and the query of each call.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.revision = 0
        self.era = 1
        self.leases = {}
        self.calls = []
        self.status = None
        self.is_unresponsive = False
        self.dropped_replies = 0
        self.holds_watches = False
        self.before_call = lambda path, query: None
        self._server = HttpServer("127.0.0.1:0", self._respond, read_clock)
        self.address = self._server.address

    def close(self):
        """Stop listening."""
        self._server.close()

    def put(self, key, value, lease=0):
        """Write *value*, bytes or an object to encode as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease-id": lease,
        }
        self.items[key] = row
        self.history.append(row)

    def delete(self, key):
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def read(self, key):
        """Return the value of *key* as bytes, or None if it is missing."""
        row = self.items.get(key)
        return None if row is None else base64.b64decode(row["value"])

    def compact(self):
        """Drop all earlier changes; a watch from before them is answered with 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def take_copy(self):
        """Return a :class:`StoreCopy` for :meth:`restore`."""
        return StoreCopy(copy.deepcopy(self.items), self.revision, dict(self.leases))

    def restore(self, store_copy):
        """Come back from a copy: all that was written since is lost."""
        self.items = copy.deepcopy(store_copy.items)
        self.revision = self.compacted_revision = store_copy.revision
        self.leases = dict(store_copy.leases)
        self.history = []
        self.era += 1

    def _respond(self, request):
        path, _, query_string = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_string, keep_blank_values=True))
        self.calls.append((request.method, path))
        self.before_call(path, query)
        while self.is_unresponsive:
            eventlet.sleep(0.02)
        if self.status is not None:
            return self.status, self._list_fields(), b""
        handler_name = path.strip("/").partition("/")[0].replace("-", "_")
        status, body = getattr(self, f"_{handler_name}")(path, query, request.body)
        if self.dropped_replies and request.method == "POST":
            self.dropped_replies -= 1
            while True:
                eventlet.sleep(1)
        return status, self._list_fields(), json.dumps(body).encode()

    def _list_fields(self):
        return [("content-type", "application/json"), ("store-era", str(self.era))]

    def _kv_key(self, path, query, body):
        row = self.items.get(query["key"])
        if row is None:
            return 404, {"at": self.revision}
        return 200, row | {"at": self.revision}

    def _kv_range(self, path, query, body):
        keys = sorted(k for k in self.items if k.startswith(query["path-prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        rows = [self.items[key] for key in keys[:PAGE_SIZE]]
        return 200, {
            "items": rows,
            "has-more": len(keys) > PAGE_SIZE,
            "at": self.revision,
        }

    def _kv_watch(self, path, query, body):
        after = int(query["after"])
        deadline = read_clock() + int(query["wait-ms"]) / 1000
        era = self.era
        while True:
            while self.holds_watches:
                eventlet.sleep(0.01)
            if self.era != era or not self.compacted_revision <= after <= self.revision:
                return 410, {}
            events = [
                row
                for row in self.history
                if row["revision"] > after
                and row["key"].startswith(query["path-prefix"])
            ]
            if (
                events
                or read_clock() >= deadline
                or self.status
                or self.is_unresponsive
            ):
                return 200, {"events": events, "at": self.revision}
            eventlet.sleep(0.01)

    def _kv_txn(self, path, query, body):
        change = json.loads(body)
        conflicts = []
        for row in change["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                conflicts.append(item or {"key": row["key"], "revision": 0})
        if conflicts:
            return 412, {"items": conflicts}
        for row in change["puts"]:
            if row.get("lease-id") and row["lease-id"] not in self.leases:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), row["lease-id"])
        for key in change["remove"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    def _kv_lease(self, path, query, body):
        lease = len(self.leases) + 1000
        ttl_ms = json.loads(body)["ttl-ms"]
        self.leases[lease] = ttl_ms
        return 200, {"lease-id": lease, "ttl-ms": ttl_ms}

    def _kv_keep(self, path, query, body):
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        return 200, {"ttl-ms": self.leases[lease]}

    def _kv_lease_end(self, path, query, body):
        self.revoke_lease(int(path.rpartition("/")[2]))
        return 200, {}

    def revoke_lease(self, lease):
        """Remove a lease and all keys attached to it."""
        self.leases.pop(lease, None)
        for key in [k for k, row in self.items.items() if row["lease-id"] == lease]:
            self.delete(key)
