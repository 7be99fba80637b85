"""Limits of a document that contradict each other."""

import msgspec

from ..platform import format_place
from .finding import build_error, build_warning

CASCADE_ATTEMPTS = 2
"""A cascade runs the smallest model and then the largest, none between."""


def find_contradictions(document):
    """Return the findings on the limits of routes, services and callers."""
    findings = []
    models_by_service = {
        service.name: {model.name for model in service.engine.models}
        for service in document.services
        if service.engine and service.engine.models
    }
    for index, route in enumerate(document.routes):
        findings += _check_times(route, index)
        findings += _check_attempts(route, index)
        findings += _check_sizes(route, index, models_by_service)
    for index, service in enumerate(document.services):
        findings += _check_service(service, index)
    findings += _check_caller_limits(document.limits)
    return findings


def _check_times(route, index):
    if route.timeout_ms <= 0:
        place = format_place("routes", index, "timeout_ms")
        message = f"timeout {route.timeout_ms:g} ms leaves no time for a request"
        yield build_error(place, message)
        return
    for field, noun in (("goal_ms", "goal"), ("gap_goal_ms", "pause goal")):
        goal_ms = getattr(route, field)
        if goal_ms > route.timeout_ms:
            yield build_warning(
                format_place("routes", index, field),
                f"{noun} {goal_ms:g} ms of route {route.name!r} is above its timeout, "
                f"{route.timeout_ms:g} ms",
            )


def _has_cascade(route):
    """Return whether a larger model may be run after the first."""
    return route.retry_policy.is_streaming and len(route.sizes) >= CASCADE_ATTEMPTS


def _check_attempts(route, index):
    """Report attempts that are never made, and a number that is too small.

    Attempts that were not run aren't counted, so without retries one is enough.
    """
    place = format_place("routes", index, "attempts")
    needed = CASCADE_ATTEMPTS if _has_cascade(route) else 1
    if route.attempts < 1:
        message = f"route {route.name!r} allows no attempt: no request is sent"
        yield build_error(place, message)
    elif route.attempts < needed:
        yield build_warning(
            place,
            f"the cascade of route {route.name!r} needs {needed} attempts, "
            f"{route.attempts} allowed: the larger model is never run",
        )
    elif route.attempts > needed and not route.retry_policy.is_retryable:
        yield build_warning(
            place,
            f"requests of route {route.name!r} must not run twice: of "
            f"{route.attempts} attempts only {needed} can be used",
        )


def _check_sizes(route, index, models_by_service):
    if len(route.sizes) >= CASCADE_ATTEMPTS and not route.retry_policy.is_streaming:
        yield build_warning(
            format_place("routes", index, "sizes"),
            f"route {route.name!r} does not stream: only {route.sizes[0]!r} is run",
        )
    targets = [split.service for split in route.split] or [route.service]
    for service in targets:
        models = models_by_service.get(service)
        for size_index, model in enumerate(route.sizes if models else ()):
            if model not in models:
                yield build_warning(
                    format_place("routes", index, "sizes", size_index),
                    f"service {service!r} has no model {model!r}",
                )


def _check_service(service, index):
    if service.cold_s > 0 and service.cold_per_s == 0:
        yield build_warning(
            format_place("services", index, "cold_s"),
            f"service {service.name!r} has a cold period without a rate: "
            "cold upstreams get as many requests as others",
        )
    limit = service.connection_limit
    place = format_place("services", index, "max_conns")
    if limit is None:
        return
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        message = f"connection limit of service {service.name!r} is not a whole number"
        yield build_warning(place, f"{message} above 0")
    elif service.engine and limit < service.engine.slots:
        yield build_warning(
            place,
            f"connection limit {limit} of service {service.name!r} is below its "
            f"{service.engine.slots} slots",
        )


def _check_caller_limits(limits):
    for field, value in msgspec.structs.asdict(limits).items():
        if value <= 0:
            place = format_place("limits", field)
            yield build_error(place, f"limit {value:g} lets no request in")
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield build_warning(
            format_place("limits", "header_timeout_ms"),
            f"a caller may take {limits.header_timeout_ms:g} ms for its header fields "
            f"but be idle for only {limits.idle_timeout_ms:g} ms",
        )
