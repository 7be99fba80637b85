"""Plans: the versions that a request runs on, in order."""

from dataclasses import dataclass

from .._config import Version


@dataclass(frozen=True)
class Plan:
    """A single version, or a cascade of a cheap version and one to escalate to.

    *cost* is the expected cost per request, *quality* the lower confidence bound of
    the expected quality, *duration_s* the expected duration of all stages. *explores*
    is true if the plan was chosen to collect ratings.
    """

    stages: tuple[Version, ...]
    cost: float
    quality: float
    duration_s: float
    explores: bool = False

    @property
    def is_cascade(self):
        """Whether the first answer is rated before it is delivered."""
        return len(self.stages) > 1
