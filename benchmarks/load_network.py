"""In-memory network for load messages, for tests and benchmarks."""

import collections
from dataclasses import dataclass, field

from merlinnotch._entry.load_exchange import MAX_DIRECT_FLEET_SIZE, LoadExchange
from merlinnotch._fleet import PeerAddress


class InMemoryTransport:
    """Transport of one instance that delivers messages synchronously.

    *received_count* counts received messages.
    """

    def __init__(self, network, address):
        self._network = network
        self._handlers = {}
        self.address = address
        self.received_count = 0

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def send(self, kind, body, addresses):
        for address in addresses:
            self._network.deliver(address, kind, body)

    def receive(self, kind, body):
        self.received_count += 1
        self._handlers[kind](body)


@dataclass
class FleetViewStub:
    """The part of a fleet view that load messages need."""

    peers: dict
    upstreams: list = field(default_factory=list)

    def list_present_peers(self):
        return list(self.peers.values())

    def list_upstreams(self, service):
        return self.upstreams


class LoadNetwork:
    """In-memory network of *count* instances in *zones* that exchange load updates.

    *received* maps an instance's name to the updates that it received. *on_update* is
    called with an instance's name and each update that it receives. Messages to
    *dropped_addresses* are dropped. *now* is the simulated time in seconds.
    """

    def __init__(
        self, count, zones, upstreams=(), max_direct_fleet_size=MAX_DIRECT_FLEET_SIZE
    ):
        self._max_direct_fleet_size = max_direct_fleet_size
        self.on_update = lambda name, update: None
        self.now = 0.0
        self.dropped_addresses = set()
        self.received = collections.defaultdict(list)
        names = [f"{zone}-{n}" for zone in zones for n in range(count // len(zones))]
        peers = {n: PeerAddress(n, n.split("-")[0], f"at-{n}") for n in names}
        self.view = FleetViewStub(peers, list(upstreams))
        self.transports = {f"at-{n}": InMemoryTransport(self, f"at-{n}") for n in names}
        self.load_exchanges = {
            name: self._build_load_exchange(name, peers[name].zone) for name in names
        }

    def deliver(self, address, kind, body):
        if address not in self.dropped_addresses:
            self.transports[address].receive(kind, body)

    def exchange(self):
        for load_exchange in self.load_exchanges.values():
            load_exchange.exchange()

    def _build_load_exchange(self, name, zone):
        return LoadExchange(
            self.transports[f"at-{name}"],
            name,
            zone,
            self.view,
            lambda: self.now,
            lambda update: self._record_update(name, update),
            self._max_direct_fleet_size,
        )

    def _record_update(self, name, update):
        self.received[name].append(update)
        self.on_update(name, update)
