"""Latency and processor time of relayed requests, against direct ones.

Two instances run as processes. The first lists upstreams at addresses where nothing
listens, so it relays to the second. Run as ``python -m benchmarks.relay_cost``.
"""

import statistics
import tempfile
import types

import eventlet

from benchmarks.driver import read_cpu_s
from merlinnotch._entry.clock import read_clock
from merlinnotch._fleet import PeerAddress
from merlinnotch._fleet.records import encode_peer, peer_key
from soak.instances import Instance
from standins.platform_store import StandInStore
from standins.platform_upstream import (
    StandInUpstream,
    make_answer_script,
    make_stream_script,
)
from standins.ports import PortPicker
from tests.platform_world import PLAIN_PATH, STREAM_PATH, Caller, make_configuration

HOSTS = ("127.0.3.1", "127.0.3.2")
RATE_PER_S = 60.0
DURATION_S = 15.0
SETTLE_S = 3.0
BODY = b"x" * 20_000
EVENT_COUNT = 30
PORTS = PortPicker()


class Measurement:
    """Two instances, the first of which reaches no upstream."""

    def __init__(self):
        self._upstreams = {
            "app": StandInUpstream(make_answer_script(BODY)),
            "engines": StandInUpstream(make_stream_script(last=EVENT_COUNT)),
        }
        addresses = {name: u.address for name, u in self._upstreams.items()}
        dead = {name: PORTS.pick("127.0.0.1") for name in addresses}
        self._stores = [make_store(dead), make_store(addresses)]
        folder = tempfile.mkdtemp(prefix="relay-cost-")
        self._instances = [
            Instance(name, host, "zone-a", store, folder)
            for name, host, store in zip(
                ("origin", "peer"), HOSTS, self._stores, strict=True
            )
        ]
        self._introduce()
        for instance in self._instances:
            instance.start()
        eventlet.sleep(SETTLE_S)

    def close(self):
        """Stop all processes and servers."""
        for instance in self._instances:
            instance.stop(15)
        for server in [*self._stores, *self._upstreams.values()]:
            server.close()

    def measure(self, path, is_relayed):
        """Return latencies in seconds, and the core shares of origin and peer."""
        caller = make_caller(self._instances[0 if is_relayed else 1])
        pids = [instance.process.pid for instance in self._instances]
        cpu_s = [read_cpu_s(pid) for pid in pids]
        threads = []
        for _ in range(round(RATE_PER_S * DURATION_S)):
            threads.append(eventlet.spawn(time_request, caller, path))
            eventlet.sleep(1.0 / RATE_PER_S)
        latencies = [thread.wait() for thread in threads]
        used = [
            read_cpu_s(pid) - before for pid, before in zip(pids, cpu_s, strict=True)
        ]
        return latencies, [s / DURATION_S for s in used]

    def _introduce(self):
        """List each instance in the store of the other one."""
        for instance, store in zip(
            self._instances, reversed(self._stores), strict=True
        ):
            peer = PeerAddress(instance.name, "zone-a", instance.peer_address)
            store.put(peer_key(instance.name), encode_peer(peer))


def make_store(addresses):
    """Return a store with a configuration and one upstream a service."""
    store = StandInStore()
    store.put("op/config", make_configuration(1))
    for service, address in addresses.items():
        entry = {"service": service, "address": address, "zone": "zone-a", "seq": 0}
        entry |= {"version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0}
        store.put(f"servers/{service}", entry)
    return store


def make_caller(instance):
    """Return a :class:`Caller` of an instance process."""
    settings = types.SimpleNamespace(caller_address=instance.caller_address)
    process = types.SimpleNamespace(settings=types.SimpleNamespace(instance=settings))
    return Caller(process)


def time_request(caller, path):
    """Return the seconds until the whole response is read."""
    started_at = read_clock()
    answer = caller.send(path, "POST", b"x", x_deadline_ms="3000")
    if answer.status != 200:
        raise RuntimeError(f"status {answer.status}")
    return read_clock() - started_at


def main():
    """Print latencies and core shares of direct and relayed requests."""
    measurement = Measurement()
    try:
        for path in (PLAIN_PATH, STREAM_PATH):
            for is_relayed in (False, True):
                latencies, shares = measurement.measure(path, is_relayed)
                quantiles = statistics.quantiles(latencies, n=100)
                print(
                    f"{path:9} {'relayed' if is_relayed else 'direct':8}"
                    f" median {1000 * quantiles[49]:6.2f} ms"
                    f" p99 {1000 * quantiles[98]:6.2f} ms"
                    f" core origin {shares[0]:.3f} peer {shares[1]:.3f}"
                )
    finally:
        measurement.close()


if __name__ == "__main__":
    main()
