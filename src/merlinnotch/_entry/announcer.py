"""Registration of this instance's address in the store."""

import logging

import eventlet
import eventlet.queue

from .._errors import StoreError
from .._fleet import PeerAddress
from .._fleet.records import encode_peer, peer_key

logger = logging.getLogger("merlinnotch")

LEASE_TTL_S = 30.0
RENEWAL_INTERVAL_S = 10.0
"""A third of the TTL, so that the lease survives two failed renewals."""
RETRY_DELAY_S = 2.0
MAX_INITIAL_DELAY_S = 0.5
"""Spreads the registrations of instances that start together, or that register again
after the store was restored."""


class Announcer:
    """Task that keeps this instance's address in the store under a lease."""

    def __init__(self, store, name, zone, address, generator):
        self._store = store
        self._peer = PeerAddress(name, zone, address)
        self._generator = generator
        self._lease = None
        self._is_stopped = False
        self._restores = eventlet.queue.LightQueue(1)

    def run(self):
        """Register and renew the lease until the process ends."""
        self._sleep_initially()
        while True:
            delay_s = self._renew()
            if self._wait_for_restore(delay_s):
                self._sleep_initially()

    def announce_again(self):
        """Register this instance again, as a restored store may have lost it."""
        self._lease = None
        if self._restores.empty():
            self._restores.put_nowait(True)

    def stop(self):
        """Close the lease for good, so that peers stop calling this instance."""
        self._is_stopped = True
        if self._lease is None:
            return
        try:
            self._store.close_lease(self._lease)
        except StoreError as error:
            logger.info("failed to close the lease", extra={"reason": str(error)})

    def _sleep_initially(self):
        eventlet.sleep(self._generator.uniform(0, MAX_INITIAL_DELAY_S))

    def _wait_for_restore(self, wait_s):
        """Wait up to *wait_s*; return whether the store was restored meanwhile."""
        try:
            return self._restores.get(timeout=wait_s)
        except eventlet.queue.Empty:
            return False

    def _renew(self):
        """Register or renew the lease; return the seconds until the next call."""
        if self._is_stopped:
            return RENEWAL_INTERVAL_S
        try:
            if self._lease is None:
                self._register()
            else:
                self._store.renew_lease(self._lease)
        except StoreError as error:
            logger.info(
                "failed to announce this instance", extra={"reason": str(error)}
            )
            self._lease = None
            return RETRY_DELAY_S
        return RENEWAL_INTERVAL_S

    def _register(self):
        lease = self._store.open_lease(LEASE_TTL_S, self._peer.name)
        key = peer_key(self._peer.name)
        self._store.put_with_lease(key, encode_peer(self._peer), lease)
        self._lease = lease
