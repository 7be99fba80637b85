"""First tries at instances that reach no upstream, by what these instances do.

A model, without processes: callers of zones send requests on kept or new connections to
the instances that the load balancer has in rotation. Run as
``python -m benchmarks.partitioned_instances``.
"""

import random
from dataclasses import dataclass

ZONE_COUNT = 4
REQUESTS_PER_S = 200.0
STEP_S = 0.005
PARTITION_S = 12.0
COUNTED_FROM_S = 1.0
POLL_INTERVAL_S = 1.0
MISSES = 2
MIN_ROTATION_SHARE = 0.5
"""Below this share of ready instances, the balancer uses all of a zone's instances."""
MEAN_REQUESTS_PER_CONNECTION = 20
KEPT_SHARE = 0.5
"""Share of the callers that keep their connections."""
DETECTION_S = 0.6


@dataclass(frozen=True)
class Design:
    """What partitioned instances do."""

    name: str
    relays: bool = False
    leaves_rotation: bool = False
    closes_idle: bool = False


DESIGNS = (
    Design("refuse"),
    Design("leave rotation", leaves_rotation=True),
    Design("leave rotation, close idle", leaves_rotation=True, closes_idle=True),
    Design("relay", relays=True),
    Design("relay and leave rotation", relays=True, leaves_rotation=True),
)


@dataclass
class Instance:
    """An instance of one zone; *is_partitioned* from time 0 on."""

    zone: int
    is_partitioned: bool
    in_rotation: bool = True


class Caller:
    """A caller of one zone; *instance* is where its open connection leads."""

    def __init__(self, zone, keeps_connections):
        self.zone = zone
        self.keeps_connections = keeps_connections
        self.instance = None


class Model:
    """Plays one partition with one design."""

    def __init__(self, design, instance_count, partitioned_count, generator):
        self._design = design
        self._generator = generator
        self._instances = [
            Instance(i % ZONE_COUNT, False) for i in range(instance_count)
        ]
        for instance in generator.sample(self._instances, partitioned_count):
            instance.is_partitioned = True
        self._callers = [
            Caller(i % ZONE_COUNT, generator.random() < KEPT_SHARE) for i in range(80)
        ]
        self.tries = 0
        self.served = 0

    def run(self):
        """Return the share of first tries at partitioned instances that are served."""
        for step in range(round(PARTITION_S / STEP_S)):
            now = step * STEP_S
            self._update_rotation(now)
            if self._generator.random() < REQUESTS_PER_S * STEP_S:
                self._send(self._generator.choice(self._callers), now)
        return self.served / self.tries if self.tries else 1.0

    def _update_rotation(self, now):
        removed_at = DETECTION_S + MISSES * POLL_INTERVAL_S
        for instance in self._instances:
            leaves = self._design.leaves_rotation and instance.is_partitioned
            instance.in_rotation = not (leaves and now >= removed_at)

    def _list_used(self, zone):
        own = [i for i in self._instances if i.zone == zone]
        ready = [i for i in own if i.in_rotation]
        return ready if len(ready) >= MIN_ROTATION_SHARE * len(own) else own

    def _send(self, caller, now):
        instance = self._pick(caller, now)
        if not instance.is_partitioned or now < COUNTED_FROM_S:
            return
        self.tries += 1
        has_path = any(not i.is_partitioned for i in self._instances)
        self.served += self._design.relays and has_path

    def _pick(self, caller, now):
        if caller.instance is not None and not self._is_closed(caller, now):
            return caller.instance
        instance = self._generator.choice(self._list_used(caller.zone))
        caller.instance = instance if caller.keeps_connections else None
        return instance

    def _is_closed(self, caller, now):
        is_left = self._design.closes_idle and caller.instance.is_partitioned
        if is_left and now >= DETECTION_S + MISSES * POLL_INTERVAL_S:
            return True
        return self._generator.random() < 1.0 / MEAN_REQUESTS_PER_CONNECTION


def main():
    """Print the share served and the requests that still meet such an instance."""
    print(f"{'instances':>9} {'cut':>4} {'design':28} {'served':>7} {'tries':>7}")
    for instance_count, partitioned_count in ((8, 1), (8, 4), (8, 7), (8, 8), (64, 32)):
        for design in DESIGNS:
            models = [
                Model(design, instance_count, partitioned_count, random.Random(seed))
                for seed in range(20)
            ]
            served = sum(model.run() for model in models) / len(models)
            tries = sum(model.tries for model in models) / len(models)
            print(
                f"{instance_count:9} {partitioned_count:4} {design.name:28} "
                f"{served:7.2f} {tries:7.0f}"
            )


if __name__ == "__main__":
    main()
