"""Faults found in operators' files."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """One problem: where it is, what was found, what is allowed."""

    file: str
    table: str
    key: str
    found: str
    allowed: str

    def __str__(self):
        place = f"{self.file}: [{self.table}] {self.key}".rstrip()
        return f"{place}: found {self.found}; {self.allowed}"
