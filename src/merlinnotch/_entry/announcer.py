"""Tells the other instances where this one listens."""

import logging

import eventlet

from .._errors import StoreError
from .._fleet import PeerAddress
from .._fleet.records import encode_peer, peer_key

logger = logging.getLogger("merlinnotch")

LEASE_S = 30.0
RENEW_S = 10.0
"""A third of the lease, so that two lost renewals don't end it."""
RETRY_S = 2.0
FIRST_S = 0.5
"""Spread of the first announcements of instances that start together."""


class Announcer:
    """Keeps this instance's address in the store under a lease."""

    def __init__(self, store, name, zone, address, generator):
        self._store = store
        self._peer = PeerAddress(name, zone, address)
        self._generator = generator
        self._lease = None

    def run(self):
        """Announce and renew until the process ends."""
        eventlet.sleep(self._generator.uniform(0, FIRST_S))
        while True:
            eventlet.sleep(self._renew())

    def stop(self):
        """End the lease, so that peers stop calling."""
        if self._lease is None:
            return
        try:
            self._store.close_lease(self._lease)
        except StoreError as error:
            logger.info("lease not ended", extra={"reason": str(error)})

    def _renew(self):
        """Return after how many seconds to go on."""
        try:
            if self._lease is None:
                self._announce()
            else:
                self._store.renew_lease(self._lease)
        except StoreError as error:
            logger.info("announcement failed", extra={"reason": str(error)})
            self._lease = None
            return RETRY_S
        return RENEW_S

    def _announce(self):
        lease = self._store.open_lease(LEASE_S, self._peer.name)
        key = peer_key(self._peer.name)
        self._store.attach(key, encode_peer(self._peer), lease)
        self._lease = lease
