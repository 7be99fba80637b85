"""Entries of keys that instances write."""

import pytest

from merlinnotch._errors import ConfigurationInvalid
from merlinnotch._fleet.records import PEER_PREFIX, STAGE_PREFIX, decode_record


@pytest.mark.parametrize("prefix", [PEER_PREFIX, STAGE_PREFIX])
@pytest.mark.parametrize("value", [b"", b"\x83\x01", b"\xff", b"{}", b"\x80"])
def test_malformed_record_is_invalid(prefix, value):
    with pytest.raises(ConfigurationInvalid):
        decode_record(f"{prefix}one", value, 7)
