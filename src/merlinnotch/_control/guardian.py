"""The task that detects faulty versions and quarantines them."""

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
    """Tests the fleet's tallies for faulty versions and publishes quarantines.

    A new quarantine is sent to peers at once. It is also written to the store, with
    retries until that succeeds, so that instances that start later apply it.
    """

    interval_s = 1.0

    def __init__(
        self, gossiper, configurer, store, tallies, quality_estimator, metrics
    ):
        super().__init__()
        self._gossiper = gossiper
        self._configurer = configurer
        self._store = store
        self._tallies = tallies
        self._quality_estimator = quality_estimator
        self._metrics = metrics
        self._guard = VersionGuard()
        self._quarantines = {}
        self._unsaved_quarantines = {}
        self._reset_quarantines = {}
        self.tallies_by_version = {}
        configurer.add_listener(self._apply_catalogue)
        gossiper.add_listener(
            QUARANTINE, lambda key, value: self.apply_quarantine(key[1], value)
        )

    @property
    def quarantined(self):
        """The set of ids of the versions whose quarantine is in force."""
        return {
            version_id
            for version_id, quarantine in self._quarantines.items()
            if self._is_in_force(version_id, quarantine)
        }

    def apply_quarantine(self, version_id, quarantine):
        """Apply a quarantine and send it to peers, unless it or a later one is known.

        It may come from this instance, a peer or the store.
        """
        previous = self._quarantines.get(version_id)
        if previous is not None and previous.order >= quarantine.order:
            return
        self._quarantines[version_id] = quarantine
        self._gossiper.publish(QUARANTINE, (version_id,), quarantine)
        logger.warning(
            "version quarantined",
            extra={"version": version_id, "reason": quarantine.reason},
        )

    def run_once(self):
        self._tallies.publish()
        tallies = self._tallies.sum_fleet()
        with self._metrics.measure_control():
            self._quality_estimator.replace_tallies(tallies)
            self.tallies_by_version = sum_by_version(tallies)
            self._quarantine_faulty_versions(tallies)
        self._save_quarantines()

    def _quarantine_faulty_versions(self, tallies):
        if self._configurer.tracker.catalogue is None:
            return
        for alarm in self._guard.observe(tallies, self._map_siblings()):
            if alarm.version in self.quarantined:
                continue
            self._metrics.guard_alarms.labels(alarm.reason).inc()
            revision = self._choose_revision(alarm.version)
            reason = f"{alarm.reason} on {alarm.kind}"
            quarantine = Quarantine(revision, reason, time.time())
            self._unsaved_quarantines[alarm.version] = quarantine
            self.apply_quarantine(alarm.version, quarantine)

    def _choose_revision(self, version_id):
        """Return the revision number for a new quarantine of a version.

        It is above the version's *cleared_revision*, which an operator may have set
        higher than the revision in force; the quarantine would else have no effect.
        """
        tracker = self._configurer.tracker
        version = tracker.catalogue.get_version(version_id)
        cleared_revision = version.cleared_revision if version else 0
        return max(tracker.number, cleared_revision + 1)

    def _save_quarantines(self):
        for version_id, quarantine in list(self._unsaved_quarantines.items()):
            key = f"{QUARANTINE_PREFIX}{version_id}"
            item = self._store.read(key).get(key)
            try:
                index = item.modify_index if item else ABSENT
                self._store.swap(key, quarantine.encode(), index)
            except StoreConflict:
                continue
            self._unsaved_quarantines.pop(version_id, None)

    def _map_siblings(self):
        """Map version ids to the id of another version of the model that is serving."""
        siblings = {}
        for model in self._configurer.tracker.catalogue.models.values():
            serving = [
                candidate
                for candidate in model.versions
                if candidate.state is VersionState.SERVING
            ]
            for version in model.versions:
                others = [
                    candidate for candidate in serving if candidate.id != version.id
                ]
                if others:
                    siblings[version.id] = others[0].id
        return siblings

    def _is_in_force(self, version_id, quarantine):
        catalogue = self._configurer.tracker.catalogue
        version = catalogue.get_version(version_id) if catalogue else None
        return quarantine.is_in_force(version)

    def _apply_catalogue(self, catalogue):
        tuning = catalogue.tuning
        self._guard.tune(
            tuning.guard_drop, tuning.guard_error_rate, tuning.guard_false_alarm
        )
        for version_id, quarantine in self._quarantines.items():
            cleared = not self._is_in_force(version_id, quarantine)
            if cleared and self._reset_quarantines.get(version_id) != quarantine:
                self._reset_quarantines[version_id] = quarantine
                self._guard.reset(version_id)
