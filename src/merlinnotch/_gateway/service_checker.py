"""Checks of which services an instance reaches."""

CONTACT_TTL_S = 0.5
"""How long an upstream counts as reached after its last answer or connection."""
MAX_CHECKED = 2
"""Upstreams that are connected to before a service counts as not reached."""


class ServiceChecker:
    """Tells which services this instance reaches, for peers that don't.

    An idle instance doesn't know, so it connects to some upstreams when it is asked.
    """

    def __init__(self, view, loads, prober, read_clock, generator):
        self._view = view
        self._loads = loads
        self._prober = prober
        self._read_clock = read_clock
        self._generator = generator

    def reaches(self, service):
        """Return whether this instance reaches an upstream of *service*."""
        now = self._read_clock()
        accepting = self._view.list_accepting(service, now)
        reachable = self._loads.list_reachable(accepting)
        loads = [self._loads.get(upstream) for upstream in reachable]
        if any(load.was_contacted(CONTACT_TTL_S, now) for load in loads):
            return True
        count = min(MAX_CHECKED, len(reachable))
        checked = self._generator.sample(reachable, count)
        return any(self._prober.check(upstream) for upstream in checked)
