"""Planning and injection of faults, which may overlap."""

import operator
import signal
from dataclasses import dataclass, replace

import eventlet

from merlinnotch._entry.clock import read_clock

from .proxy import ProxyMode
from .upstreams import FAILURES

FIRST_FAULT_S = 3.0
"""Time before the first fault, in which the instances discover each other."""
MEAN_INTERVAL_S = 0.7
MAX_DURATION_S = 3.0
RESTART_DELAY_S = 0.3
KINDS = (
    "configure",
    "cut_store",
    "cut_upstream",
    "drain",
    "hang_up",
    "kill",
    "pause",
    "reset_store",
    "reset_upstream",
    "spoil_store",
    "spoil_upstream",
    "stop",
)
"""Methods of :class:`FaultInjector`, without the underscore; a seed's plan depends on
the order."""
NOTICE_KINDS = ("leave", "rest")
"""Further methods, planned apart so that the plan of KINDS does not depend on them."""
LIMIT_KINDS = ("limit",)
"""Planned apart for the same reason."""
RESTORE_KINDS = ("restore_store",)
"""Planned apart for the same reason."""
REPEAT_KINDS = ("repeat", "crowd")
"""Planned apart for the same reason."""
MEAN_NOTICE_INTERVAL_S = 2.0
MEAN_LIMIT_INTERVAL_S = 4.0
MEAN_RESTORE_INTERVAL_S = 6.0
MEAN_REPEAT_INTERVAL_S = 1.0
RESTORE_OUTAGE_S = 0.5
LIMITS_PER_S = (0.5, 1.1, 2.7, 8.0)
LIMIT_CHANGES = (0.25, 2.0)
"""Factors by which a limit falls or rises while it is named."""
LIMIT_DURATION_FACTOR = 4.0
"""Limits last longer than other faults, as they are checked over several seconds."""
LEAVING_OUTAGE_S = 4.0
"""Time in which only answers say that an upstream is leaving, not its store entry."""
FAULT_MODES = (ProxyMode.STALL, ProxyMode.STALL_REPLIES, ProxyMode.DELAY)


@dataclass(frozen=True)
class Fault:
    """One planned fault; *at_s* is its start in seconds from the start of the soak.

    *kind* is one of KINDS, NOTICE_KINDS, LIMIT_KINDS, RESTORE_KINDS or REPEAT_KINDS.
    *target* selects the instance, proxy or upstream, modulo their number.
    """

    at_s: float
    kind: str
    target: int
    duration_s: float


def plan_faults(
    generator, soak_duration_s, kinds=KINDS, mean_interval_s=MEAN_INTERVAL_S
):
    """Return the list of :class:`Fault` of a soak, which depends only on the seed."""
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < soak_duration_s:
        kind = generator.choice(kinds)
        duration_s = generator.uniform(0.3, MAX_DURATION_S)
        faults.append(Fault(at_s, kind, generator.randrange(1000), duration_s))
        at_s += generator.expovariate(1.0 / mean_interval_s)
    return faults


def plan_all_faults(
    generator,
    notice_generator,
    limit_generator,
    restore_generator,
    repeat_generator,
    soak_duration_s,
):
    """Return the faults of all plans in the order of their start."""
    faults = plan_faults(generator, soak_duration_s)
    faults += plan_faults(
        notice_generator, soak_duration_s, NOTICE_KINDS, MEAN_NOTICE_INTERVAL_S
    )
    faults += plan_faults(
        limit_generator, soak_duration_s, LIMIT_KINDS, MEAN_LIMIT_INTERVAL_S
    )
    faults += plan_faults(
        restore_generator, soak_duration_s, RESTORE_KINDS, MEAN_RESTORE_INTERVAL_S
    )
    faults += plan_faults(
        repeat_generator, soak_duration_s, REPEAT_KINDS, MEAN_REPEAT_INTERVAL_S
    )
    return sorted(faults, key=operator.attrgetter("at_s"))


class FaultInjector:
    """Injects faults into *world*."""

    def __init__(self, world):
        self._world = world
        self._reserved = set()

    def inject(self, fault):
        """Inject *fault* and revert it after its duration."""
        getattr(self, f"_{fault.kind}")(fault)

    def _kill(self, fault):
        self._restart(fault, signal.SIGKILL)

    def _stop(self, fault):
        self._restart(fault, signal.SIGTERM)

    def _restart(self, fault, signal_number):
        instance = self._reserve_instance(fault)
        if instance is None:
            return
        history = self._world.history
        signalled_at = read_clock()
        instance.stop(signal_number)
        ended_at = read_clock()
        if signal_number is signal.SIGTERM:
            history.stops.append((instance.name, signalled_at, ended_at))
        eventlet.sleep(RESTART_DELAY_S)
        instance.start()
        history.record_fault(instance.name, signalled_at, read_clock() + 1.0)
        history.record_interruption(instance.name, signalled_at, read_clock())
        self._reserved.discard(instance.name)

    def _pause(self, fault):
        instance = self._reserve_instance(fault)
        if instance is None:
            return
        with self._record_span([instance]), self._record_interruption(instance):
            instance.send(signal.SIGSTOP)
            eventlet.sleep(fault.duration_s)
            instance.send(signal.SIGCONT)
        self._reserved.discard(instance.name)

    def _hang_up(self, fault):
        instance = self._select_target(self._world.instances, fault)
        instance.send(signal.SIGHUP)

    def _cut_store(self, fault):
        instance = self._select_target(self._world.instances, fault)
        with self._record_span([instance]):
            self._impair(instance.store_proxy, fault)

    def _impair(self, proxy, fault):
        proxy.mode = FAULT_MODES[fault.target % len(FAULT_MODES)]
        eventlet.sleep(fault.duration_s)
        proxy.mode = ProxyMode.FORWARD

    def _reset_store(self, fault):
        instance = self._select_target(self._world.instances, fault)
        with self._record_span([instance]):
            instance.store_proxy.reset()

    def _spoil_store(self, fault):
        store = self._world.store
        with self._record_span(self._world.instances):
            variant = fault.target % 4
            if variant == 0:
                store.compact()
            elif variant == 1:
                store.dropped_replies += 2
            elif variant == 2:
                store.status = 503
            else:
                store.is_unresponsive = True
            eventlet.sleep(fault.duration_s)
            store.status = None
            store.is_unresponsive = False
            store.dropped_replies = 0

    def _restore_store(self, fault):
        """Let the store come back from a copy that is *duration_s* old."""
        store = self._world.store
        with self._record_span(self._world.instances):
            store_copy = store.take_copy()
            eventlet.sleep(fault.duration_s)
            store.status = 503
            eventlet.sleep(RESTORE_OUTAGE_S)
            store.restore(store_copy)
            store.status = None
            self._world.write_again()

    def _cut_upstream(self, fault):
        proxy = self._select_target(self._world.proxies, fault)
        with self._record_interruption(proxy):
            self._impair(proxy, fault)

    def _reset_upstream(self, fault):
        proxy = self._select_target(self._world.proxies, fault)
        with self._record_interruption(proxy):
            proxy.reset()

    def _spoil_upstream(self, fault):
        upstream = self._select_target(self._world.upstreams, fault)
        upstream.failure = FAILURES[fault.target % len(FAILURES)]
        eventlet.sleep(fault.duration_s)
        upstream.failure = None

    def _drain(self, fault):
        upstream = self._select_target(self._world.upstreams, fault)
        self._world.replace_upstream(upstream)

    def _leave(self, fault):
        """Let an upstream leave while every other instance is cut from the store."""
        upstream = self._select_target(self._world.upstreams, fault)
        upstream.is_leaving = True
        instances = self._world.instances[fault.target % 2 :: 2]
        with self._record_span(instances):
            for instance in instances:
                instance.store_proxy.mode = ProxyMode.STALL
            eventlet.sleep(LEAVING_OUTAGE_S)
            for instance in instances:
                instance.store_proxy.mode = ProxyMode.FORWARD
        self._world.replace_upstream(upstream)

    def _rest(self, fault):
        """Let two upstreams turn requests away for a while."""
        for target in (fault.target, fault.target + 1):
            upstream = self._select_target(
                self._world.upstreams, replace(fault, target=target)
            )
            upstream.rests_until = read_clock() + fault.duration_s

    def _limit(self, fault):
        """Let an upstream name a limit that changes once and then ends."""
        upstream = self._select_target(self._world.upstreams, fault)
        if upstream.limit_per_s is not None:
            return
        limit_per_s = LIMITS_PER_S[fault.target % len(LIMITS_PER_S)]
        change = LIMIT_CHANGES[fault.target // 4 % len(LIMIT_CHANGES)]
        for per_s in (limit_per_s, change * limit_per_s):
            upstream.set_limit(per_s)
            eventlet.sleep(LIMIT_DURATION_FACTOR * fault.duration_s / 2.0)
        upstream.set_limit(None)

    def _repeat(self, fault):
        """Let every other upstream repeat some of its answers for a while."""
        until = read_clock() + fault.duration_s
        for upstream in self._world.upstreams[fault.target % 2 :: 2]:
            upstream.repeats_until = max(upstream.repeats_until, until)

    def _crowd(self, fault):
        """Let requests that may run once meet upstreams with few free slots."""
        until = read_clock() + fault.duration_s
        for upstream in self._world.upstreams:
            upstream.crowded_until = max(upstream.crowded_until, until)
        self._world.run_once_callers(until)

    def _configure(self, fault):
        self._world.rotate_keys()

    def _reserve_instance(self, fault):
        """Return the target instance, or None if another fault has stopped it."""
        instance = self._select_target(self._world.instances, fault)
        if instance.name in self._reserved:
            return None
        self._reserved.add(instance.name)
        return instance

    def _select_target(self, candidates, fault):
        return candidates[fault.target % len(candidates)]

    def _record_span(self, instances):
        return _RecordedSpan(self._world.history.fault_spans, instances)

    def _record_interruption(self, instance_or_proxy):
        interruptions = self._world.history.interruptions
        return _RecordedSpan(interruptions, [instance_or_proxy])


class _RecordedSpan:
    """Context manager that records a span in *spans* for each of *targets*."""

    def __init__(self, spans, targets):
        self._spans = spans
        self._names = [target.name for target in targets]

    def __enter__(self):
        self._start = read_clock()
        for name in self._names:
            self._spans[name].append((self._start, float("inf")))

    def __exit__(self, *exc_info):
        for name in self._names:
            self._spans[name].remove((self._start, float("inf")))
            self._spans[name].append((self._start, read_clock()))
