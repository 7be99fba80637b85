"""HTTP calls between instances that transfer state of the store."""

import dataclasses
import logging
import math
import random
import zlib

import cbor2
import eventlet
import eventlet.queue

from .._cbor import decode_cbor
from .._errors import ConnectFailed, ConnectionBroken, MalformedMessage
from .._fleet.mirror import MirrorUpdate
from .._http import UpstreamConnection
from .._store import Item, get_revision

logger = logging.getLogger("merlinnotch")

CONNECT_TIMEOUT_S = 0.3
CALL_TIMEOUT_S = 0.8
EXTRA_BODY_TIMEOUT_S = 1.5
"""Additional time for the body. Several instances may fetch over a slow link at once,
and each one that gives up requests the full state from another peer."""
MAX_STATE_BYTES = 8 << 20
PEERS_PER_ROUND = 2
"""Peers asked per round; unless most of the fleet is cut off, one of two has recent
state."""
OK = 200
NOT_FOUND = 404
STATE_PATH = "/state"
ENCODING = "deflate"
"""Configurations repeat field names and values in each route. Peers of earlier releases
send and get states without it."""
COMPRESSION_LEVEL = 1


class PeerClient:
    """Client for the peers in the view. Peers that fail are skipped."""

    def __init__(self, name, view, read_clock, metrics, generator=random):
        self._name = name
        self._view = view
        self._read_clock = read_clock
        self._metrics = metrics
        self._generator = generator

    def fetch_newer(self, index):
        """Yield the :class:`MirrorUpdate` after *index* of some peers, as they arrive.

        A peer that doesn't respond delays no other one.
        """
        responses = eventlet.queue.LightQueue()
        peers = self._sample_peers(PEERS_PER_ROUND)
        for peer in peers:
            eventlet.spawn_n(self._fetch_into, responses, peer, index)
        for _ in peers:
            update = responses.get()
            if update is not None and update.index > index:
                yield update

    def fetch_from(self, address, index, until):
        """Return the changes after *index* from the peer at *address*, or None.

        *until* is when the call ends at the latest.
        """
        peers_by_address = {p.address: p for p in self._view.peers.values()}
        peer = peers_by_address.get(address)
        if peer is None or until <= self._read_clock():
            return None
        return self._fetch(peer, index, until)

    def _fetch_into(self, responses, peer, index):
        update = None
        try:
            update = self._fetch(peer, index)
        finally:
            responses.put(update)

    def _fetch(self, peer, index, until=math.inf):
        try:
            data = self._call(peer, "GET", f"{STATE_PATH}?since={index}", until)
            return None if data is None else decode_mirror_update(data)
        except (ValueError, TypeError) as error:
            fields = {"peer": peer.name, "reason": str(error)}
            logger.warning("invalid state from peer", extra=fields)
            return None

    def _sample_peers(self, count):
        candidates = [p for p in self._view.peers.values() if p.name != self._name]
        return self._generator.sample(candidates, min(count, len(candidates)))

    def _call(self, peer, method, path, until):
        self._metrics.peer_calls.labels(path.partition("?")[0]).inc()
        deadline = min(until, self._read_clock() + CALL_TIMEOUT_S)
        connection = None
        try:
            connection = UpstreamConnection(
                peer.address, self._read_clock, CONNECT_TIMEOUT_S
            )
            headers = [("host", peer.address), ("accept-encoding", ENCODING)]
            connection.send_request(method, path, headers, b"", deadline)
            head = connection.read_head(deadline)
            deadline = min(until, deadline + EXTRA_BODY_TIMEOUT_S)
            data = connection.read_body(deadline, MAX_STATE_BYTES)
        except (ConnectFailed, ConnectionBroken, MalformedMessage) as error:
            fields = {"peer": peer.name, "reason": str(error)}
            logger.info("call to peer failed", extra=fields)
            return None
        finally:
            if connection is not None:
                connection.close()
        if head.status != OK:
            return None
        if head.fields.has_token("content-encoding", ENCODING):
            return _decompress(data)
        return data


class StateEndpoint:
    """Request handler that serves the mirror's state to peers.

    The latest compressed state is kept, as all followers of a watcher ask for it.
    """

    def __init__(self, mirror):
        self._mirror = mirror
        self._compressed = b""
        self._compressed_range = None

    def respond(self, request):
        """Return status, header fields and body."""
        path, _, query = request.target.partition("?")
        if path != STATE_PATH:
            return NOT_FOUND, [], b""
        name, _, since = query.partition("=")
        if name == "since" and since.isdecimal():
            if request.fields.has_token("accept-encoding", ENCODING):
                pairs = [("content-encoding", ENCODING)]
                return OK, pairs, self._export_compressed(int(since))
            return OK, [], encode_mirror_update(self._mirror.export(int(since)))
        # Earlier releases know no eras.
        return OK, [], encode_mirror_update(_remove_eras(self._mirror.export(0)))

    def _export_compressed(self, since):
        """Return the compressed changes after the index *since*."""
        exported_range = (since, self._mirror.index)
        if self._compressed_range != exported_range:
            data = encode_mirror_update(self._mirror.export(since))
            self._compressed = zlib.compress(data, COMPRESSION_LEVEL)
            self._compressed_range = exported_range
        return self._compressed


def _decompress(data):
    """Return the decompressed *data*; raises ValueError if that fails."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_STATE_BYTES)
    except zlib.error as error:
        raise ValueError(f"invalid compressed state: {error}") from error
    if not decompressor.eof:
        raise ValueError("compressed state is cut off or too large")
    return content


def _remove_eras(update):
    """Return a :class:`MirrorUpdate` with revisions in place of indexes."""
    items = [
        dataclasses.replace(item, modify_index=get_revision(item.modify_index))
        for item in update.items
    ]
    return MirrorUpdate(get_revision(update.index), tuple(items), update.keys)


def encode_mirror_update(update):
    """Return a :class:`MirrorUpdate` encoded as CBOR."""
    items = [[i.key, i.value, i.modify_index] for i in update.items]
    return cbor2.dumps([update.index, items, list(update.keys)])


def decode_mirror_update(data):
    """Return the decoded :class:`MirrorUpdate`; raises ValueError or TypeError."""
    index, items, keys = decode_cbor(data)
    return MirrorUpdate(index, tuple(Item(*row) for row in items), tuple(keys))
