"""A network of load news without sockets, for tests and benchmarks."""

import collections
from dataclasses import dataclass, field

from merlinnotch._entry.news import DIRECT_FLEET, LoadNews
from merlinnotch._fleet import PeerAddress


class Port:
    """Hands messages to the ports of the addressed instances at once."""

    def __init__(self, fabric, address):
        self._fabric = fabric
        self._handlers = {}
        self.address = address
        self.heard = 0

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def send(self, kind, body, addresses):
        for address in addresses:
            self._fabric.deliver(address, kind, body)

    def take(self, kind, body):
        self.heard += 1
        self._handlers[kind](body)


@dataclass
class View:
    """What load news needs of a fleet's view."""

    peers: dict
    upstreams: list = field(default_factory=list)

    def list_present_peers(self):
        return list(self.peers.values())

    def list_upstreams(self, service):
        return self.upstreams


class Fabric:
    """*count* instances in *zones* that tell each other of loads.

    *heard* maps an instance's name to the rows that it took; *on_row* is called
    with the name and each of them. Messages to addresses in *lost* are lost.
    """

    def __init__(self, count, zones, upstreams=(), direct_fleet=DIRECT_FLEET):
        self._direct_fleet = direct_fleet
        self.on_row = lambda name, row: None
        self.now = 0.0
        self.lost = set()
        self.heard = collections.defaultdict(list)
        names = [f"{zone}-{n}" for zone in zones for n in range(count // len(zones))]
        peers = {n: PeerAddress(n, n.split("-")[0], f"at-{n}") for n in names}
        self.view = View(peers, list(upstreams))
        self.ports = {f"at-{n}": Port(self, f"at-{n}") for n in names}
        self.news = {name: self._build(name, peers[name].zone) for name in names}

    def deliver(self, address, kind, body):
        if address not in self.lost:
            self.ports[address].take(kind, body)

    def exchange(self):
        for news in self.news.values():
            news.exchange()

    def _build(self, name, zone):
        return LoadNews(
            self.ports[f"at-{name}"],
            name,
            zone,
            self.view,
            lambda: self.now,
            lambda row: self._note(name, row),
            self._direct_fleet,
        )

    def _note(self, name, row):
        self.heard[name].append(row)
        self.on_row(name, row)
