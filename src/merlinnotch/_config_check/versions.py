"""The version of a document against the one in force."""

from ..platform import format_place
from .finding import build_error


def find_version_errors(document, in_force, is_different):
    """Return an error if instances would ignore *document* as an older one.

    *is_different* tells whether it differs from *in_force*; a document that is the
    same as the one in force needn't be taken.
    """
    if document.version > in_force.version:
        return []
    if document.version == in_force.version and not is_different:
        return []
    return [
        build_error(
            format_place("version"),
            f"version {document.version} is not above {in_force.version}, which is in "
            "force: instances ignore the document",
        )
    ]
