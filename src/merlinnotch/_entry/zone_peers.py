"""The present instances by availability zone, as receivers of messages."""

from .._rendezvous_hashing import get_highest_ranked


class ZonePeers:
    """The instances of the fleet view *view*, for the instance *name* in *zone*."""

    def __init__(self, name, zone, view):
        self._name = name
        self._zone = zone
        self._view = view

    def list_own_addresses(self):
        """Return the addresses of the other instances of the own zone."""
        peers = self._view.list_present_peers()
        return [
            p.address for p in peers if p.zone == self._zone and p.name != self._name
        ]

    def list_names(self, zone):
        """Return the names of the instances of *zone*, this one included."""
        names = {p.name for p in self._view.list_present_peers() if p.zone == zone}
        return names | {self._name} if zone == self._zone else names

    def list_other_zones(self):
        """Return the other zones that have instances, in order."""
        zones = {p.zone for p in self._view.list_present_peers()}
        return sorted(zones - {self._zone})

    def list_receivers(self):
        """Return the addresses of one instance of each other zone."""
        return [self._pick_receiver(zone) for zone in self.list_other_zones()]

    def _pick_receiver(self, zone):
        name = get_highest_ranked(self._name, self.list_names(zone))
        return self._view.peers[name].address
