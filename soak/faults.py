"""Faults: each is done to the world for a while, several at once."""

import signal
from dataclasses import dataclass

import eventlet

from merlinnotch._entry.clock import read_clock

from .proxy import Harm
from .upstreams import FAILING

FIRST_S = 3.0
"""Calm time at the start, for all processes to know each other."""
MEAN_PAUSE_S = 0.7
LONGEST_S = 3.0
RESTART_S = 0.3
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
"""Each names a method of :class:`FaultMaker`; a seed's plan depends on the order."""
HARMS = (Harm.SILENCE, Harm.ONE_WAY, Harm.DELAY)


@dataclass(frozen=True)
class Fault:
    """*kind* names a method of :class:`FaultMaker`; times in seconds."""

    at_s: float
    kind: str
    target: int
    for_s: float


def plan_faults(generator, length_s):
    """Return the :class:`Fault` list of a soak; the same for the same seed."""
    faults = []
    at_s = FIRST_S
    while at_s < length_s:
        kind = generator.choice(KINDS)
        for_s = generator.uniform(0.3, LONGEST_S)
        faults.append(Fault(at_s, kind, generator.randrange(1000), for_s))
        at_s += generator.expovariate(1.0 / MEAN_PAUSE_S)
    return faults


class FaultMaker:
    """Does to *world* what a :class:`Fault` says."""

    def __init__(self, world):
        self._world = world
        self._busy = set()

    def make(self, fault):
        """Do it and undo it; returns when that is done."""
        getattr(self, f"_{fault.kind}")(fault)

    def _kill(self, fault):
        self._restart(fault, signal.SIGKILL)

    def _stop(self, fault):
        self._restart(fault, signal.SIGTERM)

    def _restart(self, fault, number):
        instance = self._take(fault)
        if instance is None:
            return
        evidence = self._world.evidence
        asked_at = read_clock()
        instance.end(number)
        ended_at = read_clock()
        if number is signal.SIGTERM:
            evidence.stopped.append((instance.name, asked_at, ended_at))
        eventlet.sleep(RESTART_S)
        instance.start()
        evidence.disturb(instance.name, asked_at, read_clock() + 1.0)
        self._busy.discard(instance.name)

    def _pause(self, fault):
        instance = self._take(fault)
        if instance is None:
            return
        with self._disturbed([instance]):
            instance.send(signal.SIGSTOP)
            eventlet.sleep(fault.for_s)
            instance.send(signal.SIGCONT)
        self._busy.discard(instance.name)

    def _hang_up(self, fault):
        instance = self._pick(self._world.instances, fault)
        instance.send(signal.SIGHUP)

    def _cut_store(self, fault):
        instance = self._pick(self._world.instances, fault)
        with self._disturbed([instance]):
            self._harm(instance.store, fault)

    def _harm(self, proxy, fault):
        proxy.harm = HARMS[fault.target % len(HARMS)]
        eventlet.sleep(fault.for_s)
        proxy.harm = Harm.NONE

    def _reset_store(self, fault):
        instance = self._pick(self._world.instances, fault)
        with self._disturbed([instance]):
            instance.store.reset()

    def _spoil_store(self, fault):
        store = self._world.store
        with self._disturbed(self._world.instances):
            way = fault.target % 4
            if way == 0:
                store.forget_history()
            elif way == 1:
                store.lost += 2
            elif way == 2:
                store.status = 503
            else:
                store.silent = True
            eventlet.sleep(fault.for_s)
            store.status = None
            store.silent = False
            store.lost = 0

    def _cut_upstream(self, fault):
        self._harm(self._pick(self._world.proxies, fault), fault)

    def _reset_upstream(self, fault):
        self._pick(self._world.proxies, fault).reset()

    def _spoil_upstream(self, fault):
        upstream = self._pick(self._world.upstreams, fault)
        upstream.trouble = FAILING[fault.target % len(FAILING)]
        eventlet.sleep(fault.for_s)
        upstream.trouble = None

    def _drain(self, fault):
        self._world.replace_upstream(fault.target)

    def _configure(self, fault):
        self._world.change_keys()

    def _take(self, fault):
        """Return an instance that no other fault stops just now, or None."""
        instance = self._pick(self._world.instances, fault)
        if instance.name in self._busy:
            return None
        self._busy.add(instance.name)
        return instance

    def _pick(self, things, fault):
        return things[fault.target % len(things)]

    def _disturbed(self, instances):
        return _Disturbance(self._world.evidence, instances)


class _Disturbance:
    """Notes the span of a fault for the instances that it strikes."""

    def __init__(self, evidence, instances):
        self._evidence = evidence
        self._names = [instance.name for instance in instances]

    def __enter__(self):
        self._start = read_clock()
        for name in self._names:
            self._evidence.disturb(name, self._start, float("inf"))

    def __exit__(self, *exc_info):
        for name in self._names:
            spans = self._evidence.disturbed[name]
            spans.remove((self._start, float("inf")))
            spans.append((self._start, read_clock()))
