"""Log lines about upstreams that ended and what is blocked."""

import logging
import math

logger = logging.getLogger("merlinnotch")

MAX_LOGGED_LOSSES = 8
"""Losses listed in the log line about an upstream that ended, the latest runs first."""


def log_blocked(fingerprint, starts, culprit):
    """Log a block and the upstreams that ended; *culprit* says what is blocked."""
    upstreams = [start.id for start in starts]
    fields = {"fingerprint": fingerprint.hex(), "upstreams": upstreams}
    fields["culprit"] = culprit
    logger.warning("request blocked", extra=fields)


def log_losses(start, losses):
    """Log which requests were running on an upstream that ended, and for how long."""
    latest = sorted(
        losses,
        key=lambda loss: math.inf if loss.run_time_s is None else loss.run_time_s,
    )
    runs = [
        {
            "fingerprint": loss.fingerprint.hex(),
            "run_ms": loss.run_time_s and round(loss.run_time_s * 1000.0, 1),
            "parts": [part.hex() for part in loss.parts],
        }
        for loss in latest[:MAX_LOGGED_LOSSES]
    ]
    fields = {"upstream": start.id, "losses": len(losses), "latest": runs}
    logger.info("upstream ended", extra=fields)
