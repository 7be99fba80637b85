"""Specification of two mirrors that get updates in any order.

The store goes through a fixed history of two keys. Each mirror reads it in full,
watches it, and applies updates of the other mirror. Replies may be late, out of order
or lost. The mirrors are the real :class:`Mirror`.

State: ``store_index``; ``mirror_1`` and ``mirror_2`` as (index, items); ``replies``
in flight.
"""

from minicheck import Protocol

from merlinnotch._fleet.mirror import Mirror, MirrorUpdate
from merlinnotch._store import Changes, Item, Listing

HISTORY = (
    frozenset(),
    frozenset({("k", 1)}),
    frozenset(),
    frozenset({("k", 3)}),
    frozenset({("k", 3), ("j", 4)}),
    frozenset({("j", 4)}),
)
"""For each store index, the store's items as (key, modify index)."""
MAX_IN_FLIGHT = 2
MIRROR_POSITIONS = (1, 2)
"""Positions of the mirrors in the state."""


class OldReadsMirror(Mirror):
    """Faulty: applies a full read that is older than the mirror."""

    def replace(self, listing):
        self.index = 0
        return super().replace(listing)


class KeptDeletionsMirror(Mirror):
    """Faulty: keeps items that a peer no longer has."""

    def merge(self, update):
        keys = (*update.keys, *self.items)
        return super().merge(MirrorUpdate(update.index, update.items, keys))


def build():
    """Return the implemented protocol."""
    return _build("mirror", Mirror)


def build_accepting_old_reads():
    """Return a faulty variant: an older full read replaces newer items."""
    return _build("mirror-accepting-old-reads", OldReadsMirror)


def build_keeping_deleted():
    """Return a faulty variant: deletions are not learned from peers."""
    return _build("mirror-keeping-deleted", KeptDeletionsMirror)


def _build(name, mirror_type):
    return Protocol(
        name=name,
        candidate=False,
        fields=("store_index", "mirror_1", "mirror_2", "replies"),
        initial=(0, (0, frozenset()), (0, frozenset()), frozenset()),
        transitions=lambda state: list(_generate_transitions(state, mirror_type)),
        invariants={
            "mirrors_match_history": lambda d: all(
                items == HISTORY[index]
                for index, items in (d["mirror_1"], d["mirror_2"])
            ),
        },
    )


def _generate_transitions(state, mirror_type):
    store_index, _, _, replies = state
    if store_index + 1 < len(HISTORY):
        yield "the store changes", (store_index + 1, *state[1:])
    if len(replies) < MAX_IN_FLIGHT:
        for reply in _generate_replies(state):
            yield f"send {reply}", (*state[:3], replies | {reply})
    for reply in replies:
        remaining = replies - {reply}
        yield f"lose {reply}", (*state[:3], remaining)
        yield f"deliver {reply}", _deliver(state, reply, remaining, mirror_type)


def _generate_replies(state):
    """Yield the replies that may be sent now.

    Each is (kind, position of the mirror, index after which it has changes, index).
    """
    store_index = state[0]
    for position in MIRROR_POSITIONS:
        index = state[position][0]
        peer_index = state[3 - position][0]
        yield ("full", position, 0, store_index)
        if store_index > index:
            yield ("changes", position, index, store_index)
        if peer_index > index:
            yield ("part", position, index, peer_index)


def _deliver(state, reply, remaining, mirror_type):
    """Return the state after *reply* is applied to its mirror."""
    kind, position, after_index, index = reply
    mirror = restore_mirror(state[position], mirror_type)
    if kind == "full":
        mirror.replace(Listing(make_items(HISTORY[index]), index))
    elif kind == "part":
        written = make_items(i for i in HISTORY[index] if i[1] > after_index)
        keys = tuple(key for key, _ in HISTORY[index])
        mirror.merge(MirrorUpdate(index, written, keys))
    elif after_index <= mirror.index:
        mirror.apply(_make_changes(after_index, index))
    items = frozenset((i.key, i.modify_index) for i in mirror.items.values())
    mirrors = [state[1], state[2]]
    mirrors[position - 1] = (mirror.index, items)
    return (state[0], *mirrors, remaining)


def restore_mirror(contents, mirror_type=Mirror):
    """Return a mirror with *contents*, its index and (key, modify index) pairs."""
    index, items = contents
    mirror = mirror_type()
    mirror.replace(Listing(make_items(items), index))
    return mirror


def _make_changes(after_index, index):
    """Return the changes after *after_index*, up to *index*."""
    written = make_items(i for i in HISTORY[index] if i[1] > after_index)
    current_keys = {key for key, _ in HISTORY[index]}
    previous_keys = {key for items in HISTORY[after_index:index] for key, _ in items}
    return Changes(written, tuple(sorted(previous_keys - current_keys)), index)


def make_items(items):
    """Return the items of (key, modify index) pairs."""
    return tuple(Item(key, b"", modify_index) for key, modify_index in sorted(items))
