"""Problems in configuration files."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ValidationProblem:
    """One invalid place in a configuration file.

    *found* describes the invalid value, *allowed* what is accepted instead.
    """

    file: str
    table: str
    key: str
    found: str
    allowed: str

    def __str__(self):
        location = f"{self.file}: [{self.table}] {self.key}".rstrip()
        return f"{location}: found {self.found}; {self.allowed}"
