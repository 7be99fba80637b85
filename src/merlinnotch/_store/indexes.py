"""Store indexes that order all writes, also across a restore of the store.

A store that is restored from a copy gives out earlier revisions again. Its era rises
with each restore, so an index consists of the era and the revision within it. Indexes
of a store without eras, or of an instance that knows none, equal the revision.
"""

REVISION_BITS = 40
_REVISION_MASK = (1 << REVISION_BITS) - 1


def build_index(era, revision):
    """Return the index of *revision* in *era*."""
    return (era << REVISION_BITS) | revision


def get_era(index):
    """Return the era of an index."""
    return index >> REVISION_BITS


def get_revision(index):
    """Return the store's revision at an index."""
    return index & _REVISION_MASK
