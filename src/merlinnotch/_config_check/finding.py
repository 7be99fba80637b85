"""What a check reports."""

import enum
from dataclasses import dataclass


class Severity(enum.StrEnum):
    """How serious a finding is.

    With an error, instances reject or ignore the document, part of it serves no
    request, or requests count for another team than meant. With a warning, part of it
    has no effect or contradicts another part.
    """

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"
    """A difference in meaning from the version in force."""


@dataclass(frozen=True)
class Finding:
    """One result of a check.

    *place* is the path of a field, empty for a whole file. *old* and *new* are the
    values of a difference, None for other findings and for whole entries.
    """

    severity: Severity
    place: str
    message: str
    old: object = None
    new: object = None


def build_error(place, message):
    """Return a :class:`Finding` with the severity of an error."""
    return Finding(Severity.ERROR, place, message)


def build_warning(place, message):
    """Return a :class:`Finding` with the severity of a warning."""
    return Finding(Severity.WARNING, place, message)
