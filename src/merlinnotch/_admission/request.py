"""What admission needs to know of a request."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AdmissionRequest:
    """A request that asks for admission.

    *id* is unique at the instance. *team* is "" for callers without a key. *rank* is
    the team's priority if it has one, otherwise the route's; 0 is the most urgent.
    *size_bytes* is the memory that the request takes while it waits. Times are on the
    boot clock: *goal_at* is the end of the route's latency goal, *deadline* when the
    caller or the route times out.
    """

    id: int
    service: str
    team: str
    rank: int
    size_bytes: int
    arrived_at: float
    goal_at: float
    deadline: float
