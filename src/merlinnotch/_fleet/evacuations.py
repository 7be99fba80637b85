"""Availability zones whose upstreams are to get nothing."""

import logging

logger = logging.getLogger("merlinnotch")


class EvacuatedZones:
    """The zones that operators have evacuated and not taken back."""

    def __init__(self):
        self._zones = set()

    def __contains__(self, zone):
        return zone in self._zones

    def list_names(self):
        """Return the names of the zones, sorted."""
        return sorted(self._zones)

    def add(self, evacuation, upstream_count):
        """Take an :class:`Evacuation` of a zone with *upstream_count* upstreams."""
        if not evacuation.is_readable:
            logger.error("evacuation not readable", extra={"zone": evacuation.zone})
        if evacuation.zone in self._zones:
            return
        self._zones.add(evacuation.zone)
        # A zone without upstreams may be misspelt.
        level = logging.INFO if upstream_count else logging.WARNING
        fields = {"zone": evacuation.zone, "upstreams": upstream_count}
        logger.log(level, "zone evacuated", extra=fields)

    def remove(self, evacuation, upstream_count):
        """Take that a zone may be used again."""
        self._zones.discard(evacuation.zone)
        fields = {"zone": evacuation.zone, "upstreams": upstream_count}
        logger.info("zone taken back", extra=fields)
