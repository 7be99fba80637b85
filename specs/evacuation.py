"""Specification of how one instance learns of zone evacuations.

Operators evacuate a zone, end the evacuation and evacuate the zone again while its
upstream restarts. An instance learns this from full reads, changes and updates of a
peer, which may be late, out of order or lost, and it may restart itself. Its copy of
the store and its view are the real :class:`Mirror` and :class:`FleetView`.

State: ``store_index``; ``mirror_index``, the index of the instance's copy, None before
the first update; ``evacuated``, the zones that its view treats as evacuated;
``targets``, the zones that its view sends to.
"""

from minicheck import Protocol

from merlinnotch._fleet import Evacuation, Upstream
from merlinnotch._fleet.mirror import KeyChange, Mirror, MirrorUpdate
from merlinnotch._fleet.view import FleetView
from merlinnotch._store import Changes, Item, Listing

SERVICE = "s"
ZONE = "z"
EVACUATION_KEY = "evacuate/z"
UPSTREAM_KEY = "upstream/1"
HISTORY = (
    {UPSTREAM_KEY: 0},
    {UPSTREAM_KEY: 0, EVACUATION_KEY: 1},
    {UPSTREAM_KEY: 2, EVACUATION_KEY: 1},
    {UPSTREAM_KEY: 2},
    {UPSTREAM_KEY: 4},
    {UPSTREAM_KEY: 4, EVACUATION_KEY: 5},
)
"""For each store index, the modify index of each of the store's items."""


class RestartEndsEvacuationView(FleetView):
    """Faulty: an evacuation ends as soon as an upstream of the zone restarts."""

    def _update_upstream(self, key, upstream, now):
        if upstream.zone in self._evacuated_zones:
            self._evacuated_zones.remove(Evacuation(upstream.zone), 1)
        return super()._update_upstream(key, upstream, now)


class EndlessEvacuationView(FleetView):
    """Faulty: an evacuation never ends."""

    def _end_evacuation(self, evacuation, now):
        pass


def build():
    """Return the implemented protocol."""
    return _build("evacuation", FleetView)


def build_ended_by_restart():
    """Return a faulty variant: a restart of an upstream ends the evacuation."""
    return _build("evacuation-ended-by-restart", RestartEndsEvacuationView)


def build_endless():
    """Return a faulty variant: an evacuation never ends."""
    return _build("evacuation-endless", EndlessEvacuationView)


def _build(name, view_type):
    return Protocol(
        name=name,
        candidate=False,
        fields=("store_index", "mirror_index", "evacuated", "targets"),
        initial=(0, None, frozenset(), frozenset()),
        transitions=lambda state: list(_generate_transitions(state, view_type)),
        invariants={
            "targets_match_mirrored_store": lambda d: (
                d["mirror_index"] is None
                or d["targets"] == _list_allowed_zones(d["mirror_index"])
            ),
        },
    )


def _list_allowed_zones(index):
    items = HISTORY[index]
    return frozenset(
        {ZONE} if UPSTREAM_KEY in items and EVACUATION_KEY not in items else ()
    )


def _generate_transitions(state, view_type):
    store_index, mirror_index, evacuated, _ = state
    if store_index + 1 < len(HISTORY):
        yield "the store changes", (store_index + 1, *state[1:])
    yield "the instance restarts", (store_index, None, frozenset(), frozenset())
    for update_index in range(store_index + 1):
        for kind in ("full", "part", "changes"):
            if kind == "changes" and mirror_index is None:
                continue
            updated = _apply_update(
                kind, mirror_index, evacuated, update_index, view_type
            )
            yield (
                f"the instance applies {kind} of index {update_index}",
                (store_index, *updated),
            )


def _apply_update(kind, mirror_index, evacuated, update_index, view_type):
    """Return the mirror index, evacuated zones and targets after an update."""
    mirror, view = _restore_instance(mirror_index, evacuated, view_type)
    after_index = mirror.index
    written = tuple(_make_items(update_index, -1 if kind == "full" else after_index))
    if kind == "full":
        key_changes = mirror.replace(Listing(written, update_index))
    elif kind == "part":
        key_changes = mirror.merge(
            MirrorUpdate(update_index, written, tuple(HISTORY[update_index]))
        )
    else:
        deleted = tuple(sorted(mirror.items.keys() - HISTORY[update_index].keys()))
        key_changes = mirror.apply(Changes(written, deleted, update_index))
    view.apply(key_changes, 0.0)
    targets = frozenset(u.zone for u in view.list_upstreams(SERVICE))
    new_index = mirror.index if mirror_index is not None or key_changes else None
    return new_index, frozenset(view.list_evacuated_zones()), targets


def _restore_instance(mirror_index, evacuated, view_type):
    """Return the mirror and the view of an instance in the given state."""
    mirror, view = Mirror(), view_type(_decode)
    if mirror_index is not None:
        listing = Listing(tuple(_make_items(mirror_index, -1)), mirror_index)
        view.apply(mirror.replace(listing), 0.0)
    if evacuated != frozenset(view.list_evacuated_zones()):
        item = Item(EVACUATION_KEY, b"", 0) if evacuated else None
        view.apply([KeyChange(EVACUATION_KEY, item)], 0.0)
    return mirror, view


def _make_items(index, after_index):
    """Return the items at *index* that changed after *after_index*."""
    items = HISTORY[index].items()
    return (
        Item(key, b"", modify_index)
        for key, modify_index in items
        if modify_index > after_index
    )


def _decode(key, value, index):
    if key == EVACUATION_KEY:
        return Evacuation(ZONE)
    return Upstream("1", SERVICE, "10.0.0.1:80", ZONE, "v1", 4, started_ms=index)
