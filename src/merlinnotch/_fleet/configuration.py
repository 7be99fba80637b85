"""Operators' configuration: routes, services, teams and limits."""

import enum
from dataclasses import dataclass, field


class RetryPolicy(enum.StrEnum):
    """Whether the requests of a route may be retried or resumed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"
    """An event stream that may be resumed at another upstream."""
    STREAM_NOT_RESUMABLE = "stream-once"

    @property
    def is_streaming(self):
        """Whether responses are event streams."""
        return self in (RetryPolicy.RESUMABLE, RetryPolicy.STREAM_NOT_RESUMABLE)

    @property
    def is_retryable(self):
        """Whether a request that may already have run can be sent again."""
        return self in (RetryPolicy.IDEMPOTENT, RetryPolicy.RESUMABLE)


@dataclass(frozen=True)
class Split:
    """One service of a route and the relative weight of its traffic."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests to one host under one path prefix.

    *timeout_s* is the longest time that a caller waits, *goal_s* the target
    response time and *pause_goal_s* the target for the pause between two events
    of a stream. *max_upstreams* limits how many upstreams a request is sent to.
    *models* are the models to choose from, smallest first; if there are none,
    the caller names the model. Priority 0 is the highest.
    """

    name: str
    host: str
    path_prefix: str
    retry_policy: RetryPolicy
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
    """Capacity and costs of the model engines of a service.

    *model_costs* maps a model to its cost per 1,000 generated tokens.
    """

    slots: int
    memory_tokens: int
    model_costs: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Service:
    """A group of upstreams that serve the same requests.

    An upstream is cold for *cold_s* seconds after its start. While cold it
    tolerates *cold_per_s* requests per second; 0 means no limit.
    """

    name: str
    engine: Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class Team:
    """A team of callers; its priority, if set, overrides that of the route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of requests and on the time that callers take to send them."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    *teams_by_key* maps callers' keys to teams. If *needs_keys* is false, callers
    need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams_by_key: dict[str, Team]
    needs_keys: bool = True
    limits: CallerLimits = CallerLimits()

    def find_route(self, host, path):
        """Return the route of *host* with the longest matching path prefix, or None."""
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
