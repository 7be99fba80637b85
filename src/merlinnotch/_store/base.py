"""The contract of the platform's key-value service."""

import abc

ABSENT = 0
"""The modify index to pass to :meth:`KeyValueStore.swap` for a missing key."""


class KeyValueStore(abc.ABC):
    """Compare-and-swap, leases and watches.

    Every method raises :class:`StoreUnavailable` when no definite reply came;
    a write may then have taken effect, or may take effect later.
    """

    @abc.abstractmethod
    def read(self, prefix, recurse=False):
        """Return a :class:`Listing` of the key, or of all keys below it."""

    @abc.abstractmethod
    def watch(self, prefix, index, wait_s, recurse=False):
        """Like :meth:`read`, once something changed after *index*.

        Returns after *wait_s* seconds at the latest.
        """

    @abc.abstractmethod
    def read_changes(self, prefix, index, wait_s):
        """Return the :class:`Changes` below *prefix* after *index*.

        Waits *wait_s* seconds for the first one. Raises :class:`HistoryLost`
        when the service no longer keeps what changed since.
        """

    @abc.abstractmethod
    def swap(self, key, value, modify_index):
        """Write *value* if the key's modify index is still *modify_index*.

        Returns the new modify index where the service tells it, else None.
        Raises :class:`StoreConflict` when it is not.
        """

    @abc.abstractmethod
    def put(self, key, value):
        """Write *value* whatever was there."""

    @abc.abstractmethod
    def delete(self, key, modify_index):
        """Delete the key if its modify index is still *modify_index*."""

    @abc.abstractmethod
    def open_lease(self, ttl_s, name):
        """Return the id of a new lease that lasts *ttl_s* seconds."""

    @abc.abstractmethod
    def renew_lease(self, lease):
        """Extend the lease; raises :class:`StoreConflict` when it lapsed."""

    @abc.abstractmethod
    def close_lease(self, lease):
        """End the lease and free the keys that it holds."""

    @abc.abstractmethod
    def acquire(self, key, value, lease):
        """Return whether *lease* now holds *key*."""
