"""Loading and validation of settings files."""

import pathlib
import tomllib

from pydantic import ValidationError

from .._errors import InvalidSettings
from .schema import OperatorFile, SettingsFile
from .settings import OperatorSettings, Settings

MIN_SECRET_CHARS = 16


def load_settings(path):
    """Return the :class:`Settings` in a file; raises :class:`InvalidSettings`."""
    path = pathlib.Path(path)
    table = _load_table(path, SettingsFile)
    problems = []
    session_keys = [
        _read_secret(path, name, problems) for name in table.sessions.key_files
    ]
    peer_key = _read_secret(path, table.peers.key_file, problems)
    if problems:
        raise InvalidSettings(problems)
    return Settings(
        instance=table.instance.name,
        zone=table.instance.zone,
        caller_address=table.instance.caller_address,
        metrics_address=table.instance.metrics_address,
        peer_address=table.instance.peer_address,
        advertised_address=(
            table.instance.advertised_address or table.instance.peer_address
        ),
        seeds=tuple(table.peers.seeds),
        store_addresses=tuple(table.store.addresses),
        platform_address=table.platform.address,
        ratings_address=table.ratings.address if table.ratings else None,
        signing_keys=tuple(session_keys),
        peer_key=peer_key,
        drain_s=table.shutdown.drain_s,
        shutdown_s=table.shutdown.deadline_s,
        max_body_bytes=table.instance.max_body_bytes,
        memory_bytes=table.memory.mb * 1e6,
        store_timeout_s=table.store.timeout_s,
    )


def load_operator_settings(path):
    """Return the :class:`OperatorSettings` in a file.

    Raises :class:`InvalidSettings`.
    """
    table = _load_table(pathlib.Path(path), OperatorFile)
    return OperatorSettings(
        tuple(table.store.addresses), table.operator.name, table.store.timeout_s
    )


def _load_table(path, model):
    try:
        return model.model_validate(tomllib.loads(path.read_text()))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise InvalidSettings([f"{path}: {error}"]) from error
    except ValidationError as error:
        raise InvalidSettings(
            [_format_error(path, details) for details in error.errors()]
        ) from error


def _format_error(path, details):
    """Return the message for one error reported by pydantic."""
    location = ".".join(str(part) for part in details["loc"])
    found = (
        "nothing" if details["type"] == "missing" else repr(details.get("input"))[:80]
    )
    return f"{path}: {location}: found {found}; {details['msg']}"


def _read_secret(path, name, problems):
    """Return the secret in the file *name*, a path relative to the settings file.

    Messages are appended to *problems*.
    """
    try:
        secret = (path.parent / name).read_text().strip()
    except OSError as error:
        problems.append(f"{path}: secret file {name}: {error.strerror}")
        return ""
    if len(secret) < MIN_SECRET_CHARS:
        allowed = f"must have at least {MIN_SECRET_CHARS} characters"
        problems.append(f"{path}: secret file {name}: {allowed}")
    return secret
