"""Entries that can never match a request, and references to missing entries."""

from ..platform import format_place
from .finding import build_error, build_warning
from .masking import mask_key


def find_unreachable_entries(document):
    """Return the findings on routes, services and teams, each in linear time."""
    return [
        *_check_prefixes(document.routes),
        *_check_shadowed_routes(document.routes),
        *_check_targets(document),
        *_check_services(document),
        *_check_teams(document.tenants or ()),
        *_check_api_keys(document.tenants or ()),
    ]


def _check_prefixes(routes):
    for index, route in enumerate(routes):
        prefix = route.path_prefix
        place = format_place("routes", index, "path_prefix")
        if prefix and not prefix.startswith("/"):
            message = "never matches: it does not begin with a slash, as paths do"
            yield build_error(place, f"prefix {prefix!r} {message}")
        elif not prefix.endswith("/"):
            message = "does not end with a slash: longer names match it as well"
            yield build_warning(place, f"prefix {prefix!r} {message}")


def _check_shadowed_routes(routes):
    """Report routes after another one that matches the same paths.

    Of routes with prefixes of equal length, the first that matches is used.
    """
    first_by_match = {}
    for index, route in enumerate(routes):
        match = (route.host, route.path_prefix)
        first = first_by_match.setdefault(match, index)
        if first != index:
            yield build_warning(
                format_place("routes", index, "path_prefix"),
                f"route {route.name!r} never matches: {routes[first].name!r} at "
                f"{format_place('routes', first)} has the same host and prefix",
            )
    yield from _check_repeated_names(routes, "routes", "route")


def _check_repeated_names(entries, field, noun):
    first_by_name = {}
    for index, entry in enumerate(entries):
        first = first_by_name.setdefault(entry.name, index)
        if first != index:
            yield build_warning(
                format_place(field, index, "name"),
                f"{noun} {entry.name!r} has the name of "
                f"{format_place(field, first)}; logs do not tell them apart",
            )


def _check_targets(document):
    names = {service.name for service in document.services}
    for index, route in enumerate(document.routes):
        if route.split:
            yield from _check_split(route, index, names)
        elif not route.service:
            place = format_place("routes", index, "service")
            yield build_error(place, f"route {route.name!r} names no service")
        elif route.service not in names:
            place = format_place("routes", index, "service")
            yield build_error(place, _describe_missing_service(route, route.service))


def _check_split(route, index, names):
    if route.service:
        yield build_warning(
            format_place("routes", index, "service"),
            f"service {route.service!r} of route {route.name!r} is ignored: "
            "the route has a split",
        )
    is_without_traffic = sum(split.weight for split in route.split) <= 0
    for split_index, split in enumerate(route.split):
        place = format_place("routes", index, "split", split_index, "weight")
        if split.weight < 0:
            message = f"weight of service {split.service!r} is negative"
            yield build_error(place, message)
        elif split.weight == 0 and not is_without_traffic:
            message = f"weight is 0: service {split.service!r} gets no request"
            yield build_warning(place, message)
        if split.service not in names:
            place = format_place("routes", index, "split", split_index, "service")
            yield build_error(place, _describe_missing_service(route, split.service))
    if is_without_traffic:
        place = format_place("routes", index, "split")
        message = "the sum of the weights is not above 0"
        yield build_error(place, f"route {route.name!r} serves no request: {message}")


def _describe_missing_service(route, name):
    return f"route {route.name!r} names service {name!r}, which does not exist"


def _check_services(document):
    used = set()
    for route in document.routes:
        used.update(split.service for split in route.split)
        if not route.split:
            used.add(route.service)
    last_by_name = {entry.name: i for i, entry in enumerate(document.services)}
    for index, service in enumerate(document.services):
        place = format_place("services", index, "name")
        last = last_by_name[service.name]
        if last != index:
            message = f"is replaced by {format_place('services', last)}"
            yield build_warning(place, f"service {service.name!r} {message}")
        elif service.name not in used:
            yield build_warning(place, f"no route names service {service.name!r}")


def _check_teams(teams):
    yield from _check_repeated_names(teams, "tenants", "team")
    for index, team in enumerate(teams):
        if not team.api_keys:
            place = format_place("tenants", index, "api_keys")
            yield build_warning(place, f"team {team.name!r} has no API key")


def _check_api_keys(teams):
    """Report keys that occur twice; the last team that has a key gets its requests."""
    first_by_key = {}
    for team_index, team in enumerate(teams):
        for key_index, api_key in enumerate(team.api_keys):
            place = format_place("tenants", team_index, "api_keys", key_index)
            if not api_key:
                message = f"API key of team {team.name!r} is empty"
                yield build_error(place, message)
                continue
            first = first_by_key.setdefault(api_key, (team_index, place))
            if first[1] == place:
                continue
            message = f"API key {mask_key(api_key)!r} is also at {first[1]}"
            if teams[first[0]].name == team.name:
                yield build_warning(place, message)
            else:
                message += f"; its requests count for team {team.name!r} alone"
                yield build_error(place, message)
