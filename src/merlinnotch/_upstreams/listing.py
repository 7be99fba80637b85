"""Decoding of the platform's list of upstreams."""

import json
import re
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, Field, ValidationError

from .._peers import ListedUpstream

MAX_NAME_LENGTH = 256
"""Names go into logs, metrics and the messages of all instances."""
MAX_PORT = 65535
LEAVING_STATE = "leaving"
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)|[][{},]', re.DOTALL)
"""An unterminated string matches the rest; the search would restart inside it."""

Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)]


class _Metadata(BaseModel):
    zone: Name
    state: str | None = None


class _Service(BaseModel):
    id: Name = Field(alias="ID")
    address: Name = Field(alias="Address")
    port: int = Field(alias="Port", ge=1, le=MAX_PORT)
    service: Name = Field(alias="Service")
    metadata: _Metadata = Field(alias="Meta")


class _Row(BaseModel):
    service: _Service = Field(alias="Service")


@dataclass(frozen=True)
class PlatformListing:
    """The list of upstreams; *faults* describes the rows that are invalid."""

    rows: tuple[ListedUpstream, ...]
    faults: tuple[str, ...] = ()


def decode_listing(data):
    """Return the :class:`PlatformListing` in *data*; raises :class:`ValueError`.

    Rows may come from other writers; an invalid one doesn't affect the others.
    """
    rows = []
    faults = []
    for row in _decode_items(data):
        try:
            rows.append(_build_upstream(_Row.model_validate(row).service))
        except ValidationError as error:
            detail = error.errors(include_input=False, include_url=False)[0]
            place = ".".join(map(str, detail["loc"]))
            faults.append(f"{place}: {detail['msg']}")
    return PlatformListing(tuple(rows), tuple(faults))


def _build_upstream(service):
    return ListedUpstream(
        id=service.id,
        address=f"{service.address}:{service.port}",
        zone=service.metadata.zone,
        pool=service.service,
        leaving=service.metadata.state == LEAVING_STATE,
    )


def _decode_items(data):
    """Return the items of a JSON array, None for each that can't be decoded."""
    try:
        items = json.loads(data)
    except (ValueError, RecursionError):
        # One item that nests deeply or holds a figure of too many digits fails them
        # all.
        return [_decode_item(part) for part in _split_array(data)]
    if not isinstance(items, list):
        raise ValueError("no list")
    return items


def _decode_item(data):
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None


def _split_array(data):
    """Return the texts of the items of a JSON array; raises :class:`ValueError`."""
    parts = []
    depth = 0
    start = 0
    for match in _JSON_TOKEN.finditer(data):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            if depth == 1:
                start = match.end()
        elif token in (b"]", b"}"):
            depth -= 1
        is_end = depth == 0 and token == b"]"
        if is_end or (depth == 1 and token == b","):
            parts.append(data[start : match.start()])
            start = match.end()
        if depth <= 0:
            break
    if not data.lstrip().startswith(b"[") or depth != 0 or data[start:].strip():
        raise ValueError("no list")
    return parts
