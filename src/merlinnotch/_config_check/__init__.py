"""Checks of a configuration document before it is sent, without I/O.

*document* is always the result of :func:`merlinnotch.platform.parse_configuration`.
"""

from .contradictions import find_contradictions
from .differences import find_differences
from .finding import Finding, Severity
from .settings_bounds import find_exceeded_bounds, find_settings_contradictions
from .unreachable import find_unreachable_entries
from .versions import find_version_errors

__all__ = [
    "Finding",
    "Severity",
    "find_contradictions",
    "find_differences",
    "find_exceeded_bounds",
    "find_settings_contradictions",
    "find_unreachable_entries",
    "find_version_errors",
]
