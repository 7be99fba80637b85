"""Stand-in of the platform: key-value store and service catalog.

Implements the subset of Consul's key-value, session and health API that
merlinnotch uses. ``PUT /standin/switches`` changes its behaviour:

``down``         answer every call with 503
``hang``         accept and never answer
``slow_ms``      delay before every reply
``lose_replies`` number of writes to apply without a reply
``mute_watches`` never answer a watch that has to wait
``writes_per_s`` answer writes over this rate with 429
``list_lag_s``   time for which a new instance is listed as live
"""

from standins.server import HANG_S, Reply, change_switches, serve

import argparse
import base64
import itertools
import json
import time
from dataclasses import dataclass

import eventlet
from eventlet.event import Event

DEFAULT_WAIT_S = 10.0


@dataclass
class Switches:
    """Faults to simulate."""

    down: bool = False
    hang: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    mute_watches: bool = False
    writes_per_s: float = 0.0
    list_lag_s: float = 0.0


@dataclass
class Row:
    """Value of a key, with the id of the lease that holds it."""

    value: bytes
    modify_index: int
    session: str | None = None


@dataclass
class Lease:
    """Consul session, which locks keys until it expires."""

    name: str
    ttl_s: float
    expires_at: float


class Platform:
    """Request handler and state of the platform."""

    def __init__(self, rows):
        self.switches = Switches()
        self.rows = {}
        self.leases = {}
        self.index = 1
        self.calls = {"read": 0, "write": 0, "watch": 0, "list": 0}
        self.instances = rows
        self.registered_at = {row["id"]: time.monotonic() for row in rows}
        self._change_event = Event()
        self._lease_ids = itertools.count(1)
        self._rate_tokens = 0.0
        self._refilled_at = time.monotonic()
        eventlet.spawn(self._expire_leases)

    def handle(self, request):
        """Return the reply to *request*."""
        if request.path.startswith("/standin/"):
            return self._handle_control(request)
        switches = self.switches
        if switches.hang:
            eventlet.sleep(HANG_S)
        if switches.slow_ms:
            eventlet.sleep(switches.slow_ms / 1000)
        if switches.down:
            return Reply({"error": "down"}, 503)
        if request.path.startswith("/v1/health/service/"):
            return self._list_instances(request)
        if request.method != "GET" and self._is_over_rate():
            return Reply({"error": "rate"}, 429)
        if request.path.startswith("/v1/session/"):
            return self._maybe_drop_reply(self._handle_session(request))
        key = request.path.removeprefix("/v1/kv/")
        if request.method == "GET":
            return self._read_keys(key, request.query)
        return self._maybe_drop_reply(self._write_key(key, request))

    def _handle_control(self, request):
        if request.path == "/standin/switches":
            return change_switches(self.switches, request)
        if request.path == "/standin/upstreams":
            self.instances = request.json()
            for row in self.instances:
                self.registered_at.setdefault(row["id"], time.monotonic())
            return Reply(True)
        if request.path == "/standin/restore":
            return self._restore(request.json())
        if request.path == "/standin/dump":
            rows = {k: base64.b64encode(r.value).decode() for k, r in self.rows.items()}
            return Reply({"index": self.index, "rows": rows})
        return Reply({"calls": self.calls, "index": self.index, "keys": len(self.rows)})

    def _restore(self, dump):
        """Replace all keys by a dump, with new indexes, as a restored backup would."""
        self.index += 1
        self.rows = {
            key: Row(base64.b64decode(value), self.index)
            for key, value in dump["rows"].items()
        }
        self._notify()
        return Reply(True)

    def _is_over_rate(self):
        rate = self.switches.writes_per_s
        if not rate:
            return False
        now = time.monotonic()
        self._rate_tokens = min(
            rate, self._rate_tokens + (now - self._refilled_at) * rate
        )
        self._refilled_at = now
        if self._rate_tokens < 1:
            return True
        self._rate_tokens -= 1
        return False

    def _maybe_drop_reply(self, reply):
        if self.switches.lose_replies > 0:
            self.switches.lose_replies -= 1
            eventlet.sleep(HANG_S)
        return reply

    def _list_instances(self, request):
        self.calls["list"] += 1
        pool = request.path.rpartition("/")[2]
        lag = self.switches.list_lag_s
        now = time.monotonic()
        services = []
        for row in self.instances:
            if pool not in ("upstream", row["pool"]):
                continue
            if now - self.registered_at[row["id"]] < lag:
                row = {**row, "state": "live"}
            host, _, port = row["address"].partition(":")
            meta = {"zone": row["zone"], "state": row.get("state", "live")}
            service = {"ID": row["id"], "Service": row["pool"], "Address": host}
            services.append({"Service": {**service, "Port": int(port), "Meta": meta}})
        return Reply(services)

    def _read_keys(self, key, query):
        if "index" in query:
            self.calls["watch"] += 1
            self._wait_for_change(key, query)
        else:
            self.calls["read"] += 1
        recurse = "recurse" in query
        rows = [
            self._encode_row(name, row)
            for name, row in sorted(self.rows.items())
            if name == key or (recurse and name.startswith(key))
        ]
        headers = {"X-Consul-Index": str(self.index)}
        return Reply(rows, 200 if rows else 404, headers)

    def _wait_for_change(self, key, query):
        known_index = int(query["index"])
        wait = query.get("wait", f"{int(DEFAULT_WAIT_S * 1000)}ms")
        deadline = time.monotonic() + float(wait.removesuffix("ms")) / 1000
        while not self._has_changed_since(key, known_index):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return
            event = self._change_event
            with eventlet.Timeout(remaining_s, False):
                event.wait()
            if self.switches.mute_watches:
                eventlet.sleep(HANG_S)

    def _has_changed_since(self, prefix, known_index):
        if known_index > self.index:
            return True
        return any(
            row.modify_index > known_index
            for name, row in self.rows.items()
            if name.startswith(prefix)
        )

    def _encode_row(self, name, row):
        value = base64.b64encode(row.value).decode()
        encoded = {"Key": name, "Value": value, "ModifyIndex": row.modify_index}
        if row.session:
            encoded["Session"] = row.session
        return encoded

    def _write_key(self, key, request):
        self.calls["write"] += 1
        row = self.rows.get(key)
        query = request.query
        modify_index = row.modify_index if row else 0
        if int(query.get("cas", modify_index)) != modify_index:
            return Reply(False)
        if "acquire" in query:
            lease = self.leases.get(query["acquire"])
            if lease is None or (row and row.session not in (None, query["acquire"])):
                return Reply(False)
        self.index += 1
        if request.method == "DELETE":
            self.rows.pop(key, None)
        else:
            session = query.get("acquire") or (row.session if row else None)
            self.rows[key] = Row(request.body, self.index, session)
        self._notify()
        return Reply(True)

    def _handle_session(self, request):
        self.calls["write"] += 1
        action, _, lease_id = request.path.removeprefix("/v1/session/").partition("/")
        if action == "create":
            body = request.json()
            ttl_s = float(body["TTL"].removesuffix("s"))
            lease_id = f"lease-{next(self._lease_ids)}"
            expires_at = time.monotonic() + ttl_s
            self.leases[lease_id] = Lease(body["Name"], ttl_s, expires_at)
            return Reply({"ID": lease_id})
        lease = self.leases.get(lease_id)
        if action == "renew":
            if lease is None:
                return Reply(None, 404)
            lease.expires_at = time.monotonic() + lease.ttl_s
            return Reply([{"ID": lease_id}])
        self._end_lease(lease_id)
        return Reply(True)

    def _expire_leases(self):
        while True:
            eventlet.sleep(0.1)
            now = time.monotonic()
            for lease_id, lease in list(self.leases.items()):
                if lease.expires_at < now:
                    self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        for row in self.rows.values():
            if row.session == lease_id:
                self.index += 1
                row.session = None
                row.modify_index = self.index
        self._notify()

    def _notify(self):
        event, self._change_event = self._change_event, Event()
        event.send(True)


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--upstreams", default="[]", help="JSON list of instances")
    options = parser.parse_args()
    platform = Platform(json.loads(options.upstreams))
    serve(options.address, platform.handle)


if __name__ == "__main__":
    main()
