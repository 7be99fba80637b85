"""Pydantic models of the configuration files."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from .state import VersionState

Fraction = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=64)]
DeadlineMs = Annotated[int, Field(ge=50, le=600_000)]


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class TeamTable(_Table):
    key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    allow: Annotated[list[str], Field(min_length=1)]
    weight: Positive = 1.0
    may_pin: bool = False


class VersionTable(_Table):
    state: Annotated[VersionState, Field(strict=False)]
    share: Fraction = 0.05
    serve_when_stale: bool | None = None
    cleared_revision: Annotated[int, Field(ge=0)] = 0


class ModelTable(_Table):
    pool: Name
    cost_per_1k_tokens: Annotated[float, Field(ge=0)]
    expected_quality: Fraction
    versions: Annotated[dict[Name, VersionTable], Field(min_length=1)]


class KindTable(_Table):
    quality_target: Fraction
    models: Annotated[list[str], Field(min_length=1)]
    deadline_ms: DeadlineMs = 30_000
    idempotent: bool = True
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    explore: Fraction = 0.02


class ServiceTable(_Table):
    pool: Name
    idempotent_methods: list[str] = ["GET", "HEAD"]
    deadline_ms: DeadlineMs = 10_000
    cost_per_call: Annotated[float, Field(ge=0)] = 0.0


class PoolTable(_Table):
    manage_versions: bool = False


class TuningTable(_Table):
    fresh_for_s: Positive = 10.0
    retry_ratio: Fraction = 0.1
    queue_limit: Annotated[int, Field(ge=1, le=100_000)] = 256
    guard_drop: Fraction = 0.2
    guard_error_rate: Annotated[float, Field(gt=0.02, lt=1)] = 0.5
    guard_false_alarm: Annotated[float, Field(gt=0, lt=1)] = 1e-4


class Document(_Table):
    """The configuration merged from all files."""

    teams: Annotated[dict[Name, TeamTable], Field(min_length=1)]
    models: dict[Name, ModelTable] = {}
    kinds: dict[Name, KindTable] = {}
    services: dict[Name, ServiceTable] = {}
    pools: dict[Name, PoolTable] = {}
    tuning: TuningTable = TuningTable()
