"""The contracts of a deployment, as far as they change how it is served."""

_PRESSURE = "pressure"


def is_under_pressure(contracts):
    """Return whether callers of a deployment with *contracts* compete for room."""
    return _PRESSURE in contracts
