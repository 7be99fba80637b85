"""Revisions in the store."""

import uuid

from .._errors import RevisionConflict, StoreConflict, StoreUnavailable
from .._store import ABSENT
from .._store.keys import HISTORY_PREFIX, REVISION_KEY
from .revision import Revision

HISTORY_DIGITS = 10
MAX_SWAP_ATTEMPTS = 5


class RevisionLog:
    """The current and all earlier revisions in a :class:`KeyValueStore`.

    The current revision is a single key that is changed by compare-and-swap. It is
    copied to the history before it is replaced, so that an interrupted call leaves
    no gap in the history.
    """

    def __init__(self, store):
        self._store = store

    def read_current(self):
        """Return the current :class:`Revision`, or None."""
        revision, _ = self._read_current()
        return revision

    def read_history(self):
        """Return all revisions in ascending order, including the current one."""
        listing = self._store.read(HISTORY_PREFIX, recurse=True)
        revisions = {
            revision.number: revision
            for revision in (Revision.decode(item.value) for item in listing.items)
        }
        current = self.read_current()
        if current:
            revisions[current.number] = current
        return [revisions[number] for number in sorted(revisions)]

    def apply(self, document, base_number, author, now):
        """Make *document* the next revision and return it.

        *base_number* is the number of the revision on which the operator's plan
        is based, 0 for none. *now* is in seconds since the epoch. Raises
        :class:`RevisionConflict` if another revision was applied since, and
        :class:`StoreUnavailable` if the outcome is unknown.
        """
        current, index = self._read_current()
        number = current.number if current else 0
        if number != base_number:
            raise RevisionConflict(
                number, current.author if current else "an unknown author"
            )
        if current:
            self._write_history(current)
        revision = Revision(number + 1, uuid.uuid4().hex, author, now, document)
        self._replace_current(revision, index)
        return revision

    def _replace_current(self, revision, index):
        if not self._swap_until_answered(REVISION_KEY, revision, index):
            self._check_applied(revision)

    def _swap_until_answered(self, key, revision, index):
        """Repeat a compare-and-swap until it is answered; return whether it succeeded.

        A swap without a reply may have taken effect, or may still do so. A conflict of
        its repetition means that the key was changed, possibly by the first swap.
        Raises :class:`StoreUnavailable` after :data:`MAX_SWAP_ATTEMPTS` failures.
        """
        for _ in range(MAX_SWAP_ATTEMPTS):
            try:
                self._store.swap(key, revision.encode(), index)
            except StoreConflict:
                return False
            except StoreUnavailable as error:
                last_error = error
            else:
                return True
        raise last_error

    def _check_applied(self, revision):
        """Raise :class:`RevisionConflict` unless *revision* was applied.

        If the reply of a successful swap is lost, its repetition ends with a conflict.
        """
        current = self.read_current()
        if current and current.apply_id == revision.apply_id:
            return
        history = [applied.apply_id for applied in self.read_history()]
        if revision.apply_id in history:
            return
        number = current.number if current else 0
        raise RevisionConflict(
            number, current.author if current else "an unknown author"
        )

    def _write_history(self, revision):
        key = f"{HISTORY_PREFIX}{revision.number:0{HISTORY_DIGITS}d}"
        self._swap_until_answered(key, revision, ABSENT)

    def _read_current(self):
        listing = self._store.read(REVISION_KEY)
        item = listing.get(REVISION_KEY)
        if item is None:
            return None, ABSENT
        return Revision.decode(item.value), item.modify_index
