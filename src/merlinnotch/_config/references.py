"""Validation across configuration tables."""

from .state import VersionState
from .validation_problem import ValidationProblem


def find_inconsistencies(catalogue, sources):
    """Return a :class:`ValidationProblem` for each inconsistency between tables.

    *sources* maps each (table, entry) to the name of the file that declares it.
    """
    return [
        *_check_teams(catalogue, sources),
        *_check_kinds(catalogue, sources),
        *_check_kind_names(catalogue, sources),
        *_check_shares(catalogue, sources),
    ]


def _check_teams(catalogue, sources):
    names_by_key = {}
    for team in catalogue.teams.values():
        file = sources.get(("teams", team.name), "file set")
        table = f"teams.{team.name}"
        for name in sorted(team.allow):
            if not _is_declared(catalogue, name):
                allowed = "must name a model, a version or a service"
                yield ValidationProblem(file, table, "allow", repr(name), allowed)
        owner = names_by_key.setdefault(team.key_sha256, team.name)
        if owner != team.name:
            found = f"the key of team {owner!r}"
            yield ValidationProblem(
                file, table, "key_sha256", found, "keys must be unique"
            )


def _is_declared(catalogue, name):
    if name in catalogue.models or name in catalogue.services:
        return True
    return catalogue.get_version(name) is not None


def _check_kinds(catalogue, sources):
    for kind in catalogue.kinds.values():
        file = sources.get(("kinds", kind.name), "file set")
        for name in kind.models:
            if name not in catalogue.models:
                allowed = f"must be one of {sorted(catalogue.models)}"
                yield ValidationProblem(
                    file, f"kinds.{kind.name}", "models", repr(name), allowed
                )


def _check_kind_names(catalogue, sources):
    for name in sorted(catalogue.kinds.keys() & catalogue.models.keys()):
        file = sources.get(("kinds", name), "file set")
        allowed = "a kind and a model must not have the same name"
        yield ValidationProblem(file, "kinds", name, repr(name), allowed)


def _check_shares(catalogue, sources):
    for model in catalogue.models.values():
        file = sources.get(("models", model.name), "file set")
        rolling_out = [v for v in model.versions if v.state is VersionState.ROLLING_OUT]
        total = sum(version.share for version in rolling_out)
        if total > 1:
            allowed = "shares of versions rolling out must sum to at most 1"
            yield ValidationProblem(
                file, f"models.{model.name}", "share", str(total), allowed
            )
