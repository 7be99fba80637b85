"""Messages about the requests that were running on an upstream when it ended."""

from dataclasses import dataclass

from .._fleet import UpstreamStart
from .._poison import Loss, PartUsage

MAX_ROWS = 40
"""Losses per message, so that it fits a datagram."""
MAX_PART_ROWS = 20
MAX_ROW_PARTS = 40
"""Losses and their prompt parts per message about parts."""


def encode_losses(start, losses):
    """Return the message bodies on *losses* at the upstream *start*."""
    rows = [[loss.fingerprint, _round_run_time(loss)] for loss in losses]
    return [
        [start.id, start.started_ms, rows[first : first + MAX_ROWS]]
        for first in range(0, len(rows), MAX_ROWS)
    ]


def decode_losses(body):
    """Return the :class:`Loss` list of a message body."""
    upstream_id, started_ms, rows = body
    start = UpstreamStart(upstream_id, started_ms)
    return [Loss(fingerprint, start, run_time_s) for fingerprint, run_time_s in rows]


@dataclass(frozen=True)
class PartReport:
    """A loss of a request with prompt parts.

    *usages* has the :class:`PartUsage` of each part at the instance that reports it.
    """

    loss: Loss
    usages: list[PartUsage]


def encode_part_reports(start, reports):
    """Return the message bodies on :class:`PartReport` at the upstream *start*."""
    return [
        [start.id, start.started_ms, [_encode_part_report(r) for r in group]]
        for group in _group_reports(reports)
    ]


def decode_part_reports(body):
    """Return the :class:`PartReport` list of a message body.

    Raises ValueError or TypeError if it is invalid.
    """
    upstream_id, started_ms, rows = body
    start = UpstreamStart(upstream_id, started_ms)
    return [
        PartReport(
            Loss(fingerprint, start, run_time_s, tuple(parts)),
            [PartUsage(usage) for usage in usages],
        )
        for fingerprint, run_time_s, parts, usages in rows
    ]


def _group_reports(reports):
    """Yield lists of reports that fit one message each."""
    group = []
    part_count = 0
    for report in reports:
        part_count += len(report.loss.parts)
        if group and (part_count > MAX_ROW_PARTS or len(group) >= MAX_PART_ROWS):
            yield group
            group = []
            part_count = len(report.loss.parts)
        group.append(report)
    if group:
        yield group


def _encode_part_report(report):
    loss = report.loss
    usages = [int(usage) for usage in report.usages]
    return [loss.fingerprint, _round_run_time(loss), loss.parts, usages]


def _round_run_time(loss):
    return None if loss.run_time_s is None else round(loss.run_time_s, 3)
