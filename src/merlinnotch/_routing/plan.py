"""Plans: which versions a request tries, in order."""

from dataclasses import dataclass

from .._config import Version


@dataclass(frozen=True)
class Plan:
    """One version, or a cheap one first and a better one to escalate to.

    *cost* is the expected cost per request, *quality* the lower bound of the
    expected quality, *duration_s* the expected time of all stages. *explores*
    tells a plan chosen in order to learn.
    """

    stages: tuple[Version, ...]
    cost: float
    quality: float
    duration_s: float
    explores: bool = False

    @property
    def is_cascade(self):
        """Whether a first answer is judged before it is given."""
        return len(self.stages) > 1
