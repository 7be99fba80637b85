"""What operators declare: routes, services, teams and limits."""

import enum
from dataclasses import dataclass, field


class Repeat(enum.StrEnum):
    """What may be done again with the requests of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"
    """A stream that may go on at another upstream."""
    STREAM_ONCE = "stream-once"

    @property
    def streams(self):
        """Whether answers are series of events."""
        return self in (Repeat.RESUMABLE, Repeat.STREAM_ONCE)

    @property
    def may_run_again(self):
        """Whether a request that may have run can be sent once more."""
        return self in (Repeat.IDEMPOTENT, Repeat.RESUMABLE)


@dataclass(frozen=True)
class Split:
    """One service of a route and its share of the traffic, as a weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of one host below one path prefix.

    *timeout_s* is the longest time that a caller is kept waiting, *goal_s* the
    time in which an answer is wanted, *pause_goal_s* the same for the pause
    between two events. *max_upstreams* bounds to how many upstreams one
    request is sent. *models* are the models to choose from, smallest first;
    where there are none the caller names its model. Priority 0 goes first.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    timeout_s: float
    goal_s: float
    priority: int
    splits: tuple[Split, ...]
    max_upstreams: int
    public: bool = False
    models: tuple[str, ...] = ()
    pause_goal_s: float = 0.0


@dataclass(frozen=True)
class Engine:
    """What the model engines of a service can hold.

    *model_costs* are per 1,000 generated tokens.
    """

    slots: int
    memory_tokens: int
    model_costs: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Service:
    """A group of upstreams that answer the same requests.

    After its start one is cold for *cold_s* seconds, in which it tolerates
    *cold_per_s* requests a second; 0 where that is not bounded.
    """

    name: str
    engine: Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class Team:
    """A team whose programs call; its priority goes before the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what callers may send and how long they may take for it."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the operators' declarations.

    Where *needs_keys* is false, callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams_by_key: dict[str, Team]
    needs_keys: bool = True
    limits: CallerLimits = CallerLimits()

    def find_route(self, host, path):
        """Return the route of *host* with the longest prefix of *path*, or None."""
        best = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def find_team(self, key):
        """Return the team that holds *key*, or None."""
        return self.teams_by_key.get(key)
