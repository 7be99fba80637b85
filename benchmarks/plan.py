"""What callers do, and what they got."""

import uuid
from dataclasses import dataclass, field


@dataclass
class CallerPlan:
    """What one process of callers does. *rate* is in requests per second.

    *teams* and *kinds* map names to weights; *streamed* and *in_session* are
    shares of requests. With *closed* that many callers ask in a loop instead.
    *run* sets the request ids apart from those of other runs.
    """

    entries: list
    keys: dict
    teams: dict
    kinds: dict
    rate: float
    duration_s: float
    seed: int
    streamed: float = 0.5
    in_session: float = 0.0
    retry: bool = True
    closed: int = 0
    start_at: float = 0.0
    deadline_ms: int = 8000
    direct: str = ""
    max_tokens: int = 0
    patience_s: float = 60.0
    run: str = field(default_factory=lambda: uuid.uuid4().hex)


@dataclass
class Sample:
    """What came of one request. Times are in seconds; *start* from the start."""

    start: float
    team: str
    kind: str
    status: int = 0
    latency: float = 0.0
    first: float = 0.0
    gaps: list = field(default_factory=list)
    tokens: int = 0
    version: str = ""
    quality: float = -1.0
    tries: int = 0
    error: str = ""
    outcome: str = ""
