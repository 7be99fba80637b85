"""Differences between two configuration documents."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Difference:
    """One value that differs.

    *place* is the dotted path of its key. *old* is None for an added value, *new* for a
    removed one.
    """

    place: str
    old: object
    new: object

    def __str__(self):
        if self.old is None:
            return f"+ {self.place} = {self.new!r}"
        if self.new is None:
            return f"- {self.place} = {self.old!r}"
        return f"~ {self.place}: {self.old!r} -> {self.new!r}"


def find_differences(old, new):
    """Return the :class:`Difference` objects of two documents, sorted by place."""
    flat_old, flat_new = dict(_flatten(old, ())), dict(_flatten(new, ()))
    return [
        Difference(place, flat_old.get(place), flat_new.get(place))
        for place in sorted(flat_old.keys() | flat_new.keys())
        if flat_old.get(place) != flat_new.get(place)
    ]


def _flatten(value, path):
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(item, (*path, key))
    else:
        yield ".".join(path), value
