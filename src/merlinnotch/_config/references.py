"""Checks that span more than one table."""

from .fault import Fault
from .state import VersionState


def find_bad_references(catalogue, origins):
    """Return a :class:`Fault` for each name that nothing declares."""
    return [
        *_check_teams(catalogue, origins),
        *_check_kinds(catalogue, origins),
        *_check_names(catalogue, origins),
        *_check_models(catalogue, origins),
    ]


def _check_teams(catalogue, origins):
    holders = {}
    for team in catalogue.teams.values():
        file = origins.get(("teams", team.name), "file set")
        table = f"teams.{team.name}"
        for name in sorted(team.allow):
            if not _is_declared(catalogue, name):
                allowed = "must name a model, a version or a service"
                yield Fault(file, table, "allow", repr(name), allowed)
        other = holders.setdefault(team.key_sha256, team.name)
        if other != team.name:
            found = f"the key of team {other!r}"
            yield Fault(file, table, "key_sha256", found, "keys must be unique")


def _is_declared(catalogue, name):
    if name in catalogue.models or name in catalogue.services:
        return True
    return catalogue.get_version(name) is not None


def _check_kinds(catalogue, origins):
    for kind in catalogue.kinds.values():
        file = origins.get(("kinds", kind.name), "file set")
        for name in kind.models:
            if name not in catalogue.models:
                allowed = f"must be one of {sorted(catalogue.models)}"
                yield Fault(file, f"kinds.{kind.name}", "models", repr(name), allowed)


def _check_names(catalogue, origins):
    for name in sorted(catalogue.kinds.keys() & catalogue.models.keys()):
        file = origins.get(("kinds", name), "file set")
        allowed = "a kind may not have the name of a model"
        yield Fault(file, "kinds", name, repr(name), allowed)


def _check_models(catalogue, origins):
    for model in catalogue.models.values():
        file = origins.get(("models", model.name), "file set")
        rolling = [v for v in model.versions if v.state is VersionState.ROLLING_OUT]
        total = sum(version.share for version in rolling)
        if total > 1:
            allowed = "shares of versions rolling out must sum to at most 1"
            yield Fault(file, f"models.{model.name}", "share", str(total), allowed)
