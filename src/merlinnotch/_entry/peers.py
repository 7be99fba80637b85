"""Calls between instances: newer state when the store is lost, and tallies."""

import logging
import random
from dataclasses import dataclass

import cbor2
import eventlet

from .._errors import ConnectFailed, ConnectionBroken, MalformedMessage
from .._fleet.mirror import MirrorPart
from .._http import UpstreamConnection, call
from .._rollout import Tally, TallyKey
from .._store import Item

logger = logging.getLogger("merlinnotch")

CONNECT_S = 0.3
CALL_S = 0.8
MAX_BYTES = 8 << 20
ASKED_AT_ONCE = 2
"""Peers asked in one round; two of a fleet know the news unless most are cut."""
TOLD_AT_ONCE = 3
OK = 200
NOT_FOUND = 404
PATH_STATE = "/state"
PATH_ROLLOUT = "/rollout"


@dataclass(frozen=True)
class RolloutNews:
    """What one instance tells another of a service's roll-out.

    *tallies* are (key, incarnation, tally), *sessions* are (session, version,
    seconds) for sessions that have to stay on their version that long.
    """

    service: str
    tallies: list
    sessions: list


class PeerClient:
    """Calls peers that the view lists. A peer that fails is only skipped."""

    def __init__(self, name, view, read_clock, metrics, generator=random):
        self._name = name
        self._view = view
        self._read_clock = read_clock
        self._metrics = metrics
        self._generator = generator

    def fetch_newer(self, index):
        """Return the newest :class:`MirrorPart` of a few peers, or None."""
        pile = eventlet.GreenPile(ASKED_AT_ONCE)
        for peer in self._pick(ASKED_AT_ONCE):
            pile.spawn(self._fetch, peer, index)
        parts = [part for part in pile if part is not None and part.index > index]
        return max(parts, key=lambda part: part.index, default=None)

    def fetch_from(self, address, index):
        """Return what the peer at *address* has after *index*, or None."""
        known = {p.address: p for p in self._view.peers.values()}
        peer = known.get(address)
        return None if peer is None else self._fetch(peer, index)

    def send_rollout(self, news):
        """Tell a few peers what is known of a roll-out."""
        data = encode_news(news)
        for peer in self._pick(TOLD_AT_ONCE):
            eventlet.spawn_n(self._call, peer, "POST", PATH_ROLLOUT, data)

    def _fetch(self, peer, index):
        data = self._call(peer, "GET", f"{PATH_STATE}?after={index}")
        if data is None:
            return None
        try:
            return decode_part(data)
        except (ValueError, TypeError) as error:
            fields = {"peer": peer.name, "reason": str(error)}
            logger.warning("peer sent no state", extra=fields)
            return None

    def _pick(self, count):
        others = [p for p in self._view.peers.values() if p.name != self._name]
        return self._generator.sample(others, min(count, len(others)))

    def _call(self, peer, method, path, body=b""):
        self._metrics.peer_calls.labels(path.partition("?")[0]).inc()
        until = self._read_clock() + CALL_S
        connection = None
        try:
            connection = UpstreamConnection(peer.address, self._read_clock, CONNECT_S)
            pairs = [("host", peer.address)]
            head, data = call(connection, method, path, pairs, body, until, MAX_BYTES)
        except (ConnectFailed, ConnectionBroken, MalformedMessage) as error:
            fields = {"peer": peer.name, "reason": str(error)}
            logger.info("peer not reached", extra=fields)
            return None
        finally:
            if connection is not None:
                connection.close()
        return data if head.status == OK else None


class PeerPages:
    """Answers the calls of peers."""

    def __init__(self, mirror, book, sessions, read_clock):
        self._mirror = mirror
        self._book = book
        self._sessions = sessions
        self._read_clock = read_clock

    def respond(self, request):
        """Return status, fields and body."""
        path, _, query = request.target.partition("?")
        if path == PATH_STATE:
            after = query.partition("after=")[2]
            part = self._mirror.export(int(after) if after.isdigit() else 0)
            return OK, [], encode_part(part)
        if path == PATH_ROLLOUT:
            self._merge(request.body)
            return OK, [], b""
        return NOT_FOUND, [], b""

    def _merge(self, data):
        try:
            news = decode_news(data)
        except (ValueError, TypeError) as error:
            logger.warning("peer sent no news", extra={"reason": str(error)})
            return
        for key, incarnation, tally in news.tallies:
            self._book.merge(key, incarnation, tally)
        now = self._read_clock()
        for session, version, left_s in news.sessions:
            self._sessions.merge(news.service, session, version, left_s, now)


def encode_part(part):
    """Return a :class:`MirrorPart` in CBOR."""
    items = [[i.key, i.value, i.modify_index] for i in part.items]
    return cbor2.dumps([part.index, items, list(part.keys)])


def decode_part(data):
    """Return the :class:`MirrorPart`; raises ValueError or TypeError."""
    index, items, keys = cbor2.loads(data)
    return MirrorPart(index, tuple(Item(*row) for row in items), tuple(keys))


def encode_news(news):
    """Return :class:`RolloutNews` in CBOR."""
    tallies = [
        [key.service, key.version, key.route, key.order, incarnation]
        + [tally.answers, tally.bad, tally.slow]
        for key, incarnation, tally in news.tallies
    ]
    return cbor2.dumps([news.service, tallies, news.sessions])


def decode_news(data):
    """Return the :class:`RolloutNews`; raises ValueError or TypeError."""
    service, rows, sessions = cbor2.loads(data)
    tallies = [
        (TallyKey(name, version, route, order), incarnation, Tally(*counts))
        for name, version, route, order, incarnation, *counts in rows
    ]
    return RolloutNews(service, tallies, [tuple(row) for row in sessions])
