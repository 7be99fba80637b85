"""Log lines of admission: the decisions that affect a request, with their inputs."""

import logging
import math
from dataclasses import dataclass

from .._admission import AdmissionRequest, Wait

logger = logging.getLogger("merlinnotch")


@dataclass(frozen=True)
class AdmissionInputs:
    """What a decision at the time *at* was made from."""

    request: AdmissionRequest
    room: object
    demand: object
    at: float


def log_decision(call, inputs, decision, now):
    """Log a *decision* to refuse *call* or to let it wait, with its *inputs*."""
    request = inputs.request
    room = inputs.room
    fields = {
        "request": call.headers.attempt_id,
        "route": call.route.name,
        "team": request.team,
        "service": request.service,
        "rank": request.rank,
        "waited_ms": _to_ms(now - request.arrived_at),
        "left_ms": _to_ms(request.deadline - inputs.at),
        "slots": room.slots,
        "running": round(room.running, 1),
        "queued": round(room.waiting, 1),
        "work_ms": _to_ms(room.work_s),
        "per_s": _round_finite(room.per_s),
        "wait_ms": _to_ms(room.wait_s),
        "room_age_ms": _to_ms(room.age_s),
        "inputs_age_ms": _to_ms(now - inputs.at),
    } | _describe_demand(inputs.demand, request.team)
    if isinstance(decision, Wait):
        fields["until_ms"] = _to_ms(decision.until - inputs.at)
        logger.info("request waits for admission", extra=fields)
        return
    fields["reason"] = str(decision.kind)
    fields["detail"] = decision.detail
    fields["retry_after_ms"] = _to_ms(decision.retry_after_s)
    logger.info("request not admitted", extra=fields)


def _describe_demand(demand, team):
    return {
        "demand_per_s": round(sum(row.per_s for row in demand.rows), 1),
        "team_per_s": round(sum(r.per_s for r in demand.rows if r.team == team), 1),
        "instances": demand.instance_count,
        "own_share": round(demand.own_share, 3),
    }


def _to_ms(seconds):
    return _round_finite(seconds * 1000.0)


def _round_finite(value):
    """Return *value* with one decimal, None if JSON has no number for it."""
    return round(value, 1) if math.isfinite(value) else None
