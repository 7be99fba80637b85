"""Log lines on the limits of upstreams."""

import logging

logger = logging.getLogger("merlinnotch")


def log_change(upstream_id, previous_per_s, per_s, source, age_s):
    """Log that the limit of an upstream begins, changes or ends.

    Limits are in requests per second, None without one. *source* is a
    :class:`LimitSource`; the limit was named at most *age_s* seconds ago.
    """
    fields = {
        "upstream": upstream_id,
        "previous_per_s": previous_per_s,
        "per_s": per_s,
        "source": str(source),
        "age_ms": round(age_s * 1000.0),
    }
    message = "upstream limit ended" if per_s is None else "upstream limit in force"
    logger.info(message, extra=fields)
