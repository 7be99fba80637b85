"""JSON lines on standard output, bounded and never waited for."""

import logging
import os
import time

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "merlinnotch"
BURST_S = 2.0
"""Seconds of the permitted rate that may be written at once."""
STDOUT = 1


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor until the rate or the reader gives out.

    Lines beyond *lines_per_s*, and lines that nobody reads in time, are left
    out and counted; the next line that goes out says how many.
    """

    def __init__(self, lines_per_s, descriptor=STDOUT, read_clock=time.monotonic):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._read_clock = read_clock
        self._tokens = lines_per_s * BURST_S
        self._refilled_at = read_clock()
        self._rest = b""
        self.left_out = 0

    def emit(self, record):
        if not self._take_token() and record.levelno < logging.WARNING:
            self.left_out += 1
            return
        if self.left_out:
            record.lines_left_out = self.left_out
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._write(line)

    def _take_token(self):
        now = self._read_clock()
        earned = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._tokens + earned, self._lines_per_s * BURST_S)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, line):
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # Nobody reads; the rest of a begun line still has to go first.
            self.left_out += 1
            return
        if written >= len(self._rest):
            self.left_out = 0
        self._rest = data[written:]


def set_up_logs(settings):
    """Send the package's log lines to standard output; return the handler."""
    handler = BoundedHandler(settings.logs.lines_per_s)
    fields = {"instance": settings.instance.name, "zone": settings.instance.zone}
    handler.setFormatter(
        JsonFormatter("%(created)f %(levelname)s %(message)s", static_fields=fields)
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return handler
