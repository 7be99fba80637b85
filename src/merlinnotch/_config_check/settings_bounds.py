"""Contradictions between a document and the settings of an instance."""

from .._placement.warmup import MAX_PARTITIONS, ColdRateLimit
from ..platform import format_place
from .finding import build_warning


def find_exceeded_bounds(document, settings):
    """Return the findings on fields of the document that the bounds contradict."""
    findings = []
    grace_s = settings.shutdown.grace_s
    for index, route in enumerate(document.routes):
        if route.timeout_ms > grace_s * 1000:
            findings.append(
                build_warning(
                    format_place("routes", index, "timeout_ms"),
                    f"timeout {route.timeout_ms:g} ms of route {route.name!r} is above "
                    f"the grace period, {grace_s:g} s: a stopping instance refuses "
                    "its requests at once",
                )
            )
    cold_limit = ColdRateLimit(settings.warm_up.overshoot, settings.warm_up.slack)
    for index, service in enumerate(document.services):
        # RendezvousWarmUp divides the bound by MAX_PARTITIONS and reserves one request
        # of each part for a burst; if nothing is left, its buckets never fill.
        max_requests = cold_limit.compute_max_requests(service.cold_per_s)
        if service.cold_per_s > 0 and max_requests <= MAX_PARTITIONS:
            findings.append(
                build_warning(
                    format_place("services", index, "cold_per_s"),
                    f"a cold upstream of service {service.name!r} may get "
                    f"{max_requests:g} requests per second, which is too few to "
                    "divide: it gets none",
                )
            )
    return findings


def find_settings_contradictions(document, settings):
    """Return the findings on fields of the settings, with their paths in TOML."""
    findings = []
    rollouts = settings.rollouts
    if rollouts.exposure_share == 0 and rollouts.slack == 0:
        findings.append(
            build_warning(
                "rollouts.exposure_share",
                "share and slack are 0: no rollout can send a request to a new version",
            )
        )
    retries = settings.retries
    repeating = sum(route.attempts > 1 for route in document.routes)
    if retries.ratio == 0 and retries.slack == 0 and repeating:
        findings.append(
            build_warning(
                "retries.ratio",
                "ratio and slack are 0: the attempts above 1 of "
                f"{repeating} routes are never made",
            )
        )
    return findings
