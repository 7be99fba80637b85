"""What upstreams ask of their senders: no requests for a while, or none any more."""

from .logs import log_leaving
from .recorder import NoticeRecorder
from .source import NoticeSource
from .upstreams import UpstreamNotices

__all__ = ["NoticeRecorder", "NoticeSource", "UpstreamNotices", "log_leaving"]
