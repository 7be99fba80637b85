"""The room that services have, as the input of admission."""

from .._admission import estimate_room


class ServiceRooms:
    """Estimates the :class:`ServiceRoom` of services.

    *loads* is a :class:`LoadTable`, *work_times* a :class:`WorkTimes`, *totals* a
    :class:`FleetTotals`.
    """

    def __init__(self, view, loads, work_times, totals):
        self._view = view
        self._loads = loads
        self._work_times = work_times
        self._totals = totals

    def estimate(self, service, now):
        """Return the room of *service*, None if none of its upstreams is reachable."""
        accepting = self._view.list_accepting(service, now)
        usable = self._loads.list_reachable(accepting)
        if not usable:
            return None
        return estimate_room(
            usable, self._loads, self._work_times, now, self._totals.get_in_flight
        )
