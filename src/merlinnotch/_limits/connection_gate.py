"""Closing new connections while the process falls behind."""

BEAT_INTERVAL_S = 0.05
"""Time between the beats of a timer that shows how late the process runs its tasks."""
MAX_LAG_S = 0.025
"""A beat is late after this time. A request takes several turns of the scheduler, each
of which is as late as a beat."""
INITIAL_WINDOW = 64.0
"""Connections that are accepted between two beats, more than one process can serve."""
MIN_WINDOW = 2.0
WINDOW_DECREASE = 0.7
"""Factor of the window after the first late beat, as the process may just have been
suspended."""
WINDOW_INCREASE = 1.05
"""Factor of the window after a beat in time, small as the window is close to what the
process can serve."""


class ConnectionGate:
    """Decides whether a new connection is accepted or closed before it is read.

    It answers a load of requests that exceeds what the process can serve. Without a
    bound all requests share the processor and are answered late; with it, those that
    are read are served, and the callers of the others meet another instance.

    A request on a kept connection counts like a new connection. It is served in any
    case, as its caller could not tell whether it has run; where there is no room, the
    connection ends with its response.

    The number of connections that are accepted between two beats shrinks with each late
    beat, from the second one in a row on by as much as the beat is late, and grows
    while it is used up and the beats are in time.
    """

    def __init__(self):
        self._due_at = None
        self._was_late = False
        self._window = INITIAL_WINDOW
        self._accepted = 0

    def record_beat(self, now):
        """Record that the timer has fired; the next beat is due after the interval."""
        lag_s = 0.0 if self._due_at is None else now - self._due_at
        is_late = lag_s > MAX_LAG_S
        if is_late:
            served_share = BEAT_INTERVAL_S / (BEAT_INTERVAL_S + lag_s)
            factor = served_share if self._was_late else WINDOW_DECREASE
            self._window = max(MIN_WINDOW, self._window * factor)
        elif self._accepted >= self._window or self._window < INITIAL_WINDOW:
            self._window = self._window * WINDOW_INCREASE
        self._was_late = is_late
        self._accepted = 0
        self._due_at = now + BEAT_INTERVAL_S

    @property
    def has_room(self):
        """Whether another connection may be accepted or kept before the next beat."""
        return self._accepted < self._window

    def admit(self):
        """Count a connection that is accepted, or a request on a kept one."""
        self._accepted += 1
