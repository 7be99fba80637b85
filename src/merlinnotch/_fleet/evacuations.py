"""Evacuated availability zones, whose upstreams get no requests."""

import logging

logger = logging.getLogger("merlinnotch")


class EvacuatedZones:
    """The zones that operators have evacuated."""

    def __init__(self):
        self._zones = set()

    def __contains__(self, zone):
        return zone in self._zones

    def list_names(self):
        """Return the zone names in sorted order."""
        return sorted(self._zones)

    def add(self, evacuation, upstream_count):
        """Add the zone of an :class:`Evacuation`; it has *upstream_count* upstreams."""
        if not evacuation.is_valid:
            logger.error(
                "evacuation value cannot be decoded; zone is evacuated regardless",
                extra={"zone": evacuation.zone},
            )
        if evacuation.zone in self._zones:
            return
        self._zones.add(evacuation.zone)
        # The name of a zone without upstreams may be misspelled.
        level = logging.INFO if upstream_count else logging.WARNING
        fields = {"zone": evacuation.zone, "upstreams": upstream_count}
        logger.log(level, "zone evacuated", extra=fields)

    def remove(self, evacuation, upstream_count):
        """Remove the zone of an :class:`Evacuation` that has ended."""
        self._zones.discard(evacuation.zone)
        fields = {"zone": evacuation.zone, "upstreams": upstream_count}
        logger.info("zone evacuation ended", extra=fields)
