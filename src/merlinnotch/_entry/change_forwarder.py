"""Forwarding of store changes within an availability zone."""

import math
from dataclasses import dataclass

import eventlet
import eventlet.queue

from .._rendezvous_hashing import rank_names
from .._store import Changes, Item
from .datagrams import MessageKind

WATCHERS_PER_ZONE = 2
"""Instances per zone that watch the store, so that one can fail without a gap. Each
watch is a billed call, and each change completes all of them."""
STORE_CALL_ALLOWANCE_S = 0.7
"""Part of the time limit for applying changes that is reserved for a store call once
the watchers are silent."""
SILENCE_ALLOWANCE_S = 0.8
"""Part of the time limit that is left after the watch of an instance without watchers:
the silence of a store shows 0.5 s later, and a peer may take 0.3 s to connect to."""
WATCH_MARGIN_S = 0.3
"""A watcher's call returns this long before the others would watch the store."""
MAX_QUEUED = 64
"""Limit of queued messages; the changes of dropped ones are fetched together."""


@dataclass(frozen=True)
class ForwardedChanges:
    """Changes that a watcher got from the store.

    *changes* are all changes after index *since*, None if they don't fit a message.
    *index* is the watcher's index after them, *sender* its address. *since_recovery_s*
    is the time since the store recovered from an outage, None without a recent one:
    deletions shortly after an outage may be expired leases. *received_at* is the
    earliest time at which the message may have arrived.
    """

    sender: str
    since: int
    index: int
    changes: Changes | None
    since_recovery_s: float | None
    received_at: float


class ChangeForwarder:
    """Selects the watchers of a zone and forwards changes from them.

    Instances that know the same peers select the same watchers, without an election. An
    instance that receives nothing in time watches the store itself. *in_force_s* is the
    time limit for applying changes, *stalls* a :class:`StallMonitor`. *validity_s* is
    how long a state may go unconfirmed until the store has to be read.
    """

    def __init__(
        self, transport, name, zone, address, view, read_clock, in_force_s, stalls
    ):
        self._transport = transport
        self._name = name
        self._zone = zone
        self._address = address
        self._view = view
        self._read_clock = read_clock
        self.in_force_s = in_force_s
        self._stalls = stalls
        self.validity_s = in_force_s - STORE_CALL_ALLOWANCE_S
        self._stalled_before_s = 0.0
        self._valid_from = -math.inf
        self._queue = eventlet.queue.LightQueue(MAX_QUEUED)
        transport.handle(MessageKind.STORE_CHANGES, self._handle_changes)
        # Sent by earlier releases, whose indexes have no era.
        transport.handle(MessageKind.CHANGES, lambda body: None)

    def is_watcher(self):
        """Return whether this instance watches the store for its zone."""
        names = {p.name for p in self._list_zone_peers()} | {self._name}
        return self._name in rank_names(self._zone, names, WATCHERS_PER_ZONE)

    def limit_watch_time(self, watch_s):
        """Return *watch_s*, limited to the time for which the others wait.

        If none do, it is limited to what is in time for this instance.
        """
        if not self._list_recipients():
            return min(watch_s, self.in_force_s - SILENCE_ALLOWANCE_S)
        return min(watch_s, self.validity_s - WATCH_MARGIN_S)

    def get_remaining_validity_s(self, now):
        """Return for how many more seconds applied messages replace a watch."""
        if self.is_watcher():
            return 0.0
        return max(0.0, self._valid_from + self.validity_s - now)

    def begin_read(self):
        """Record that a call to the store begins whose reply may be forwarded."""
        self._stalled_before_s = self._stalls.measure_total_s(self._read_clock())

    def forward(self, since, index, changes, since_recovery_s):
        """Forward a reply of the store if this instance is a watcher.

        A reply that was read after a stall may be old and is not forwarded, as it would
        keep the others from the store. The next one includes its changes.
        """
        stalled_s = self._stalls.measure_total_s(self._read_clock())
        recipients = self._list_recipients()
        if not recipients or stalled_s > self._stalled_before_s:
            return
        rows = None if changes is None else _encode_changes(changes)
        for body_rows in (rows, None):
            body = [self._address, since, index, body_rows, since_recovery_s]
            if self._transport.send(MessageKind.STORE_CHANGES, body, recipients):
                return

    def wait(self, wait_s):
        """Return the next :class:`ForwardedChanges`, or None after *wait_s*."""
        try:
            return self._queue.get(block=wait_s > 0, timeout=wait_s)
        except eventlet.queue.Empty:
            return None

    def record_applied(self, forwarded):
        """Record that this instance is up to date with a :class:`ForwardedChanges`."""
        self._valid_from = max(self._valid_from, forwarded.received_at)

    def record_missed(self):
        """Record that this instance lacks changes that a watcher forwarded."""
        self._valid_from = -math.inf

    def _handle_changes(self, body):
        sender, since, index, rows, since_recovery_s = body
        changes = None if rows is None else _decode_changes(rows, index)
        now = self._read_clock()
        received_at = now - self._stalls.measure_current_s(now)
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(
            ForwardedChanges(
                sender, since, index, changes, since_recovery_s, received_at
            )
        )

    def _list_recipients(self):
        """Return the addresses to forward to; empty if this instance doesn't watch."""
        others = [p.address for p in self._list_zone_peers() if p.name != self._name]
        if len(others) < WATCHERS_PER_ZONE or not self.is_watcher():
            return []
        return others

    def _list_zone_peers(self):
        return [p for p in self._view.list_present_peers() if p.zone == self._zone]


def _encode_changes(changes):
    written = [[i.key, i.value, i.modify_index] for i in changes.written]
    return [written, list(changes.deleted)]


def _decode_changes(rows, index):
    written, deleted = rows
    items = tuple(Item(*row) for row in written)
    return Changes(items, tuple(deleted), index)
