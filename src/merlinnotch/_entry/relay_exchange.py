"""Messages by which instances find peers that relay requests for them."""

import eventlet
from eventlet.event import Event

from .._relay import RelayAnswer, RelayPeer, RelayQuestion
from .datagrams import MessageKind

ASK_INTERVAL_S = 0.25
NEED_TTL_S = 2.0
"""How long peers are asked after the last request that needed one."""
FIRST_ANSWER_TIMEOUT_S = 0.15
"""How long the first request waits for an answer. Peers are some milliseconds away."""
MAX_NEAR_PEERS = 8
MAX_FAR_PEERS = 8
"""Peers of the own zone and of others that are asked at a time."""


class RelayExchange:
    """Asks peers which services they reach, while requests need them.

    *service_checker*, a :class:`ServiceChecker`, answers the questions of others.
    *count_in_flight* returns the number of requests in progress. *relay_peers* is a
    :class:`RelayPeers`, *address* where this instance receives datagrams.
    """

    def __init__(
        self,
        transport,
        name,
        address,
        zone,
        view,
        read_clock,
        relay_peers,
        generator,
    ):
        self._transport = transport
        self._name = name
        self._address = address
        self._zone = zone
        self._view = view
        self._read_clock = read_clock
        self._relay_peers = relay_peers
        self._generator = generator
        self._needed_at = {}
        self._first_asked_at = {}
        self._used_names = {}
        self._answered = Event()
        self.service_checker = None
        self.count_in_flight = lambda: 0
        self.accepts_relays = lambda: False
        transport.handle(MessageKind.RELAY_QUESTION, self._handle_question)
        transport.handle(MessageKind.RELAY_ANSWER, self._handle_answer)

    def find_peer(self, service, excluded_names):
        """Return a :class:`RelayPeer` that reaches *service*, or None.

        Waits for the first answers if no peer has been asked lately.
        """
        now = self._read_clock()
        if service not in self._needed_at:
            self._first_asked_at[service] = now
            self._ask((service,))
        self._needed_at[service] = now
        wait_until = self._first_asked_at[service] + FIRST_ANSWER_TIMEOUT_S
        while True:
            now = self._read_clock()
            peer = self._relay_peers.choose(service, excluded_names, now)
            if peer is not None or now >= wait_until:
                return peer
            with eventlet.Timeout(wait_until - now, False):
                self._answered.wait()

    def record_failure(self, name):
        """Record that the peer *name* could not relay a request."""
        self._relay_peers.record_failure(name, self._read_clock())

    def keep_asking(self, peer, service):
        """Go on asking *peer*, which relays a request to *service*."""
        now = self._read_clock()
        self._first_asked_at.setdefault(service, now)
        self._needed_at[service] = now
        self._used_names[peer.name] = now

    def is_alive(self, peer):
        """Return whether *peer* has answered lately, if it is asked."""
        return self._relay_peers.is_alive(peer.name, self._read_clock())

    def run(self):
        """Ask peers while requests need them, until the process ends."""
        while True:
            eventlet.sleep(ASK_INTERVAL_S)
            now = self._read_clock()
            _drop_old(self._needed_at, now)
            _drop_old(self._used_names, now)
            if self._needed_at:
                self._ask(tuple(self._needed_at))

    def _ask(self, services):
        question = RelayQuestion(self._address, services)
        body = [question.address, list(question.services)]
        self._transport.send(
            MessageKind.RELAY_QUESTION, body, self._list_asked_addresses()
        )

    def _list_asked_addresses(self):
        peers = [p for p in self._view.list_present_peers() if p.name != self._name]
        near = [peer for peer in peers if peer.zone == self._zone]
        far = [peer for peer in peers if peer.zone != self._zone]
        asked = [
            *self._sample(near, MAX_NEAR_PEERS),
            *self._sample(far, MAX_FAR_PEERS),
            *(peer for peer in peers if peer.name in self._used_names),
        ]
        return {peer.address for peer in asked}

    def _sample(self, peers, count):
        return self._generator.sample(peers, min(count, len(peers)))

    def _handle_question(self, body):
        address, services = body
        question = RelayQuestion(address, tuple(services))
        # A check may have to wait for a connection.
        eventlet.spawn_n(self._answer, question)

    def _answer(self, question):
        """Answer *question*; without services, that this instance is alive."""
        reached = []
        if self.accepts_relays():
            reached = [s for s in question.services if self.service_checker.reaches(s)]
        answer = RelayAnswer(self._name, tuple(reached), self.count_in_flight())
        body = [answer.name, list(answer.services), answer.in_flight]
        self._transport.send(MessageKind.RELAY_ANSWER, body, [question.address])

    def _handle_answer(self, body):
        name, services, in_flight = body
        answer = RelayAnswer(name, tuple(services), in_flight)
        peer = self._view.peers.get(answer.name)
        if peer is None:
            return
        self._relay_peers.record_answer(
            RelayPeer(
                peer.name,
                peer.zone,
                peer.address,
                frozenset(answer.services),
                answer.in_flight,
                self._read_clock(),
            )
        )
        answered, self._answered = self._answered, Event()
        answered.send(True)


def _drop_old(times, now):
    for key, at in list(times.items()):
        if now - at > NEED_TTL_S:
            del times[key]
