"""Environment of a soak: store, upstreams, proxies and instance processes."""

import random
import signal
import tempfile

import eventlet

from merlinnotch._entry.clock import read_clock
from standins.platform_store import StandInStore
from tests.platform_world import make_configuration

from .callers import DeadlyPartCaller, OnceCaller, PoisonCaller, SoakCaller
from .faults import FaultInjector, plan_all_faults
from .history import History, find_violations
from .instances import Instance
from .proxy import Proxy
from .upstreams import SLOTS, SoakUpstream

NARROW_LINK_MBPS = 0.1
"""The first instance refuses new connections now and then, as its link is full."""
STARTUP_S = 2.0
"""Time in which instances that have started learn of each other."""
MAX_STARTUP_S = 60.0
SETTLE_S = 7.0
"""Wait after the last fault: the longest caller deadline plus the shutdown grace."""
UPSTREAMS = (("app", 3), ("engines", 3))
CALLERS_PER_INSTANCE = 3
ONCE_CALLERS_PER_INSTANCE = 6
REPLACEMENT_DELAY_S = 1.5
"""Time from the crash of an upstream to the start of its replacement."""


class SoakWorld:
    """Store, upstreams and instances of one soak; *seed* seeds all random choices.

    With an odd seed the instances make all decisions under load, and the upstreams
    report theirs.
    """

    def __init__(self, seed, instances=5, folder=None):
        self.generator = random.Random(seed)
        self._decides_under_load = seed % 2 == 1
        self._notice_generator = random.Random(f"notices {seed}")
        self._limit_generator = random.Random(f"limits {seed}")
        self._restore_generator = random.Random(f"restores {seed}")
        self._repeat_generator = random.Random(f"repeats {seed}")
        self._poison_generator = random.Random(f"poison {seed}")
        self.history = History()
        self.store = StandInStore()
        self.upstreams = []
        self.proxies = []
        self.folder = folder or tempfile.mkdtemp(prefix="soak-")
        self._upstream_count = 0
        self._once_caller_count = 0
        self._config_version = 0
        self._configuration = None
        self._entries = {}
        self.rotate_keys()
        for service, count in UPSTREAMS:
            for _ in range(count):
                self._add_upstream(service)
        self.instances = [self._make_instance(n, seed) for n in range(instances)]

    def run(self, duration_s):
        """Run for *duration_s* seconds; return a message for each violation."""
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            instance.wait_until_started(MAX_STARTUP_S)
        eventlet.sleep(STARTUP_S)
        started_at = read_clock()
        callers = [
            eventlet.spawn(self._make_caller(n).run, started_at + duration_s + 1.0)
            for n in range(CALLERS_PER_INSTANCE * len(self.instances))
        ]
        poison = PoisonCaller(
            "poison", self.instances, self.history, self._poison_generator
        )
        deadly = DeadlyPartCaller(
            "deadly", self.instances, self.history, self._poison_generator
        )
        for caller in (poison, deadly):
            callers.append(eventlet.spawn(caller.run, started_at + duration_s + 1.0))
        watcher = eventlet.spawn(self._restart_exited)
        injector = FaultInjector(self)
        injections = []
        for fault in plan_all_faults(
            self.generator,
            self._notice_generator,
            self._limit_generator,
            self._restore_generator,
            self._repeat_generator,
            duration_s,
        ):
            eventlet.sleep(max(0.0, started_at + fault.at_s - read_clock()))
            injections.append(eventlet.spawn(injector.inject, fault))
        for thread in [*injections, *callers]:
            thread.wait()
        eventlet.sleep(SETTLE_S)
        watcher.kill()
        for instance in self.instances:
            for send in instance.list_sends():
                self.history.senders[send].add(instance.name)
        return find_violations(self.history)

    def close(self):
        """Stop all processes and servers of the soak."""
        for instance in self.instances:
            if instance.process is not None:
                instance.send(signal.SIGCONT)
                instance.stop(signal.SIGKILL)
            instance.store_proxy.close()
        for resource in [*self.proxies, *self.upstreams, self.store]:
            resource.close()

    def rotate_keys(self):
        """Write a configuration that drops the older key and adds a new one."""
        self._config_version += 1
        keys = [f"key-{self._config_version}", f"key-{self._config_version + 1}"]
        self._configuration = make_configuration(self._config_version, keys)
        self.store.put("op/config", self._configuration)
        self.history.key_versions.append((read_clock(), keys))

    def write_again(self):
        """Write what the operator and the upstreams wrote, after a restore."""
        self.store.put("op/config", self._configuration)
        for key in [k for k in self.store.items if k.startswith("servers/")]:
            if key not in self._entries:
                self.store.delete(key)
        for key, entry in self._entries.items():
            entry["seq"] += 1
            self.store.put(key, entry)

    def run_once_callers(self, deadline):
        """Let further callers send requests that may run once until *deadline*."""
        threads = []
        for _ in range(ONCE_CALLERS_PER_INSTANCE * len(self.instances)):
            self._once_caller_count += 1
            caller = OnceCaller(
                f"o{self._once_caller_count}",
                self.instances,
                self.history,
                random.Random(self._repeat_generator.random()),
            )
            threads.append(eventlet.spawn(caller.run, deadline))
        for thread in threads:
            thread.wait()

    def replace_upstream(self, upstream):
        """Add a replacement for an upstream, then drain and remove it."""
        if upstream not in self.upstreams:
            return
        self._add_upstream(upstream.service)
        self._register_upstream(upstream, "draining")
        self.history.drained_at[upstream.id] = read_clock()
        self.upstreams.remove(upstream)
        eventlet.sleep(3.0)
        self._delete_entry(upstream)
        eventlet.sleep(3.0)
        upstream.close()

    def _handle_crash(self, upstream):
        """Close a crashed upstream and its proxy, and schedule a replacement."""
        if upstream not in self.upstreams:
            return
        self.upstreams.remove(upstream)
        upstream.crash()
        upstream.proxy.close()
        eventlet.spawn_n(self._replace_crashed, upstream)

    def _replace_crashed(self, upstream):
        eventlet.sleep(REPLACEMENT_DELAY_S)
        self._delete_entry(upstream)
        self._add_upstream(upstream.service)

    def _add_upstream(self, service):
        self._upstream_count += 1
        upstream = SoakUpstream(
            f"i-{self._upstream_count}",
            self.history,
            self.generator,
            self._repeat_generator,
            service == "engines",
            self._handle_crash,
        )
        upstream.service = service
        upstream.reports_load = self._decides_under_load
        host, _, port = upstream.address.partition(":")
        upstream.proxy = Proxy(upstream.id, (host, int(port)))
        self.proxies.append(upstream.proxy)
        self.upstreams.append(upstream)
        self._register_upstream(upstream, "ready")

    def _register_upstream(self, upstream, state):
        entry = {
            "service": upstream.service,
            "address": upstream.proxy.address,
            "zone": f"zone-{self._upstream_count % 2}",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold-left-ms": 0,
            "seq": 0,
        }
        key = f"servers/{upstream.id}"
        if key in self._entries:
            entry["seq"] = self._entries[key]["seq"] + 1
        self._entries[key] = entry
        self.store.put(key, entry)

    def _delete_entry(self, upstream):
        key = f"servers/{upstream.id}"
        self._entries.pop(key, None)
        self.store.delete(key)

    def _make_instance(self, number, seed):
        host, _, port = self.store.address.partition(":")
        name = f"one-{number}"
        store_proxy = Proxy(name, (host, int(port)))
        instance_host = f"127.{20 + seed % 200}.{number // 200}.{1 + number % 200}"
        zone = f"zone-{number % 2}"
        link_mbps = NARROW_LINK_MBPS if number == 0 else 0.0
        contracts = ("pressure",) if self._decides_under_load else ()
        return Instance(
            name, instance_host, zone, store_proxy, self.folder, link_mbps, contracts
        )

    def _make_caller(self, number):
        generator = random.Random(self.generator.random())
        return SoakCaller(f"c{number}", self.instances, self.history, generator)

    def _restart_exited(self):
        while True:
            eventlet.sleep(0.2)
            for instance in self.instances:
                if instance.has_exited_unexpectedly():
                    self.history.unexpected_exits.append(instance.name)
                    instance.start()
