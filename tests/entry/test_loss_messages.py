"""Messages about lost requests and their prompt parts."""

import cbor2
import pytest

from merlinnotch._entry.datagrams import MAX_DATAGRAM_BYTES
from merlinnotch._entry.loss_messages import (
    PartReport,
    decode_part_reports,
    encode_part_reports,
)
from merlinnotch._fleet import UpstreamStart
from merlinnotch._poison import Loss, PartUsage
from merlinnotch._poison.fingerprint import FINGERPRINT_BYTES, MAX_PARTS

START = UpstreamStart("i-0123456789", 1786226630368)


def make_report(number, part_count):
    parts = tuple(
        bytes([number, n]) * (FINGERPRINT_BYTES // 2) for n in range(part_count)
    )
    loss = Loss(bytes([number]) * FINGERPRINT_BYTES, START, 0.123, parts)
    return PartReport(loss, [PartUsage.USED] * part_count)


@pytest.mark.parametrize("part_count", [1, 3, MAX_PARTS])
def test_reports_are_decoded_as_encoded_and_fit_datagrams(part_count):
    reports = [make_report(number, part_count) for number in range(50)]
    bodies = [
        cbor2.loads(cbor2.dumps(body)) for body in encode_part_reports(START, reports)
    ]
    decoded = [report for body in bodies for report in decode_part_reports(body)]
    assert decoded == reports
    assert max(len(cbor2.dumps([21, body])) for body in bodies) <= MAX_DATAGRAM_BYTES


def test_unknown_usage_is_invalid():
    with pytest.raises(ValueError):
        decode_part_reports(["i-1", 0, [[b"request", 0.1, [b"part"], [9]]]])
