"""Documents in the platform's store, decoded into the product's types.

msgspec checks them; a document that does not check raises
:class:`ConfigurationInvalid` with the field's path.
"""

import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from .._errors import ConfigurationInvalid
from .._fleet import (
    CallerLimits,
    Configuration,
    Engine,
    Evacuation,
    Repeat,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Route,
    Service,
    Split,
    Team,
    Upstream,
)
from . import keys

MS = 1000.0
MOST_PORT = 65535
MOST_COLD_S = 3600.0
"""No upstream takes an hour to warm up; what says more is another writer's."""


Name = Annotated[str, msgspec.Meta(min_length=1)]
ID = re.compile(r"[!-~]+")
"""Ids go into a header field; anything else there would break the request."""


class _Document(msgspec.Struct, rename="kebab"):
    """Fields that these classes do not name are ignored."""


class _SplitDocument(_Document):
    service: str
    weight: float


class _RouteDocument(_Document):
    name: str
    host: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: float
    goal_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[_SplitDocument] = []
    # Not retries: to how many upstreams one request may be sent in all.
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Names of models, smallest first.
    sizes: list[str] = []
    # The longest pause between two events of a stream.
    gap_goal_ms: float = 0.0


class _ModelDocument(_Document):
    name: str
    cost: float = 0.0


class _EngineDocument(_Document):
    slots: int
    kv_tokens: int
    models: list[_ModelDocument] = []


class _ServiceDocument(_Document):
    name: str
    engine: _EngineDocument | None = None
    cold_s: Annotated[float, msgspec.Meta(ge=0, le=MOST_COLD_S)] = 0.0
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _LimitsDocument(_Document):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _TeamDocument(_Document):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _ConfigurationDocument(_Document):
    version: int
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    limits: _LimitsDocument = msgspec.field(default_factory=_LimitsDocument)
    tenants: list[_TeamDocument] | None = None


class _UpstreamDocument(_Document):
    # Every field but born must stand there: an entry that lacks one is another
    # writer's and names no upstream.
    service: Name
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    # How much longer it stays slow, as of the time of writing.
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MS * MOST_COLD_S)]
    # The number of orders that it has accepted.
    seq: Annotated[int, msgspec.Meta(ge=0)]
    # The Unix millisecond of its start; not every platform says it.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class _OrderDocument(_Document):
    service: str
    target: str
    period_s: float = 30.0


class _StatusDocument(_Document):
    state: str
    target: str = ""


def decode_item(key, value, index):
    """Return the fact that the store's item says, or None for other keys."""
    if key == keys.CONFIGURATION:
        return _build_configuration(_decode(value, _ConfigurationDocument, key))
    if key.startswith(keys.UPSTREAM_PREFIX):
        return _build_upstream(key, _decode(value, _UpstreamDocument, key, True))
    if key.startswith(keys.ROLLOUT_PREFIX):
        order = _decode(value, _OrderDocument, key)
        return RolloutOrder(order.service, order.target, order.period_s, index)
    if key.startswith(keys.EVACUATION_PREFIX):
        return _build_evacuation(key, value)
    if key.startswith(keys.STATUS_PREFIX):
        status = _decode(value, _StatusDocument, key)
        service = key[len(keys.STATUS_PREFIX) :]
        return RolloutStatus(service, status.target, RolloutState(status.state), index)
    return None


def encode_status(service, target, state):
    """Return the document that tells operators how far a roll-out is."""
    return msgspec.json.encode(
        {"service": service, "target": target, "state": str(state)}
    )


def _decode(value, kind, key, strict=False):
    try:
        return msgspec.json.decode(value, type=kind, strict=strict)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationInvalid([f"{key}: {error}"]) from error


def _build_evacuation(key, value):
    """Return the :class:`Evacuation` of a key, whatever its value says.

    The zone stands in the key. Sending there because of a spoiled value would go
    against the operators' word.
    """
    zone = key[len(keys.EVACUATION_PREFIX) :]
    if not zone:
        raise ConfigurationInvalid([f"{key}: no zone"])
    try:
        msgspec.json.decode(value, type=dict)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Evacuation(zone, is_readable=False)
    return Evacuation(zone)


def _build_configuration(document):
    teams = {}
    for row in document.tenants or ():
        team = Team(row.name, row.priority)
        for api_key in row.api_keys:
            teams[api_key] = team
    return Configuration(
        version=document.version,
        routes=tuple(_build_route(row) for row in document.routes),
        services={row.name: _build_service(row) for row in document.services},
        teams_by_key=teams,
        needs_keys=document.tenants is not None,
        limits=CallerLimits(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms / MS,
            document.limits.idle_timeout_ms / MS,
        ),
    )


def _build_route(row):
    splits = tuple(Split(part.service, part.weight) for part in row.split)
    return Route(
        name=row.name,
        host=row.host,
        path_prefix=row.path_prefix,
        repeat=_read_repeat(row),
        timeout_s=row.timeout_ms / MS,
        goal_s=row.goal_ms / MS,
        priority=row.priority,
        splits=splits or (Split(row.service or "", 1.0),),
        max_upstreams=row.attempts,
        public=row.public,
        models=tuple(row.sizes),
        pause_goal_s=row.gap_goal_ms / MS,
    )


def _read_repeat(row):
    if row.kind == "streaming":
        return Repeat.RESUMABLE if row.resumable else Repeat.STREAM_ONCE
    return Repeat.IDEMPOTENT if row.kind == "idempotent" else Repeat.ONCE


def _is_address(text):
    """Return whether *text* is an IPv4 address and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MOST_PORT


def _build_service(row):
    engine = None
    if row.engine:
        engine = Engine(
            row.engine.slots,
            row.engine.kv_tokens,
            {model.name: model.cost for model in row.engine.models},
        )
    return Service(row.name, engine, row.cold_s, row.cold_per_s)


def _build_upstream(key, row):
    upstream_id = key[len(keys.UPSTREAM_PREFIX) :]
    if not ID.fullmatch(upstream_id):
        raise ConfigurationInvalid([f"{key!r}: not an id"])
    if not _is_address(row.address):
        raise ConfigurationInvalid([f"{key}: {row.address!r} is no address"])
    return Upstream(
        id=upstream_id,
        service=row.service,
        address=row.address,
        zone=row.zone,
        version=row.version,
        slots=row.slots,
        draining=row.state == "draining",
        cold_s=row.cold_left_ms / MS,
        born_ms=row.born,
    )
