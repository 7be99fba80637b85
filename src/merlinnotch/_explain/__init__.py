"""The story of one request, put together from the logs of all processes."""

from .lines import LogLine, parse_lines
from .story import tell_story

__all__ = ["LogLine", "parse_lines", "tell_story"]
