"""Decoding of documents in the platform's store into the types of the fleet.

An invalid document raises :class:`ConfigurationInvalid` with the path of the field.
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
    RetryPolicy,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Route,
    Service,
    Split,
    Team,
    Upstream,
)
from .._store import get_era, get_revision
from . import keys
from .field_errors import DECODE_ERRORS, list_field_errors

MS_PER_S = 1000.0
MAX_PORT = 65535
MAX_COLD_S = 3600.0
"""Longer cold periods are implausible; their entries are rejected."""

MAX_SLOTS = 10**6
MAX_COUNT = 2**53
"""Larger figures aren't exact as floats, and even larger ones are none."""
MAX_NAME_LENGTH = 256
"""Names go into logs, metrics and the messages of all instances."""
ID_PATTERN = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")
"""Ids are sent in a header field, which allows no other characters."""
MAX_PORT_DIGITS = 5


class _Document(msgspec.Struct, rename="kebab"):
    """Base class of documents, which ignore unknown fields."""


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
    # The maximum number of upstreams per request, including the first one.
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Names of models in ascending order of size.
    sizes: list[str] = []
    # The target for the pause between two events of a stream.
    gap_goal_ms: float = 0.0

    @property
    def retry_policy(self):
        if self.kind == "streaming":
            return (
                RetryPolicy.RESUMABLE
                if self.resumable
                else RetryPolicy.STREAM_NOT_RESUMABLE
            )
        return RetryPolicy.IDEMPOTENT if self.kind == "idempotent" else RetryPolicy.ONCE


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
    cold_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S)] = 0.0
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # The maximum number of connections to an upstream, for checks only. Instances don't
    # use it, so it isn't decoded with the document and any value is accepted.
    max_conns: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def connection_limit(self):
        """The value of the field, whatever its type; None if there is none."""
        try:
            return msgspec.json.decode(self.max_conns)
        except DECODE_ERRORS:
            return None


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
    # All fields except born are required, so that entries of other programs are
    # rejected instead of being taken for upstreams.
    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    address: str
    zone: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    version: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # The remaining cold period at the time of writing.
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MS_PER_S * MAX_COLD_S)]
    # The number of orders that the upstream has accepted.
    seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    # The start time in Unix milliseconds; some platforms do not provide it.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)] = 0


class _OrderDocument(_Document):
    service: str
    target: str
    period_s: float = 30.0


class _StatusDocument(_Document):
    state: str
    target: str = ""


def decode_item(key, value, index):
    """Return the fleet entry in a store item, or None if its key is of no interest.

    *index* is the item's modify index. Raises :class:`ConfigurationInvalid` if the
    key or the value is invalid.
    """
    if key == keys.CONFIGURATION:
        return _build_configuration(_decode(value, _ConfigurationDocument, key))
    if key.startswith(keys.UPSTREAM_PREFIX):
        return _build_upstream(key, _decode(value, _UpstreamDocument, key, True))
    if key.startswith(keys.ROLLOUT_PREFIX):
        order = _decode(value, _OrderDocument, key)
        return RolloutOrder(
            order.service,
            order.target,
            order.period_s,
            get_revision(index),
            get_era(index),
        )
    if key.startswith(keys.EVACUATION_PREFIX):
        return _build_evacuation(key, value)
    if key.startswith(keys.STATUS_PREFIX):
        status = _decode(value, _StatusDocument, key)
        service = key[len(keys.STATUS_PREFIX) :]
        return RolloutStatus(service, status.target, RolloutState(status.state), index)
    return None


def parse_configuration(value):
    """Return the configuration document in *value* as it is written.

    Unlike the :class:`Configuration` that is built from it, it keeps the order, the
    units and the repeated entries of the document. Raises
    :class:`ConfigurationInvalid` with a :class:`FieldError` for each invalid field.
    """
    errors = list_field_errors(value, _ConfigurationDocument)
    if errors:
        raise ConfigurationInvalid(errors)
    return _decode(value, _ConfigurationDocument, keys.CONFIGURATION)


def encode_status(service, target, state):
    """Return the document that reports the state of a rollout to operators."""
    return msgspec.json.encode(
        {"service": service, "target": target, "state": str(state)}
    )


def _decode(value, document_type, key, strict=False):
    try:
        return msgspec.json.decode(value, type=document_type, strict=strict)
    except DECODE_ERRORS as error:
        raise ConfigurationInvalid([f"{key}: {error}"]) from error


def _build_evacuation(key, value):
    """Return the :class:`Evacuation` of a key, even if its value cannot be decoded.

    The key names the zone. If an invalid value were ignored, requests would be sent
    to a zone that operators have evacuated.
    """
    zone = key[len(keys.EVACUATION_PREFIX) :]
    if not zone:
        raise ConfigurationInvalid([f"{key}: zone name is missing"])
    try:
        msgspec.json.decode(value, type=dict)
    except DECODE_ERRORS:
        return Evacuation(zone, is_valid=False)
    return Evacuation(zone)


def _build_configuration(document):
    teams = {}
    for entry in document.tenants or ():
        team = Team(entry.name, entry.priority)
        for api_key in entry.api_keys:
            teams[api_key] = team
    return Configuration(
        version=document.version,
        routes=tuple(_build_route(entry) for entry in document.routes),
        services={entry.name: _build_service(entry) for entry in document.services},
        teams_by_key=teams,
        needs_keys=document.tenants is not None,
        limits=CallerLimits(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms / MS_PER_S,
            document.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _build_route(document):
    splits = tuple(Split(split.service, split.weight) for split in document.split)
    return Route(
        name=document.name,
        host=document.host,
        path_prefix=document.path_prefix,
        retry_policy=document.retry_policy,
        timeout_s=document.timeout_ms / MS_PER_S,
        goal_s=document.goal_ms / MS_PER_S,
        priority=document.priority,
        splits=splits or (Split(document.service or "", 1.0),),
        max_upstreams=document.attempts,
        public=document.public,
        models=tuple(document.sizes),
        pause_goal_s=document.gap_goal_ms / MS_PER_S,
    )


def _is_address(text):
    """Return whether *text* is an IPv4 address with a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return False
    return 0 < int(port) <= MAX_PORT


def _build_service(document):
    engine = None
    if document.engine:
        engine = Engine(
            document.engine.slots,
            document.engine.kv_tokens,
            {model.name: model.cost for model in document.engine.models},
        )
    return Service(document.name, engine, document.cold_s, document.cold_per_s)


def _build_upstream(key, document):
    upstream_id = key[len(keys.UPSTREAM_PREFIX) :]
    if not ID_PATTERN.fullmatch(upstream_id):
        raise ConfigurationInvalid([f"{key!r}: invalid upstream id"])
    if not _is_address(document.address):
        raise ConfigurationInvalid(
            [f"{key}: {document.address!r} is not an IPv4 address with a port"]
        )
    return Upstream(
        id=upstream_id,
        service=document.service,
        address=document.address,
        zone=document.zone,
        version=document.version,
        slots=document.slots,
        draining=document.state == "draining",
        cold_s=document.cold_left_ms / MS_PER_S,
        started_ms=document.born,
        sequence=document.seq,
    )
