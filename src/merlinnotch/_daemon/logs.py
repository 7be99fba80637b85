"""JSON logs, one line for each change of state."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "merlinnotch"


def set_up_logs(instance, zone):
    """Send the package's log lines to standard error as JSON."""
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
