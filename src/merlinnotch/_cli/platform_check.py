"""Reading of the files of ``check-platform``, and its report."""

import collections
import enum
import pathlib
from dataclasses import asdict, dataclass, field

from .._config_check import (
    Finding,
    Severity,
    find_contradictions,
    find_differences,
    find_exceeded_bounds,
    find_settings_contradictions,
    find_unreachable_entries,
    find_version_errors,
)
from .._entry.clock import read_clock
from .._entry.settings import load_entry_settings
from .._errors import ConfigurationInvalid, InvalidSettings, StoreError
from ..platform import CONFIGURATION, PlatformStore, parse_configuration

STORE_TIMEOUT_S = 5.0
"""Replies of a slow store take 0.2 s; this leaves room for a slow link."""


class CheckExitCode(enum.IntEnum):
    """Exit code of the command, which tells the result of the check."""

    VALID = 0
    WARNINGS = 1
    ERRORS = 2


@dataclass(frozen=True)
class Source:
    """A configuration document, None if there is none or it is invalid.

    *name* is its file, or the address of the store that it was read from. *problem*
    is why there is no document.
    """

    name: str
    document: object = None
    problem: str = ""

    @property
    def version(self):
        """The version of the document, None without one."""
        return self.document.version if self.document else None


@dataclass
class CheckReport:
    """The result of a check.

    *rows* are pairs of a file and a :class:`Finding`. *in_force* is None if there was
    nothing to compare with.
    """

    rows: list = field(default_factory=list)
    checked: Source | None = None
    in_force: Source | None = None

    def add(self, name, findings):
        """Add *findings* on the file *name*."""
        self.rows += [(name, finding) for finding in findings]

    def add_error(self, name, message):
        """Add an error that concerns a whole file."""
        self.add(name, [Finding(Severity.ERROR, "", message)])

    @property
    def counts(self):
        """The number of findings by the plural of their severity."""
        counts = collections.Counter(finding.severity for _, finding in self.rows)
        return {f"{severity}s": counts[severity] for severity in Severity}

    @property
    def exit_code(self):
        """The :class:`CheckExitCode`; differences alone don't change it."""
        severities = {finding.severity for _, finding in self.rows}
        if Severity.ERROR in severities:
            return CheckExitCode.ERRORS
        if Severity.WARNING in severities:
            return CheckExitCode.WARNINGS
        return CheckExitCode.VALID

    def list_lines(self):
        """Return a line of text for each finding, and one that counts them."""
        lines = []
        for name, finding in self.rows:
            place = f"{name}:{finding.place}" if finding.place else name
            lines.append(f"{place}: {finding.severity}: {finding.message}")
        summary = ", ".join(f"{count} {noun}" for noun, count in self.counts.items())
        lines.append(f"{self.checked.name}: {summary}{self._describe_in_force()}")
        return [_replace_control_characters(line) for line in lines]

    def _describe_in_force(self):
        if self.in_force is None:
            return ""
        if self.in_force.version is None:
            return f"; not compared with {self.in_force.name}: {self.in_force.problem}"
        return f"; compared with version {self.in_force.version}, {self.in_force.name}"

    def build_json(self):
        """Return the report as an object for programs."""
        against = None
        if self.in_force:
            against = {"source": self.in_force.name, "version": self.in_force.version}
        header = {"file": self.checked.name, "version": self.checked.version}
        findings = [{"file": name, **asdict(finding)} for name, finding in self.rows]
        return header | {"against": against, **self.counts, "findings": findings}


def check_files(path, in_force_path=None, store_address=None, settings_path=None):
    """Return the :class:`CheckReport` of the document at *path*.

    It is compared with the version in force in a file or in the store, and with the
    settings of an instance, if given.
    """
    report = CheckReport()
    report.checked = _read_file(path, report)
    if in_force_path:
        report.in_force = _read_file(in_force_path, report)
    elif store_address:
        report.in_force = _read_store(store_address, report)
    settings = _read_settings(settings_path, report) if settings_path else None
    document = report.checked.document
    if document is None:
        return report
    report.add(path, find_unreachable_entries(document))
    report.add(path, find_contradictions(document))
    if settings:
        report.add(path, find_exceeded_bounds(document, settings))
        report.add(settings_path, find_settings_contradictions(document, settings))
    if report.in_force and report.in_force.document:
        in_force = report.in_force.document
        differences = find_differences(document, in_force)
        report.add(path, find_version_errors(document, in_force, bool(differences)))
        report.add(path, differences)
    return report


def _read_file(path, report):
    try:
        value = pathlib.Path(path).read_bytes()
    except OSError as error:
        report.add_error(path, f"cannot be read: {error.strerror or error}")
        return Source(path, problem="unreadable")
    return _parse(path, value, report)


def _read_store(address, report):
    name = f"store {address}"
    store = PlatformStore(address, read_clock, STORE_TIMEOUT_S)
    try:
        item = store.read(CONFIGURATION).get(CONFIGURATION)
    except StoreError as error:
        report.add_error(name, f"store unreachable: {error}")
        return Source(name, problem="unreachable")
    if item is None:
        return Source(name, problem="no version is in force")
    return _parse(name, item.value, report)


def _parse(name, value, report):
    try:
        return Source(name, parse_configuration(value))
    except ConfigurationInvalid as error:
        findings = [
            Finding(Severity.ERROR, problem.place, problem.message)
            for problem in error.problems
        ]
        report.add(name, findings)
        return Source(name, problem="invalid")


def _read_settings(path, report):
    try:
        return load_entry_settings(path)
    except InvalidSettings as error:
        for problem in error.problems:
            report.add_error(path, problem.removeprefix(f"{path}: "))
        return None


def _replace_control_characters(text):
    """Return *text* with escapes, so that a name can't break a line of the report."""
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)
