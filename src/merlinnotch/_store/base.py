"""The interface of key-value stores."""

import abc

ABSENT = 0
"""The modify index of a missing key, for :meth:`KeyValueStore.swap`."""


class KeyValueStore(abc.ABC):
    """A key-value store with compare-and-swap, leases and watches.

    Every method raises :class:`StoreUnavailable` if the outcome of the call is
    unknown. A write may then have taken effect, or may still do so later.
    """

    @abc.abstractmethod
    def read(self, prefix, recurse=False):
        """Return a :class:`Listing` of the key *prefix*.

        If *recurse* is true, it contains all keys that start with *prefix*.
        """

    @abc.abstractmethod
    def watch(self, prefix, index, wait_s, recurse=False):
        """Wait for a change after *index*, then return the same as :meth:`read`.

        Without a change, return after *wait_s* seconds.
        """

    @abc.abstractmethod
    def read_changes(self, prefix, index, wait_s):
        """Return the :class:`Changes` after *index* of keys that start with *prefix*.

        If there are none, wait up to *wait_s* seconds for the first one. Raises
        :class:`ChangesExpired` if the store no longer keeps the changes since *index*.
        """

    @abc.abstractmethod
    def swap(self, key, value, modify_index):
        """Write *value* if the key's modify index is still *modify_index*.

        Return the new modify index, or None if the store does not report it.
        Raises :class:`StoreConflict` if the modify index differs.
        """

    @abc.abstractmethod
    def put(self, key, value):
        """Write *value* unconditionally."""

    @abc.abstractmethod
    def delete(self, key, modify_index):
        """Delete the key if its modify index is still *modify_index*.

        Raises :class:`StoreConflict` if the modify index differs.
        """

    @abc.abstractmethod
    def open_lease(self, ttl_s, name):
        """Return the id of a new lease that expires after *ttl_s* seconds."""

    @abc.abstractmethod
    def renew_lease(self, lease):
        """Renew the lease; raises :class:`StoreConflict` if it has ended."""

    @abc.abstractmethod
    def close_lease(self, lease):
        """End the lease and release the keys that it holds."""

    @abc.abstractmethod
    def acquire(self, key, value, lease):
        """Write *value* and lock *key* with *lease*; return whether this succeeded."""
