"""All invalid fields of a JSON document, and JSON paths of fields.

msgspec stops at the first invalid field. Here the parts of an invalid document are
decoded one by one with the same types, so that all errors are found at once.
"""

import re
import typing
from dataclasses import dataclass

import msgspec

ROOT_PLACE = "$"
PLACE_PATTERN = re.compile(r" - at `\$(?P<rest>[^`]*)`$")
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True)
class FieldError:
    """An error in the field at the JSON path *place*."""

    place: str
    message: str

    def __str__(self):
        return f"{self.place}: {self.message}"


def format_place(*parts):
    """Return the JSON path of a field.

    *parts* are names of attributes of the decoded documents, and indexes of lists.
    """
    path = ROOT_PLACE
    for part in parts:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += "." + part.replace("_", "-")
    return path


def list_field_errors(value, document_type, place=ROOT_PLACE):
    """Return a :class:`FieldError` for each invalid part of the JSON text *value*."""
    try:
        msgspec.json.decode(value, type=document_type, strict=False)
    except DECODE_ERRORS as error:
        try:
            errors = _list_errors_of_parts(value, document_type, place)
        except DECODE_ERRORS:
            # The type or the syntax is wrong, so that there are no parts to look at.
            errors = []
        return errors or [_build_error(error, place)]
    return []


def _list_errors_of_parts(value, document_type, place):
    """Return the errors of the fields or the items of *value*."""
    for alternative in _list_alternatives(document_type):
        if typing.get_origin(alternative) is list:
            (item_type,) = typing.get_args(alternative)
            return _list_errors_of_items(value, item_type, place)
        if isinstance(alternative, type) and issubclass(alternative, msgspec.Struct):
            return _list_errors_of_fields(value, alternative, place)
    return []


def _list_alternatives(document_type):
    """Return the types of a union, or the type itself."""
    arguments = typing.get_args(document_type)
    return arguments if type(None) in arguments else (document_type,)


def _list_errors_of_items(value, item_type, place):
    errors = []
    items = msgspec.json.decode(value, type=list[msgspec.Raw])
    for index, item in enumerate(items):
        errors += list_field_errors(item, item_type, f"{place}[{index}]")
    return errors


def _list_errors_of_fields(value, document_type, place):
    errors = []
    parts = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
    for field in msgspec.structs.fields(document_type):
        field_place = f"{place}.{field.encode_name}"
        if field.encode_name in parts:
            part = parts[field.encode_name]
            errors += list_field_errors(part, field.type, field_place)
        elif field.required:
            errors.append(FieldError(field_place, "required field is missing"))
    return errors


def _build_error(error, place):
    message = str(error)
    match = PLACE_PATTERN.search(message)
    if match is None:
        return FieldError(place, message)
    return FieldError(place + match["rest"], message[: match.start()])
