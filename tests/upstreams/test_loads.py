"""Load reports that can't be read."""

import json
import types

import pytest

from merlinnotch._daemon.metrics import Metrics
from merlinnotch._links.gossiper import LOAD
from merlinnotch._upstreams.loads import Loads

LOAD_REPORT = {"running": 3, "waiting": 1, "slots": 8, "versions": ["swift@v1"]}


@pytest.fixture
def loads(table, gossiper, notices, patient_clients):
    settings = types.SimpleNamespace(zone="zone-a", instance="entry")
    return Loads(settings, table, gossiper, Metrics(), lambda: None, notices)


def test_load_is_published(server, loads, upstream, gossiper):
    server.body = json.dumps(LOAD_REPORT).encode()
    loads.poll(upstream)
    assert gossiper.published[LOAD] == [("engine",)]
    assert (upstream.running, upstream.waiting, upstream.slots) == (3, 1, 8)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"{}",
        b"[" * 100_000,
        *(
            json.dumps(LOAD_REPORT | {name: value}).encode()
            for name in ("running", "waiting", "slots")
            for value in (None, -1, 10**400, [], "x")
        ),
        json.dumps(LOAD_REPORT | {"versions": 7}).encode(),
        json.dumps(LOAD_REPORT | {"versions": [None]}).encode(),
        json.dumps(LOAD_REPORT | {"versions": ["x" * 60_000]}).encode(),
    ],
    ids=lambda body: repr(body[:70]),
)
def test_load_that_cannot_be_read_is_not_published(
    server, loads, upstream, gossiper, body
):
    # A figure of 400 digits reached all instances.
    server.body = body
    loads.poll(upstream)
    assert gossiper.published[LOAD] == []
