"""How many events streams have, by route."""

WEIGHT = 0.1
"""Weight of the newest stream; one instance ends some five a second."""


class LengthBook:
    """The mean number of events of a route's streams, as far as seen."""

    def __init__(self):
        self._means = {}

    def note(self, route, events):
        """Take one whole stream."""
        known = self._means.get(route, float(events))
        self._means[route] = known + WEIGHT * (events - known)

    def get(self, route):
        """Return the mean, 0 where no stream was seen yet."""
        return self._means.get(route, 0.0)
