"""Mean number of events per stream, by route."""

SMOOTHING_FACTOR = 0.1
"""Weight of the newest stream."""


class StreamLengths:
    """Exponential moving average of the events per stream, by route."""

    def __init__(self):
        self._means = {}

    def record(self, route, event_count):
        """Add a stream that was completed."""
        previous = self._means.get(route, float(event_count))
        self._means[route] = previous + SMOOTHING_FACTOR * (event_count - previous)

    def get(self, route):
        """Return the mean, or 0 if no stream of *route* has completed."""
        return self._means.get(route, 0.0)
