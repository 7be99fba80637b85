"""Timelines of single requests, built from the logs of all processes."""

from .log_lines import LogLine, parse_lines
from .timeline import explain_request

__all__ = ["LogLine", "explain_request", "parse_lines"]
