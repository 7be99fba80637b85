"""Differences in meaning between a document and the version in force.

The order of routes, services, teams, keys, splits and models is no difference, nor are
a default that is written out or weights in the same proportion.
"""

import json

import msgspec

from ..platform import format_place
from .finding import Finding, Severity
from .masking import mask_key

SHARE_DIGITS = 6
"""Shares of traffic are rounded to as many decimals, so that 1 of 3 equals 2 of 6."""


def find_differences(document, in_force):
    """Return the findings on what *document* changes relative to *in_force*."""
    return [
        *_compare_entries("routes", "route", document, in_force, _describe_route),
        *_compare_precedence(document.routes, in_force.routes),
        *_compare_entries("services", "service", document, in_force, _describe_service),
        *_compare_teams(document, in_force),
        *_compare_limits(document.limits, in_force.limits),
    ]


def _compare_entries(field, noun, document, in_force, describe):
    new_entries = _index_by_name(getattr(document, field) or ())
    old_entries = _index_by_name(getattr(in_force, field) or ())
    for identity, (index, entry) in new_entries.items():
        label = f"{noun} {entry.name!r}"
        if identity not in old_entries:
            yield _build_difference(format_place(field, index), f"{label} added")
            continue
        old_values = describe(old_entries[identity][1])
        new_values = describe(entry)
        for path in old_values | new_values:
            old, new = old_values.get(path), new_values.get(path)
            if old != new:
                place = format_place(field, index, *path)
                yield _build_change(place, label, old, new)
    for identity, (_, entry) in old_entries.items():
        if identity not in new_entries:
            message = f"{noun} {entry.name!r} removed"
            yield _build_difference(format_place(field), message)


def _index_by_name(entries):
    """Return the index and the entry by name and occurrence of the name."""
    counts = {}
    result = {}
    for index, entry in enumerate(entries):
        count = counts[entry.name] = counts.get(entry.name, 0) + 1
        result[entry.name, count] = (index, entry)
    return result


def _describe_route(route):
    """Return the values of a route by their path in it."""
    values = msgspec.structs.asdict(route)
    for field in ("name", "service", "split"):
        del values[field]
    if not route.retry_policy.is_streaming:
        # Only streams are resumed.
        del values["resumable"]
    return {(field,): value for field, value in values.items()} | {
        ("service",): _compute_shares(route)
    }


def _compute_shares(route):
    """Return the share of the route's traffic by service, or its only service."""
    weights = {}
    for split in route.split:
        if split.weight:
            weights[split.service] = weights.get(split.service, 0.0) + split.weight
    total = sum(weights.values())
    if not route.split:
        return route.service
    if total <= 0:
        return weights
    if len(weights) == 1:
        return next(iter(weights))
    return {
        service: round(weight / total, SHARE_DIGITS)
        for service, weight in weights.items()
    }


def _compare_precedence(new_routes, old_routes):
    """Report routes that precede another one with the same host and prefix."""
    new_first, old_first = _map_first_routes(new_routes), _map_first_routes(old_routes)
    new_matches = {(r.name, r.host, r.path_prefix) for r in new_routes}
    for match, (index, name) in new_first.items():
        _, old_name = old_first.get(match, (None, name))
        if old_name != name and (old_name, *match) in new_matches:
            place = format_place("routes", index)
            message = f"route {name!r} now precedes {old_name!r}"
            yield _build_difference(place, message)


def _map_first_routes(routes):
    result = {}
    for index, route in enumerate(routes):
        result.setdefault((route.host, route.path_prefix), (index, route.name))
    return result


def _describe_service(service):
    values = {
        ("cold_s",): service.cold_s,
        ("cold_per_s",): service.cold_per_s,
        ("max_conns",): service.connection_limit,
    }
    if service.engine:
        values |= {
            ("engine", "slots"): service.engine.slots,
            ("engine", "kv_tokens"): service.engine.kv_tokens,
            ("engine", "models"): {m.name: m.cost for m in service.engine.models},
        }
    return values


def _compare_teams(document, in_force):
    old, new = in_force.tenants is not None, document.tenants is not None
    if old != new:
        message = "callers need an API key" if new else "callers need no API key"
        yield _build_difference(format_place("tenants"), f"{message} now")
    describe = _describe_team
    yield from _compare_entries("tenants", "team", document, in_force, describe)
    old_teams = _index_by_name(in_force.tenants or ())
    for identity, (index, team) in _index_by_name(document.tenants or ()).items():
        if identity in old_teams:
            yield from _compare_api_keys(index, team, old_teams[identity][1])


def _describe_team(team):
    return {("priority",): team.priority}


def _compare_api_keys(index, team, old_team):
    added = sorted(set(team.api_keys) - set(old_team.api_keys))
    removed = sorted(set(old_team.api_keys) - set(team.api_keys))
    place = format_place("tenants", index, "api_keys")
    for api_key in removed:
        masked = mask_key(api_key)
        message = f"team {team.name!r}: API key {masked!r} removed"
        yield _build_difference(place, message, old=masked)
    for api_key in added:
        masked = mask_key(api_key)
        message = f"team {team.name!r}: API key {masked!r} added"
        yield _build_difference(place, message, new=masked)


def _compare_limits(limits, old_limits):
    old_values = msgspec.structs.asdict(old_limits)
    for field, new in msgspec.structs.asdict(limits).items():
        if old_values[field] != new:
            place = format_place("limits", field)
            yield _build_change(place, "limit", old_values[field], new)


def _build_difference(place, message, old=None, new=None):
    return Finding(Severity.DIFFERENCE, place, message, old, new)


def _build_change(place, label, old, new):
    old, new = _simplify(old), _simplify(new)
    message = f"{label}: {_format_value(old)} -> {_format_value(new)}"
    return _build_difference(place, message, old, new)


def _simplify(value):
    """Return *value* with whole numbers as integers, as documents have them."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {key: _simplify(item) for key, item in value.items()}
    return value


def _format_value(value):
    return "none" if value is None else json.dumps(value, ensure_ascii=False)
