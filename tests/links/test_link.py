"""Requests to a peer over one connection."""

import eventlet
import eventlet.queue
import pytest

from merlinnotch._daemon.metrics import Metrics
from merlinnotch._links.link import PeerLink, PeerUnreachable
from merlinnotch._peers import (
    AnswerReply,
    FetchAnswer,
    decode_message,
    encode_message,
)


class PeerSocket:
    """A peer in memory that takes as many seconds as a request says."""

    def __init__(self):
        self.closed = False
        self._queue = eventlet.queue.LightQueue()

    def send(self, data):
        """Take a request."""
        correlation, request = decode_message(data)
        reply = encode_message(AnswerReply(True, request.key), correlation)
        eventlet.spawn_after(request.wait_s, self._queue.put, reply)

    def close(self):
        """End the connection."""
        self.closed = True
        self._queue.put(None)

    def __iter__(self):
        return iter(self._queue.get, None)


@pytest.fixture
def sockets():
    return []


@pytest.fixture
def link(sockets, monkeypatch):
    def connect(link):
        sockets.append(PeerSocket())
        return sockets[-1]

    monkeypatch.setattr(PeerLink, "_connect", connect)
    return PeerLink("10.0.0.1:7070", "a key of all peers", "10.0.0.2", Metrics())


def test_a_request_without_a_reply_in_time_leaves_the_others_waiting(link, sockets):
    # A booking that was repeated waits for the entry that runs it; what that entry
    # does not answer within a second meanwhile must not end the wait.
    patient = eventlet.spawn(link.request, FetchAnswer(b"long", 0.5), 5.0)
    eventlet.sleep(0.05)
    with pytest.raises(PeerUnreachable):
        link.request(FetchAnswer(b"short", 3.0), 0.1)
    assert patient.wait().answer == b"long"
    eventlet.sleep(0.05)
    assert sockets[0].closed


def test_after_a_silent_request_the_next_one_has_a_connection_of_its_own(link, sockets):
    with pytest.raises(PeerUnreachable):
        link.request(FetchAnswer(b"silent", 3.0), 0.1)
    assert link.request(FetchAnswer(b"next", 0.0), 2.0).answer == b"next"
    assert len(sockets) == 2


def test_all_who_wait_are_told_when_the_connection_ends(link):
    waiting = eventlet.spawn(link.request, FetchAnswer(b"long", 3.0), 5.0)
    eventlet.sleep(0.05)
    link.close()
    with pytest.raises(PeerUnreachable):
        waiting.wait()
