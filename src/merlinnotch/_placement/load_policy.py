"""Which decisions under load are made for which services."""

import enum

REPORT_TTL_S = 60.0
"""A service counts as reporting the pace of its machines for this long after a report.
Longer than a release of all its upstreams takes, so that the decisions don't change
meanwhile."""


class Feature(enum.StrEnum):
    """A decision under load that a deployment may ask for."""

    ADMISSION = "admission"
    MODELS = "models"
    WORK_TIMES = "work_times"
    RAMP_UP = "ramp_up"


class Mode(enum.StrEnum):
    """When a :class:`Feature` is used."""

    AUTO = "auto"
    """As the deployment's contracts ask for; only used in settings."""
    OFF = "off"
    ON = "on"
    REPORTED = "reported"
    """For services of which an upstream has reported the pace of its machine."""


class LoadPolicy:
    """Tells which features are on for a service.

    *modes* maps each :class:`Feature` to its :class:`Mode`; missing ones are off.
    """

    def __init__(self, modes=None):
        self.modes = modes or {}
        self._reported_at = {}

    def record_pace(self, service, now):
        """Record that an upstream of *service* reported the pace of its machine."""
        self._reported_at[service] = now

    def is_any_on(self, now):
        """Return whether any feature is on for any service."""
        modes = set(self.modes.values())
        return Mode.ON in modes or (
            Mode.REPORTED in modes
            and any(now - at <= REPORT_TTL_S for at in self._reported_at.values())
        )

    def is_on(self, feature, service, now):
        """Return whether *feature* is on for *service*."""
        mode = self.modes.get(feature, Mode.OFF)
        if mode is Mode.REPORTED:
            reported_at = self._reported_at.get(service)
            return reported_at is not None and now - reported_at <= REPORT_TTL_S
        return mode is Mode.ON
