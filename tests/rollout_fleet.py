"""Rollout controllers of a fleet on a simulated clock, without sockets."""

import collections
import random

from merlinnotch._entry.process import _decode_entry
from merlinnotch._entry.rollout_controller import POLL_INTERVAL_S, RolloutController
from merlinnotch._errors import StoreConflict, StoreError
from merlinnotch._fleet import PeerAddress, RolloutOrder, Upstream
from merlinnotch._fleet.mirror import KeyChange
from merlinnotch._fleet.view import FleetView
from merlinnotch._rollout import AnswerCounts, Schedule, TallyKey, VersionChooser
from merlinnotch._store import Item

SERVICE = "app"
ORDER_INDEX = 5
TICK_S = 0.05
MESSAGE_DELAY_S = 0.01
MAX_BAD_ANSWERS = 50
ROLLBACK_S = 5.0
STABLE_S = 3.0
ALLOWED_SHARE = 0.15
ALLOWED_SLACK = 30.0
UPSTREAMS_PER_VERSION = 4


class Store:
    """A store whose writes reach the views of all connected instances."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._items = {}
        self._index = ORDER_INDEX

    def swap(self, key, value, index):
        """Write on the condition that the key was last written at *index*."""
        item = self._items.get(key)
        if (item.modify_index if item else 0) != index:
            raise StoreConflict(key)
        self._index += 1
        self._items[key] = item = Item(key, value, self._index)
        for instance in self._fleet.instances.values():
            if not instance.is_store_lost:
                instance.apply([item])

    def list_items(self):
        """Return all items."""
        return list(self._items.values())


class Transport:
    """Delivers messages to the instances at their addresses, some of them never."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.handlers = {}

    def handle(self, kind, handler):
        """Register the handler of a kind."""
        self.handlers[kind] = handler

    def send(self, kind, body, addresses):
        """Send to *addresses*."""
        for address in addresses:
            if self._fleet.generator.random() >= self._fleet.loss:
                self._fleet.deliver_later(kind, body, address)
        return True


class Instance:
    """One instance: its view, its controller and its counts.

    *items* are the items of the store that it reads at its start. With
    *is_store_lost* it reads and writes nothing later.
    """

    def __init__(self, fleet, name, number, items, is_store_lost):
        self.name = name
        self.is_store_lost = is_store_lost
        self.fleet = fleet
        self.started_at = fleet.now
        self.view = FleetView(_decode_entry)
        for peer in fleet.names:
            address = PeerAddress(peer, "zone-a", f"{peer}:1")
            self.view.peer_directory.mark_present(address)
        self.view._upstreams[SERVICE] = {
            f"{version}-{n}": Upstream(
                f"{version}-{n}", SERVICE, "h:1", "z", version, 6
            )
            for version in ("v1", "v2")
            for n in range(UPSTREAMS_PER_VERSION)
        }
        self.counts = AnswerCounts.start(f"{name}/{number}")
        self.transport = Transport(fleet)
        self.chooser = VersionChooser(fleet.generator)
        rollout = self.view.get_rollout(SERVICE)
        rollout.update(fleet.order, fleet.now)
        self.apply(items)
        self.controller = RolloutController(
            self,
            self.view,
            self.counts,
            self.transport,
            Schedule(ALLOWED_SHARE, ALLOWED_SLACK),
            name,
            lambda: fleet.now,
        )
        self.next_poll_at = fleet.now + fleet.generator.random() * POLL_INTERVAL_S

    @property
    def rollout(self):
        """The rollout as this instance knows it."""
        return self.view.get_rollout(SERVICE)

    def apply(self, items):
        """Apply items of the store."""
        key_changes = [KeyChange(item.key, item) for item in items]
        self.view.apply(key_changes, self.fleet.now)

    def swap(self, key, value, index):
        """Write to the store, unless it is lost to this instance."""
        if self.is_store_lost:
            raise StoreError("unreachable")
        self.fleet.store.swap(key, value, index)

    def poll(self, now):
        """Run the controller if it is due."""
        if now < self.next_poll_at:
            return
        self.next_poll_at = now + POLL_INTERVAL_S
        for service, rollout in self.view.list_active_rollouts():
            try:
                self.controller._reconcile(service, rollout, now)
            except StoreError:
                continue


class SimulatedFleet:
    """Instances that send requests to a service during a rollout.

    *background* returns the rate at which all versions fail at a time, *fault_rate* is
    the fraction of its other answers that the new version fails from *fault_from* on.
    *rates* are the requests per second of each route.
    """

    def __init__(
        self,
        size,
        rates,
        background,
        fault_rate,
        seed=1,
        period_s=22.0,
        loss=0.0,
        fault_from=0.0,
    ):
        self.generator = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.names = [f"name-{number}" for number in range(size)]
        self.order = RolloutOrder(SERVICE, "v2", period_s, ORDER_INDEX)
        self._rates = rates
        self._background = background
        self._fault_rate = fault_rate
        self._fault_from = fault_from
        self._messages = collections.deque()
        self._answers = collections.deque()
        self._started = 0
        self.sent = collections.Counter()
        self.bad_at = []
        self.late_requests = 0
        self.store = Store(self)
        self.instances = {}
        for name in self.names:
            self.restart(name)

    @property
    def state(self):
        """The state of the rollout in the store, by an instance that reaches it."""
        return str(next(iter(self.instances.values())).rollout.state)

    def restart(self, name, items=None, is_store_lost=False):
        """Start *name*, or kill it and start it again without its counts."""
        self._started += 1
        items = self.store.list_items() if items is None else items
        self.instances[name] = Instance(self, name, self._started, items, is_store_lost)

    def restart_all(self):
        """Kill all instances and start them again."""
        for name in self.names:
            self.restart(name)

    def run(self, seconds, at_times=()):
        """Run for *seconds*; *at_times* are (time, action) pairs."""
        actions = collections.deque(sorted(at_times, key=lambda pair: pair[0]))
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            while actions and actions[0][0] <= self.now:
                actions.popleft()[1](self)
            self._deliver()
            self._send_requests()
            self._count_answers()
            for instance in list(self.instances.values()):
                instance.poll(self.now)

    def deliver_later(self, kind, body, address):
        """Deliver a message after its delay."""
        name = address.partition(":")[0]
        self._messages.append((self.now + MESSAGE_DELAY_S, kind, body, name))

    def _deliver(self):
        while self._messages and self._messages[0][0] <= self.now:
            _, kind, body, name = self._messages.popleft()
            self.instances[name].transport.handlers[kind](body)

    def _send_requests(self):
        for route, rate in self._rates.items():
            for _ in range(_draw_poisson(self.generator, rate * TICK_S)):
                self._send_request(route)

    def _send_request(self, route):
        instance = self.instances[self.generator.choice(self.names)]
        accepts = instance.chooser.choose(SERVICE, instance.rollout, None)
        version = "v2" if accepts[0]("v2") and not accepts[0]("v1") else "v1"
        self.sent[version] += 1
        if version == "v2" and self._is_late(instance):
            self.late_requests += 1
        is_faulty = version == "v2" and self.now >= self._fault_from
        fault_rate = self._fault_rate if is_faulty else 0.0
        good_rate = (1 - self._background(self.now)) * (1 - fault_rate)
        is_bad = self.generator.random() >= good_rate
        if version == "v2" and is_bad:
            self.bad_at.append(self.now)
        self._answers.append((self.now + TICK_S, instance, version, route, is_bad))

    def _is_late(self, instance):
        """Return whether *instance* should have stopped sending to the bad version."""
        return (
            len(self.bad_at) >= MAX_BAD_ANSWERS
            and self.now - instance.started_at > STABLE_S
            and self.now > self.bad_at[MAX_BAD_ANSWERS - 1] + ROLLBACK_S
        )

    def _count_answers(self):
        while self._answers and self._answers[0][0] <= self.now:
            _, instance, version, route, is_bad = self._answers.popleft()
            if instance.rollout.is_active:
                key = TallyKey(SERVICE, version, route, ORDER_INDEX)
                instance.counts.tallies.count(key, is_bad)


def _draw_poisson(generator, mean):
    count = 0
    remaining = generator.expovariate(1.0)
    while remaining < mean:
        count += 1
        remaining += generator.expovariate(1.0)
    return count
