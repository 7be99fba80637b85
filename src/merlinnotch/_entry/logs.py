"""JSON log lines on standard output, rate-limited and without blocking."""

import logging
import os
import time

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "merlinnotch"
BURST_S = 2.0
"""Burst size, as seconds of the permitted rate."""
STDOUT = 1


class RateLimitedHandler(logging.Handler):
    """Non-blocking handler that drops lines over the rate limit or while the reader
    stalls.

    Dropped lines are counted, and the next line written gives their number. Warnings
    and errors are exempt from the rate of *lines_per_s*.
    """

    def __init__(self, lines_per_s, descriptor=STDOUT, read_clock=time.monotonic):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._read_clock = read_clock
        self._tokens = lines_per_s * BURST_S
        self._refilled_at = read_clock()
        self._unwritten = b""
        self.dropped = 0

    def emit(self, record):
        if not self._take_token() and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        if self.dropped:
            record.lines_left_out = self.dropped
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._write(line)

    def _take_token(self):
        now = self._read_clock()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._tokens + refill, self._lines_per_s * BURST_S)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, line):
        data = self._unwritten + line
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # The reader has stalled. A partly written line still has to be completed
            # before the next.
            self.dropped += 1
            return
        if written >= len(self._unwritten):
            self.dropped = 0
        self._unwritten = data[written:]


def set_up_logs(settings):
    """Send the package's log lines to standard output; return the handler."""
    handler = RateLimitedHandler(settings.logs.lines_per_s)
    fields = {"instance": settings.instance.name, "zone": settings.instance.zone}
    handler.setFormatter(
        JsonFormatter("%(created)f %(levelname)s %(message)s", static_fields=fields)
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return handler
