"""Watching versions, and keeping bad ones in quarantine."""

import logging
import time

from .._config import VersionState
from .._daemon.task import Task
from .._errors import StoreConflict
from .._links.gossiper import QUARANTINE
from .._links.tallies import sum_by_version
from .._peers import Quarantine
from .._routing import VersionGuard
from .._store import ABSENT
from .._store.keys import QUARANTINE_PREFIX

logger = logging.getLogger("merlinnotch")


class Guardian(Task):
    """Runs the guard over the fleet's tallies and spreads what it finds.

    A quarantine goes to peers at once and to the store as soon as it can be
    reached, so that instances which start later know of it.
    """

    interval_s = 1.0

    def __init__(self, gossiper, configurer, store, tallies, book, metrics):
        super().__init__()
        self._gossiper = gossiper
        self._configurer = configurer
        self._store = store
        self._tallies = tallies
        self._book = book
        self._metrics = metrics
        self._guard = VersionGuard()
        self._found = {}
        self._unsaved = {}
        self._reset_for = {}
        self.by_version = {}
        configurer.listen(self._take_catalogue)
        gossiper.listen(QUARANTINE, lambda key, value: self.note(key[1], value))

    @property
    def quarantined(self):
        """The ids of the versions in quarantine under the revision in force."""
        return {v for v, q in self._found.items() if self._is_in_force(v, q)}

    def note(self, version_id, quarantine):
        """Take a quarantine from wherever it came."""
        known = self._found.get(version_id)
        if known is not None and known.order >= quarantine.order:
            return
        self._found[version_id] = quarantine
        self._gossiper.publish(QUARANTINE, (version_id,), quarantine)
        logger.warning(
            "version quarantined",
            extra={"version": version_id, "reason": quarantine.reason},
        )

    def run_once(self):
        self._tallies.publish()
        tallies = self._tallies.sum_fleet()
        with self._metrics.measure_control():
            self._book.replace_tallies(tallies)
            self.by_version = sum_by_version(tallies)
            self._look_for_alarms(tallies)
        self._save()

    def _look_for_alarms(self, tallies):
        if self._configurer.tracker.catalogue is None:
            return
        for alarm in self._guard.observe(tallies, self._find_siblings()):
            if alarm.version in self.quarantined:
                continue
            self._metrics.alarms.labels(alarm.reason).inc()
            revision = self._number_quarantine(alarm.version)
            reason = f"{alarm.reason} on {alarm.kind}"
            quarantine = Quarantine(revision, reason, time.time())
            self._unsaved[alarm.version] = quarantine
            self.note(alarm.version, quarantine)

    def _number_quarantine(self, version_id):
        """Return the revision that a quarantine found now is made under.

        An operator may have cleared up to a revision that is yet to come; what
        is found after that clearing must count all the same.
        """
        tracker = self._configurer.tracker
        version = tracker.catalogue.get_version(version_id)
        cleared = version.cleared_revision if version else 0
        return max(tracker.number, cleared + 1)

    def _save(self):
        for version_id, quarantine in list(self._unsaved.items()):
            key = f"{QUARANTINE_PREFIX}{version_id}"
            item = self._store.read(key).get(key)
            try:
                index = item.modify_index if item else ABSENT
                self._store.swap(key, quarantine.encode(), index)
            except StoreConflict:
                continue
            self._unsaved.pop(version_id, None)

    def _find_siblings(self):
        """Map each version to the serving one of its model that it replaces."""
        siblings = {}
        for model in self._configurer.tracker.catalogue.models.values():
            serving = [v for v in model.versions if v.state is VersionState.SERVING]
            for version in model.versions:
                others = [v for v in serving if v.id != version.id]
                if others:
                    siblings[version.id] = others[0].id
        return siblings

    def _is_in_force(self, version_id, quarantine):
        catalogue = self._configurer.tracker.catalogue
        version = catalogue.get_version(version_id) if catalogue else None
        return quarantine.is_in_force(version)

    def _take_catalogue(self, catalogue):
        tuning = catalogue.tuning
        self._guard.tune(
            tuning.guard_drop, tuning.guard_error_rate, tuning.guard_false_alarm
        )
        for version_id, quarantine in self._found.items():
            cleared = not self._is_in_force(version_id, quarantine)
            if cleared and self._reset_for.get(version_id) != quarantine:
                self._reset_for[version_id] = quarantine
                self._guard.reset(version_id)
