"""Entries of other writers among quarantines and revisions."""

import json

import pytest

from merlinnotch._config import Revision, load_files
from merlinnotch._control.configurer import Configurer
from merlinnotch._daemon.metrics import Metrics
from merlinnotch._peers import Quarantine
from merlinnotch._store import Item, Listing
from merlinnotch._store.keys import QUARANTINE_PREFIX, REVISION_KEY

NESTING = 100_000
FIELDS = {"revision": 1, "reason": "slow", "at": 1.0}
ODD_VALUES = [
    b"",
    b"null",
    b"7",
    b"[]",
    b"{}",
    b"\xff",
    b"[" * NESTING + b"]" * NESTING,
    *(
        json.dumps(FIELDS | {name: value}).encode()
        for name in FIELDS
        for value in (None, [], {})
    ),
    json.dumps(FIELDS | {"other": 1}).encode(),
    json.dumps(FIELDS | {"revision": "1"}).encode(),
    json.dumps(FIELDS | {"at": float("nan")}).encode(),
    json.dumps(FIELDS | {"revision": 10**400}).encode(),
    json.dumps(FIELDS | {"revision": "@"}).replace('"@"', "9" * 5000).encode(),
]


class FixedStore:
    """A store that always lists *items*."""

    def __init__(self, items):
        self._items = items

    def read(self, prefix, recurse=False):
        return Listing(tuple(self._items), 1)


@pytest.fixture
def revision():
    return Revision(3, "id", "ann", 0.0, load_files("examples/authority")[0])


def run(items):
    """Return a configurer that has read *items*, and the quarantines that it found."""
    found = []
    configurer = Configurer(
        FixedStore(items),
        Metrics(),
        lambda version_id, quarantine: found.append(version_id),
    )
    configurer.run_once()
    return configurer, found


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: repr(value[:60]))
def test_odd_quarantine_leaves_the_others_in_force(revision, value):
    # Neither the revision nor later quarantines were followed any more.
    items = [
        Item(f"{QUARANTINE_PREFIX}odd", value, 1),
        Item(f"{QUARANTINE_PREFIX}slow@v1", Quarantine(1, "slow", 1.0).encode(), 1),
        Item(REVISION_KEY, revision.encode(), 1),
    ]
    configurer, found = run(items)
    assert found == ["slow@v1"]
    assert configurer.tracker.number == 3


@pytest.mark.parametrize(
    "value",
    [
        b"[" * NESTING,
        b"[]",
        json.dumps(
            {
                "number": "4",
                "apply_id": "",
                "author": "",
                "applied_at": 0,
                "document": {},
            }
        ).encode(),
    ],
    ids=lambda value: repr(value[:40]),
)
def test_odd_revision_is_counted_as_invalid(value):
    configurer, _ = run([Item(REVISION_KEY, value, 1)])
    assert configurer.tracker.revision is None
