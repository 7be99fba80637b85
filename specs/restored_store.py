"""Specification of two mirrors of a store that is restored from a copy, twice.

Each era of the store has a history of its own, which begins with the copy. The mirrors
read the store in full, watch it, and apply updates of each other. Replies may be late,
out of order or lost. The mirrors are the real :class:`Mirror`.

State: ``store`` as (era, revision); ``mirror_1`` and ``mirror_2`` as (index, items);
``replies`` in flight.
"""

from minicheck import Protocol

from merlinnotch._fleet.mirror import MirrorUpdate
from merlinnotch._store import Changes, Listing, build_index, get_era

from .mirror import make_items, restore_mirror

COPY_REVISION = 1
HISTORIES = (
    (
        frozenset(),
        frozenset({("k", 1)}),
        frozenset({("k", 1), ("j", 2)}),
        frozenset({("k", 3), ("j", 2)}),
    ),
    (
        frozenset(),
        frozenset({("k", 1)}),
        frozenset({("k", 2)}),
        frozenset({("k", 2), ("j", 3)}),
    ),
    (
        frozenset(),
        frozenset({("k", 1)}),
        frozenset({("k", 1), ("m", 2)}),
        frozenset({("m", 2)}),
    ),
)
"""For each era and revision, the store's items as (key, revision)."""
MAX_IN_FLIGHT = 1
MIRROR_POSITIONS = (1, 2)
"""Positions of the mirrors in the state."""


def _ignore_era(era, revision):
    """Return an index by revision alone, as if the store were never restored."""
    return revision


def build():
    """Return the implemented protocol."""
    return _build("restored-store", build_index)


def build_without_eras():
    """Return a faulty variant: updates are ordered by revision alone."""
    return _build("restored-store-without-eras", _ignore_era)


def _build(name, make_index):
    positions_by_index = {}
    for era, history in enumerate(HISTORIES):
        for revision in range(len(history)):
            index = make_index(era, revision)
            contents = _make_contents(history[revision], era, make_index)
            positions_by_index.setdefault(index, []).append(contents)
    return Protocol(
        name=name,
        candidate=False,
        fields=("store", "mirror_1", "mirror_2", "replies"),
        initial=((0, 0), (0, frozenset()), (0, frozenset()), frozenset()),
        transitions=lambda state: list(_generate_transitions(state, make_index)),
        invariants={
            "mirrors_match_history": lambda d: all(
                items in positions_by_index[index]
                for index, items in (d["mirror_1"], d["mirror_2"])
            ),
        },
    )


def _make_contents(items, era, make_index):
    return frozenset((key, make_index(era, revision)) for key, revision in items)


def _generate_transitions(state, make_index):
    (era, revision), _, _, replies = state
    if revision + 1 < len(HISTORIES[era]):
        yield "the store changes", ((era, revision + 1), *state[1:])
    if revision > COPY_REVISION and era + 1 < len(HISTORIES):
        yield "the store is restored", ((era + 1, COPY_REVISION), *state[1:])
    if len(replies) < MAX_IN_FLIGHT:
        for reply in _generate_replies(state, make_index):
            yield f"send {reply}", (*state[:3], replies | {reply})
    for reply in replies:
        remaining = replies - {reply}
        yield f"lose {reply}", (*state[:3], remaining)
        yield f"deliver {reply}", _deliver(state, reply, remaining, make_index)


def _generate_replies(state, make_index):
    """Yield the replies that may be sent now.

    Each is (kind, position of the mirror, index after which it has changes, index,
    items of the sender).
    """
    era, revision = state[0]
    store_index = make_index(era, revision)
    store_items = _make_contents(HISTORIES[era][revision], era, make_index)
    for position in MIRROR_POSITIONS:
        index = state[position][0]
        peer_index, peer_items = state[3 - position]
        yield ("full", position, 0, store_index, store_items)
        if get_era(index) == get_era(store_index) and store_index > index:
            yield ("changes", position, index, store_index, store_items)
        if peer_index > index:
            yield ("part", position, index, peer_index, peer_items)


def _deliver(state, reply, remaining, make_index):
    """Return the state after *reply* is applied to its mirror."""
    kind, position, after_index, index, sender_items = reply
    mirror = restore_mirror(state[position])
    items = make_items(sender_items)
    written = tuple(item for item in items if item.modify_index > after_index)
    if kind == "full":
        mirror.replace(Listing(items, index))
    elif kind == "part":
        keys = tuple(item.key for item in items)
        mirror.merge(MirrorUpdate(index, written, keys))
    elif after_index <= mirror.index:
        all_keys = {
            key for history in HISTORIES for items in history for key, _ in items
        }
        deleted = all_keys - {item.key for item in items}
        mirror.apply(Changes(written, tuple(sorted(deleted)), index))
    contents = frozenset((i.key, i.modify_index) for i in mirror.items.values())
    mirrors = [state[1], state[2]]
    mirrors[position - 1] = (mirror.index, contents)
    return (state[0], *mirrors, remaining)
