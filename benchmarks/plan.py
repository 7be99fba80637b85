"""Input and results of a process of simulated callers."""

import uuid
from dataclasses import dataclass, field


@dataclass
class CallerPlan:
    """Input of one process of callers.

    *rate* is in requests per second; with *closed* greater than zero, that many callers
    send requests in a closed loop instead. *teams* and *kinds* map names to weights.
    *streamed* and *in_session* are shares of requests. *start_at* is in Unix time.
    With *direct*, requests ask engines for that model, without an entry. With *retry*,
    callers give up after *patience_s*. *run* makes request ids unique among runs.
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
    """Result of one request with its retries.

    Times are in seconds; *start* counts from the start of the run. *latency* includes
    retries, *first* is the time from an attempt to the first chunk of its response, and
    *gaps* are the times between the chunks that follow. *status* is 0 if the connection
    failed or a stream was incomplete. *quality* is -1 if the response has none.
    """

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
