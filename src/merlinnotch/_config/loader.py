"""Loading and validation of configuration files."""

import pathlib
import tomllib

from pydantic import ValidationError

from .._errors import ConfigurationInvalid
from .catalogue import Catalogue
from .kind import Kind
from .model import Model
from .pool import Pool
from .references import find_inconsistencies
from .schema import Document
from .service import Service
from .state import VersionState
from .team import Team
from .tuning import Tuning
from .validation_problem import ValidationProblem
from .version import Version

OVERRIDABLE_TABLE = "tuning"
"""The table whose keys may be set in several files; the last file takes precedence."""


def load_files(folder):
    """Return the document merged from ``*.toml`` files in *folder*, and its sources.

    The sources map each (table, entry) to the name of the file that declares it.
    Raises :class:`ConfigurationInvalid` if there is no file, if a file is not valid
    TOML or if two files declare the same entry.
    """
    document, sources, problems = {}, {}, []
    paths = sorted(pathlib.Path(folder).glob("*.toml"))
    if not paths:
        problems.append(
            ValidationProblem(
                str(folder), "", "", "no *.toml file", "at least one is required"
            )
        )
    for path in paths:
        try:
            tables = tomllib.loads(path.read_text())
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            problems.append(
                ValidationProblem(path.name, "", "", str(error), "must be valid TOML")
            )
            continue
        _merge_tables(document, sources, problems, path.name, tables)
    if problems:
        raise ConfigurationInvalid(problems)
    return document, sources


def load_catalogue(folder):
    """Return the document and the :class:`Catalogue` of the files in *folder*.

    Raises :class:`ConfigurationInvalid` with all problems found.
    """
    document, sources = load_files(folder)
    return document, parse_catalogue(document, sources)


def parse_catalogue(document, sources=None):
    """Validate *document* and return its :class:`Catalogue`.

    *sources* maps each (table, entry) to its file, which problems name.
    Raises :class:`ConfigurationInvalid` with all problems found.
    """
    sources = sources or {}
    try:
        tables = Document.model_validate(document)
    except ValidationError as error:
        problems = [_build_problem(details, sources) for details in error.errors()]
        raise ConfigurationInvalid(problems) from error
    catalogue = _build_catalogue(tables)
    problems = find_inconsistencies(catalogue, sources)
    if problems:
        raise ConfigurationInvalid(problems)
    return catalogue


def _merge_tables(document, sources, problems, file, tables):
    for table, entries in tables.items():
        if not isinstance(entries, dict):
            problems.append(
                ValidationProblem(file, "", table, repr(entries), "must be a table")
            )
            continue
        merged = document.setdefault(table, {})
        for name, value in entries.items():
            other_file = sources.get((table, name))
            if other_file and table != OVERRIDABLE_TABLE:
                allowed = f"already declared in {other_file}"
                problems.append(
                    ValidationProblem(file, table, name, "a duplicate entry", allowed)
                )
            merged[name] = value
            sources[table, name] = file


def _build_problem(details, sources):
    """Return the :class:`ValidationProblem` of one error reported by pydantic."""
    location = [str(part) for part in details["loc"] if part != "[key]"]
    table = ".".join(location[:-1])
    file = sources.get(tuple(location[:2]), "file set")
    found = details.get("input")
    found = "nothing" if details["type"] == "missing" else repr(found)[:80]
    return ValidationProblem(
        file, table, location[-1] if location else "", found, details["msg"]
    )


def _build_catalogue(tables):
    return Catalogue(
        teams={name: _build_team(name, table) for name, table in tables.teams.items()},
        models={
            name: _build_model(name, table) for name, table in tables.models.items()
        },
        kinds={
            name: Kind(
                name=name, **{**table.model_dump(), "models": tuple(table.models)}
            )
            for name, table in tables.kinds.items()
        },
        services={
            name: _build_service(name, table) for name, table in tables.services.items()
        },
        pools={
            name: Pool(name, table.manage_versions)
            for name, table in tables.pools.items()
        },
        tuning=Tuning(**tables.tuning.model_dump()),
    )


def _build_team(name, table):
    return Team(
        name, table.key_sha256, table.weight, frozenset(table.allow), table.may_pin
    )


def _build_model(name, table):
    return Model(
        name,
        table.pool,
        table.cost_per_1k_tokens,
        table.expected_quality,
        tuple(
            _build_version(name, version_name, version_table)
            for version_name, version_table in table.versions.items()
        ),
    )


def _build_version(model, name, table):
    serve_when_stale = table.serve_when_stale
    if serve_when_stale is None:
        serve_when_stale = table.state is VersionState.SERVING
    return Version(
        model,
        name,
        table.state,
        table.share,
        serve_when_stale,
        table.cleared_revision,
    )


def _build_service(name, table):
    methods = frozenset(method.upper() for method in table.idempotent_methods)
    return Service(name, table.pool, methods, table.deadline_ms, table.cost_per_call)
