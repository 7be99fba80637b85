"""JSON logging to standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "merlinnotch"


def set_up_logs(instance, zone):
    """Log the package's messages to standard error as JSON; return the logger."""
    handler = logging.StreamHandler(sys.stderr)
    fields = {"instance": instance, "zone": zone}
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(message)s", static_fields=fields)
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger
