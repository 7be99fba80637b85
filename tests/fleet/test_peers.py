"""Peers that are present, cut off or gone."""

import pytest

from merlinnotch._fleet import PeerAddress
from merlinnotch._fleet.peers import (
    ABSENT_PEER_TTL_S,
    KNOWN_PEER_TTL_S,
    PeerDirectory,
)


@pytest.fixture
def directory():
    directory = PeerDirectory()
    for name in ("one", "two"):
        directory.mark_present(PeerAddress(name, "zone-a", "10.0.0.1:1"))
    directory.mark_absent("two", 100.0)
    return directory


def test_absent_peer_is_recent_for_a_lease_and_known_for_longer(directory):
    def list_recent(now):
        return sorted(peer.name for peer in directory.list_recent("zone-a", now))

    assert list_recent(100.0 + ABSENT_PEER_TTL_S - 1) == ["one", "two"]
    assert list_recent(100.0 + ABSENT_PEER_TTL_S + 1) == ["one"]
    assert directory.list_known_names(100.0 + KNOWN_PEER_TTL_S - 1) == {"one", "two"}
    assert directory.list_known_names(100.0 + KNOWN_PEER_TTL_S + 1) == {"one"}


def test_peer_that_is_absent_again_is_known_from_then_on(directory):
    directory.mark_absent("one", 200.0)
    directory.mark_present(PeerAddress("two", "zone-a", "10.0.0.1:1"))
    directory.mark_absent("two", 300.0)
    assert directory.list_known_names(200.0 + KNOWN_PEER_TTL_S + 1) == {"two"}
