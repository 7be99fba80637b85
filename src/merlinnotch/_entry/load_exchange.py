"""Messages between instances about the load of upstreams."""

import dataclasses
from dataclasses import dataclass

import eventlet

from .._fleet import UpstreamStart
from .._rendezvous_hashing import get_highest_ranked, rank_names
from .datagrams import MessageKind
from .zone_peers import ZonePeers

MIN_PREFILL_MS = 30.0
"""Prompts with a shorter prefill are not reported."""
MAX_DIRECT_FLEET_SIZE = 24
"""Largest fleet in which each instance sends its updates to all others. In larger ones
other zones get sums, which saves CPU time."""
EXCHANGE_INTERVAL_S = 0.2
"""Interval at which a zone sends the sums of its load updates to other zones in large
fleets."""
SENDERS_PER_ZONE = 2
"""Instances per zone that send its sums, each for its share of the upstreams."""
MAX_ROWS = 40
"""Updates per message, so that it fits a datagram."""
MAX_REPORTS_PER_S = 20.0
"""Target rate of reports per service and kind of report: request counts, slowdown,
tries or responses during ramp-up. Instances skip upstreams that another one has
reported recently."""

MIN_ROW_LENGTH = 6
"""Fields of an update in versions without ramp-up."""


@dataclass(frozen=True)
class LoadUpdate:
    """Prompts sent to an upstream, and its observed load.

    *prefill_ms* is the prefill time of the prompts on the upstream. *running* and
    *waiting* are the request counts that it reports, *slowdown* is how many times
    slower than without load its streams are; each is None if not observed. *started_ms*
    distinguishes starts under the same id. *window* is the size of its window while it
    ramps up, *work_ms* the work time of a response, see :class:`RampUp`.
    """

    upstream_id: str
    prefill_ms: int = 0
    running: int | None = None
    waiting: int | None = None
    slowdown: float | None = None
    started_ms: int = 0
    window: float | None = None
    work_ms: float | None = None

    @property
    def start(self):
        """The :class:`UpstreamStart` that the update refers to."""
        return UpstreamStart(self.upstream_id, self.started_ms)

    def add(self, later):
        """Return the sum of this update and a *later* one."""
        load_source = self if later.running is None else later
        slowdown_source = self if later.slowdown is None else later
        return LoadUpdate(
            self.upstream_id,
            self.prefill_ms + later.prefill_ms,
            load_source.running,
            load_source.waiting,
            slowdown_source.slowdown,
            self.started_ms,
            self.window if later.window is None else later.window,
            self.work_ms if later.work_ms is None else later.work_ms,
        )


class LoadExchange:
    """Sends and receives :class:`LoadUpdate` messages.

    In fleets of up to *max_direct_fleet_size* instances, each sends its updates to all
    others at once. In larger ones it sends them at once within its zone, and other
    zones get sums: two instances of a zone send them to one instance of each other
    zone, which forwards them there. If a message is lost, receivers underestimate the
    upstream's load until the prefill of its prompts ends. *on_update* is called with
    each update received.
    """

    def __init__(
        self,
        transport,
        name,
        zone,
        view,
        read_clock,
        on_update,
        max_direct_fleet_size=MAX_DIRECT_FLEET_SIZE,
    ):
        self._transport = transport
        self._name = name
        self._zone = zone
        self._view = view
        self._peers = ZonePeers(name, zone, view)
        self._read_clock = read_clock
        self._on_update = on_update
        self._max_direct_fleet_size = max_direct_fleet_size
        self._pending_sums = {}
        self._load_reported_at = {}
        self._slowdown_reported_at = {}
        self._try_reported_at = {}
        self._work_reported_at = {}
        transport.handle(MessageKind.LOAD, self._handle_updates)
        transport.handle(MessageKind.LOAD_SUMS, self._handle_sums)
        transport.handle(MessageKind.LOAD_FORWARDED, self._handle_forwarded)

    def report_prompt(self, upstream, prefill_ms):
        """Report a prompt that was sent to *upstream*."""
        if prefill_ms >= MIN_PREFILL_MS:
            self._send_update(upstream, prefill_ms=int(prefill_ms))

    def report_load(self, upstream, running, waiting):
        """Report request counts of *upstream*, unless another instance just has."""
        if self._is_due(self._load_reported_at, upstream):
            self._send_update(upstream, running=running, waiting=waiting)

    def report_slowdown(self, upstream, slowdown):
        """Report the slowdown of *upstream*, unless another instance just has."""
        if self._is_due(self._slowdown_reported_at, upstream):
            self._send_update(upstream, slowdown=round(slowdown, 2))

    def report_ramp_up(self, upstream, window, work_ms, start_count):
        """Report the window of *upstream* and the work time of a response.

        Either is None if there is none. *start_count* is the number of starts that the
        target rate of reports is divided by. Nothing is sent if a report was made
        recently.
        """
        interval_s = start_count / MAX_REPORTS_PER_S
        # The response to a try comes too soon after it to share its limit.
        is_try = work_ms is None
        reported_at = self._try_reported_at if is_try else self._work_reported_at
        if self._is_due(reported_at, upstream, interval_s):
            self._send_update(upstream, window=window, work_ms=work_ms)

    def run(self):
        """Send sums to other zones until the process ends."""
        while True:
            eventlet.sleep(EXCHANGE_INTERVAL_S)
            self.exchange()

    def exchange(self):
        """Send the sums collected since the last call, if this instance is a sender."""
        updates, self._pending_sums = list(self._pending_sums.values()), {}
        if self._is_small_fleet() or not updates:
            return
        senders = rank_names(
            self._zone, self._peers.list_names(self._zone), SENDERS_PER_ZONE
        )
        own = [
            u
            for u in updates
            if get_highest_ranked(u.upstream_id, senders) == self._name
        ]
        if not own:
            return
        receivers = self._peers.list_receivers()
        for first in range(0, len(own), MAX_ROWS):
            body = _encode_updates(own[first : first + MAX_ROWS])
            self._transport.send(MessageKind.LOAD_SUMS, body, receivers)

    def forget(self, start):
        """Drop the state of a removed upstream; *start* is an
        :class:`UpstreamStart`."""
        self._load_reported_at.pop(start, None)
        self._slowdown_reported_at.pop(start, None)
        self._try_reported_at.pop(start, None)
        self._work_reported_at.pop(start, None)

    def _is_due(self, reported_at, upstream, interval_s=None):
        """Return whether a report on *upstream* is due; if so, record it as sent.

        *interval_s* is the shortest interval between reports on one upstream, by
        default as the upstreams of its service allow.
        """
        now = self._read_clock()
        if interval_s is None:
            interval_s = (
                len(self._view.list_upstreams(upstream.service)) / MAX_REPORTS_PER_S
            )
        if now - reported_at.get(upstream.start, -interval_s) < interval_s:
            return False
        reported_at[upstream.start] = now
        return True

    def _send_update(self, upstream, **values):
        update = LoadUpdate(upstream.id, started_ms=upstream.started_ms, **values)
        self._add_to_sums(update)
        self._transport.send(
            MessageKind.LOAD, _encode_updates([update]), self._list_recipients()
        )

    def _add_to_sums(self, update):
        pending = self._pending_sums.get(update.start)
        self._pending_sums[update.start] = pending.add(update) if pending else update

    def _handle_updates(self, body):
        for update in _decode_updates(body):
            self._add_to_sums(update)
            self._apply_update(update)

    def _handle_sums(self, body):
        self._handle_forwarded(body)
        self._transport.send(
            MessageKind.LOAD_FORWARDED, body, self._peers.list_own_addresses()
        )

    def _handle_forwarded(self, body):
        for update in _decode_updates(body):
            self._apply_update(update)

    def _apply_update(self, update):
        now = self._read_clock()
        if update.running is not None:
            self._load_reported_at[update.start] = now
        if update.slowdown is not None:
            self._slowdown_reported_at[update.start] = now
        if update.work_ms is not None:
            self._work_reported_at[update.start] = now
        elif update.window is not None:
            self._try_reported_at[update.start] = now
        self._on_update(update)

    def _is_small_fleet(self):
        return len(self._view.peers) <= self._max_direct_fleet_size

    def _list_recipients(self):
        """Return the addresses that get each update at once."""
        if not self._is_small_fleet():
            return self._peers.list_own_addresses()
        peers = self._view.peers.values()
        return [p.address for p in peers if p.name != self._name]


def _encode_updates(updates):
    return [_encode_update(update) for update in updates]


def _encode_update(update):
    """Return the row of *update*, without trailing fields that are not set.

    Earlier versions reject rows with more fields than ``MIN_ROW_LENGTH``.
    """
    row = list(dataclasses.astuple(update))
    while len(row) > MIN_ROW_LENGTH and row[-1] is None:
        row.pop()
    return row


def _decode_updates(body):
    """Return the updates of *body*; fields of later versions are ignored."""
    count = len(dataclasses.fields(LoadUpdate))
    return [LoadUpdate(*row[:count]) for row in body]
