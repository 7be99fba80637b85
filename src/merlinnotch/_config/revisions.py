"""Applying revisions to the store, and reading them back."""

import uuid

from .._errors import RevisionConflict, StoreConflict, StoreUnavailable
from .._store import ABSENT
from .._store.keys import HISTORY_PREFIX, REVISION_KEY
from .revision import Revision

HISTORY_DIGITS = 10
SETTLE_TRIES = 5


class RevisionLog:
    """The revisions in a :class:`KeyValueStore`.

    The current one is a single key changed by compare-and-swap. Before it is
    replaced, the applier makes sure that the history holds it, so that the
    history has no gaps whoever stops where.
    """

    def __init__(self, store):
        self._store = store

    def read_current(self):
        """Return the current :class:`Revision`, or None."""
        revision, _ = self._read_current()
        return revision

    def read_history(self):
        """Return all revisions, oldest first."""
        listing = self._store.read(HISTORY_PREFIX, recurse=True)
        past = {r.number: r for r in (Revision.decode(i.value) for i in listing.items)}
        current = self.read_current()
        if current:
            past[current.number] = current
        return [past[number] for number in sorted(past)]

    def apply(self, document, planned_against, author, now):
        """Make *document* the next revision and return it.

        *planned_against* is the number that the operator's plan saw (0 for
        none), *now* in seconds since the epoch. Raises
        :class:`RevisionConflict` when another revision came first, and
        :class:`StoreUnavailable` when that can't be found out.
        """
        current, index = self._read_current()
        number = current.number if current else 0
        if number != planned_against:
            raise RevisionConflict(number, current.author if current else "nobody")
        if current:
            self._keep_in_history(current)
        revision = Revision(number + 1, uuid.uuid4().hex, author, now, document)
        self._swap(revision, index)
        return revision

    def _swap(self, revision, index):
        if not self._write(REVISION_KEY, revision, index):
            self._settle(revision)

    def _write(self, key, revision, index):
        """Swap until there is a definite reply; return whether it succeeded.

        A write without a reply may have taken effect, or may still do so:
        only the same compare-and-swap again tells which.
        """
        for _ in range(SETTLE_TRIES):
            try:
                self._store.swap(key, revision.encode(), index)
            except StoreConflict:
                return False
            except StoreUnavailable as error:
                last_error = error
            else:
                return True
        raise last_error

    def _settle(self, revision):
        current = self.read_current()
        if current and current.apply_id == revision.apply_id:
            return
        history = [r.apply_id for r in self.read_history()]
        if revision.apply_id in history:
            return
        number = current.number if current else 0
        raise RevisionConflict(number, current.author if current else "nobody")

    def _keep_in_history(self, revision):
        key = f"{HISTORY_PREFIX}{revision.number:0{HISTORY_DIGITS}d}"
        self._write(key, revision, ABSENT)

    def _read_current(self):
        listing = self._store.read(REVISION_KEY)
        item = listing.get(REVISION_KEY)
        if item is None:
            return None, ABSENT
        return Revision.decode(item.value), item.modify_index
