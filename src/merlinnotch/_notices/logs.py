"""Log lines on notices, the same for each source and front door."""

import logging

logger = logging.getLogger("merlinnotch")


def log_leaving(upstream_id, source):
    """Log that an upstream is leaving; *source* is a :class:`NoticeSource`."""
    fields = {"upstream": upstream_id, "source": str(source)}
    logger.info("upstream leaving", extra=fields)


def log_rest(upstream_id, rest_s):
    """Log that an upstream wants no requests for *rest_s* seconds."""
    fields = {"upstream": upstream_id, "seconds": round(rest_s, 2)}
    logger.info("upstream resting", extra=fields)


def log_problem(upstream_id, problem):
    """Log that a notice of an upstream has invalid values."""
    fields = {"upstream": upstream_id, "detail": problem}
    logger.warning("invalid upstream notice", extra=fields)
