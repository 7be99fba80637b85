"""Two copies of the store that are told of it in any order, as a specification.

The store goes through a fixed history of two keys. Each copy reads it in full,
watches it, and takes what the other has. Replies arrive late, in any order or
not at all. The copies are the product's own :class:`Mirror`.

State: the store's ``index``; copies ``one`` and ``two`` as (index, items); the
replies on their way.
"""

from minicheck import Protocol

from merlinnotch._fleet.mirror import Mirror, MirrorPart
from merlinnotch._store import Changes, Item, Listing

HISTORY = (
    frozenset(),
    frozenset({("k", 1)}),
    frozenset(),
    frozenset({("k", 3)}),
    frozenset({("k", 3), ("j", 4)}),
    frozenset({("j", 4)}),
)
"""The store's items after each change, as (key, index of its last change)."""
MOST_ON_THE_WAY = 2
COPIES = (1, 2)


class ForgetfulMirror(Mirror):
    """Broken: takes a full read whatever it has seen."""

    def replace(self, listing):
        self.index = 0
        return super().replace(listing)


class HoardingMirror(Mirror):
    """Broken: keeps what a peer does not have any more."""

    def merge(self, part):
        keys = (*part.keys, *self.items)
        return super().merge(MirrorPart(part.index, part.items, keys))


def build():
    """Return the protocol as built."""
    return _build("mirror", Mirror)


def build_forgetful():
    """Return a broken variant: an older full read replaces newer items."""
    return _build("mirror-forgetful", ForgetfulMirror)


def build_hoarding():
    """Return a broken variant: deletions are not learned from peers."""
    return _build("mirror-hoarding", HoardingMirror)


def _build(name, mirror_type):
    return Protocol(
        name=name,
        candidate=False,
        fields=("index", "one", "two", "replies"),
        initial=(0, (0, frozenset()), (0, frozenset()), frozenset()),
        transitions=lambda state: list(_step(state, mirror_type)),
        invariants={
            "copies_are_true": lambda d: all(
                items == HISTORY[index] for index, items in (d["one"], d["two"])
            ),
        },
    )


def _step(state, mirror_type):
    index, _, _, replies = state
    if index + 1 < len(HISTORY):
        yield "the store changes", (index + 1, *state[1:])
    if len(replies) < MOST_ON_THE_WAY:
        for reply in _list_replies(state):
            yield f"sends {reply}", (*state[:3], replies | {reply})
    for reply in replies:
        rest = replies - {reply}
        yield f"loses {reply}", (*state[:3], rest)
        yield f"takes {reply}", _deliver(state, reply, rest, mirror_type)


def _list_replies(state):
    """Return what may be asked for now: (kind, copy, since, index)."""
    index = state[0]
    for copy in COPIES:
        known = state[copy][0]
        other = state[3 - copy][0]
        yield ("full", copy, 0, index)
        if index > known:
            yield ("changes", copy, known, index)
        if other > known:
            yield ("part", copy, known, other)


def _deliver(state, reply, rest, mirror_type):
    kind, copy, since, index = reply
    mirror = _revive(state[copy], mirror_type)
    if kind == "full":
        mirror.replace(Listing(_make_items(HISTORY[index]), index))
    elif kind == "part":
        written = _make_items(i for i in HISTORY[index] if i[1] > since)
        keys = tuple(key for key, _ in HISTORY[index])
        mirror.merge(MirrorPart(index, written, keys))
    elif since <= mirror.index:
        mirror.apply(_make_changes(since, index))
    items = frozenset((i.key, i.modify_index) for i in mirror.items.values())
    copies = [state[1], state[2]]
    copies[copy - 1] = (mirror.index, items)
    return (state[0], *copies, rest)


def _revive(known, mirror_type):
    index, items = known
    mirror = mirror_type()
    mirror.replace(Listing(_make_items(items), index))
    return mirror


def _make_changes(since, index):
    """Return what became of all keys that changed after *since*."""
    written = _make_items(i for i in HISTORY[index] if i[1] > since)
    kept = {key for key, _ in HISTORY[index]}
    past = {key for items in HISTORY[since:index] for key, _ in items}
    return Changes(written, tuple(sorted(past - kept)), index)


def _make_items(items):
    return tuple(Item(key, b"", changed) for key, changed in sorted(items))
