"""Reading and checking file sets."""

import pathlib
import tomllib

from pydantic import ValidationError

from .._errors import ConfigurationInvalid
from .catalogue import Catalogue
from .fault import Fault
from .kind import Kind
from .model import Model
from .pool import Pool
from .references import find_bad_references
from .schema import Document
from .service import Service
from .state import VersionState
from .team import Team
from .tuning import Tuning
from .version import Version

ONE_PER_SET = "tuning"


def load_files(folder):
    """Return the document merged from all ``*.toml`` files in *folder*.

    The second value maps each (table, entry) to the file that declares it.
    Raises :class:`ConfigurationInvalid` for files that can't be read as TOML
    or that declare the same entry twice.
    """
    document, origins, faults = {}, {}, []
    paths = sorted(pathlib.Path(folder).glob("*.toml"))
    if not paths:
        faults.append(Fault(str(folder), "", "", "no *.toml file", "at least one"))
    for path in paths:
        try:
            tables = tomllib.loads(path.read_text())
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            faults.append(Fault(path.name, "", "", str(error), "must be valid TOML"))
            continue
        _merge_tables(document, origins, faults, path.name, tables)
    if faults:
        raise ConfigurationInvalid(faults)
    return document, origins


def load_catalogue(folder):
    """Return the document and the :class:`Catalogue` of a folder of files."""
    document, origins = load_files(folder)
    return document, parse_catalogue(document, origins)


def parse_catalogue(document, origins=None):
    """Check *document* and return its :class:`Catalogue`.

    Raises :class:`ConfigurationInvalid` with every fault found.
    """
    origins = origins or {}
    try:
        checked = Document.model_validate(document)
    except ValidationError as error:
        faults = [_describe_fault(entry, origins) for entry in error.errors()]
        raise ConfigurationInvalid(faults) from error
    catalogue = _build_catalogue(checked)
    faults = find_bad_references(catalogue, origins)
    if faults:
        raise ConfigurationInvalid(faults)
    return catalogue


def _merge_tables(document, origins, faults, file, tables):
    for table, entries in tables.items():
        if not isinstance(entries, dict):
            faults.append(Fault(file, "", table, repr(entries), "must be a table"))
            continue
        merged = document.setdefault(table, {})
        for name, value in entries.items():
            first = origins.get((table, name))
            if first and table != ONE_PER_SET:
                allowed = f"already declared in {first}"
                faults.append(Fault(file, table, name, "a second one", allowed))
            merged[name] = value
            origins[table, name] = file


def _describe_fault(entry, origins):
    place = [str(part) for part in entry["loc"] if part != "[key]"]
    table = ".".join(place[:-1])
    file = origins.get(tuple(place[:2]), "file set")
    found = entry.get("input")
    found = "nothing" if entry["type"] == "missing" else repr(found)[:80]
    return Fault(file, table, place[-1] if place else "", found, entry["msg"])


def _build_catalogue(checked):
    return Catalogue(
        teams={name: _build_team(name, t) for name, t in checked.teams.items()},
        models={name: _build_model(name, t) for name, t in checked.models.items()},
        kinds={
            name: Kind(name=name, **{**t.model_dump(), "models": tuple(t.models)})
            for name, t in checked.kinds.items()
        },
        services={
            name: _build_service(name, t) for name, t in checked.services.items()
        },
        pools={
            name: Pool(name, t.manage_versions) for name, t in checked.pools.items()
        },
        tuning=Tuning(**checked.tuning.model_dump()),
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
        tuple(_build_version(name, v, t) for v, t in table.versions.items()),
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
