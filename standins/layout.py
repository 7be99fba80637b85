"""Layouts of a stack: its entries, engines and services."""

from dataclasses import dataclass

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@dataclass(frozen=True)
class EngineSpec:
    """Parameters of one stand-in engine."""

    id: str
    zone: str
    slots: int = 16
    first_token_ms: float = 20.0
    token_ms: float = 2.0


@dataclass(frozen=True)
class Layout:
    """Parameters of a deployment; each entry and service is given by its zone.

    *versions* are the versions loaded on each engine. *qualities* maps models to
    the mean quality of their answers, 0 to 1.
    """

    example: str
    service_pool: str
    versions: tuple[str, ...]
    qualities: dict
    entry_zones: tuple[str, ...] = tuple(zone for zone in ZONES for _ in range(2))
    engines: tuple[EngineSpec, ...] = ()
    service_zones: tuple[str, ...] = ZONES
    drain_s: float = 1.0
    memory_mb: float = 0.0


def _make_engines(count):
    return tuple(EngineSpec(f"engine-{n}", ZONES[n % 4]) for n in range(count))


AUTHORITY = Layout(
    example="examples/authority",
    service_pool="marketplace",
    versions=("swift@v2", "swift@v3", "swift@v4", "deep@v1"),
    qualities={"swift": 0.8, "deep": 0.93},
    engines=_make_engines(6),
)
HEARTH_CALLS = Layout(
    example="examples/hearth-calls",
    service_pool="call-records",
    versions=("gentle@v5", "gentle@v6", "careful@v1", "careful@v2"),
    qualities={"gentle": 0.82, "careful": 0.94},
    engines=_make_engines(5),
)
