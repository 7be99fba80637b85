"""Synchronization of the mirror and the view with the store."""

import enum
import logging

import eventlet

from .._errors import ChangesExpired, StoreUnavailable
from ..platform import ALL_KEYS_PREFIX

logger = logging.getLogger("merlinnotch")

INITIAL_RETRY_DELAY_S = 0.25
"""Pause after the first failed store call; most failures are a single interrupted
watch."""
RETRY_BACKOFF_FACTOR = 1.5
MAX_RETRY_DELAY_S = 0.8
"""Upper bound of the backoff, which saves billed calls. It is short enough for changes
to be applied in time after an outage; meanwhile they come from peers."""
WATCH_PAUSE_SHARE = 0.1
"""Pause between two watches, as a share of the time limit for applying changes. It
batches changes, as each reply to each instance is a billed call."""
MIN_OUTAGE_S = 1.0
"""Failures for at least this long count as an outage, in which leases may have expired.
After an interrupted watch or lost history the store replies at once."""
SILENCE_SHARE = 0.5
"""Share of the time limit for applying changes after which the state is in doubt if
neither the store nor a watcher has confirmed it."""
PEER_DELAY_S = 0.2
"""While the state is in doubt, peers are asked when the store has not replied after
this time, and again after each further one. A slow store takes as long to reply."""
RECOVERY_WINDOW_S = 1.0
"""How long after the store's recovery deletions may be expired leases."""


class UpdateSource(enum.StrEnum):
    """The way by which this instance learned a state of the store."""

    WATCH = "watch"
    FULL_READ = "full read"
    FORWARDED = "forwarded"
    WATCHER = "watcher"
    """Fetched from the watcher that forwarded more than fits a message."""
    PEER = "peer"
    """Fetched from any instance, as the store is unavailable."""


class StoreSync:
    """Applies store changes that the zone's watchers, the store or peers provide.

    While *change_forwarder*, a :class:`ChangeForwarder`, receives changes from the
    watchers, this instance makes no store calls.
    """

    def __init__(
        self, store, mirror, view, peers, change_forwarder, read_clock, watch_s, metrics
    ):
        self._store = store
        self._mirror = mirror
        self._view = view
        self._peers = peers
        self._change_forwarder = change_forwarder
        self._read_clock = read_clock
        self._watch_s = watch_s
        self._metrics = metrics
        self._failing_since = None
        self._recovered_at = None
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._has_full_copy = False
        self._has_watched = False
        self._updated_at = None
        self._confirmed_at = None

    def run(self):
        """Synchronize until the process ends."""
        while True:
            self._sync()

    @property
    def is_connected(self):
        """Whether the last store call succeeded."""
        return self._has_full_copy and self._failing_since is None

    def _sync(self):
        if self._follow_watchers():
            return
        try:
            if self._is_in_doubt():
                self._read_store_and_ask_peers()
            else:
                forwarder = self._change_forwarder
                self._read_store(forwarder.limit_watch_time(self._watch_s))
        except ChangesExpired:
            logger.info(
                "store history not available; reading all entries",
                extra={"index": self._mirror.index},
            )
            self._has_full_copy = False
            if not self._has_watched:
                # The full read before this one was of no use.
                eventlet.sleep(self._retry_delay_s)
            self._has_watched = False
        except StoreUnavailable as error:
            self._record_failure(error)
            eventlet.spawn_n(self._fetch_from_peers)
            eventlet.sleep(self._retry_delay_s)
            self._retry_delay_s = min(
                MAX_RETRY_DELAY_S, self._retry_delay_s * RETRY_BACKOFF_FACTOR
            )

    def _follow_watchers(self):
        """Apply the next forwarded changes; return False if the store has to be read.

        Changes that arrived during a call to the store are still in the queue.
        """
        forwarder = self._change_forwarder
        if not self._has_full_copy or forwarder.is_watcher():
            return False
        wait_s = forwarder.get_remaining_validity_s(self._read_clock())
        forwarded = forwarder.wait(wait_s)
        if forwarded is None:
            return False
        if forwarded.index < self._mirror.index:
            # The message is late, so it does not show that later changes are here.
            return True
        if not self._apply_forwarded(forwarded):
            forwarder.record_missed()
            return False
        forwarder.record_applied(forwarded)
        return True

    def _is_in_doubt(self):
        """Return whether changes may have been missed.

        The store then replies at once if it replies at all, so that its silence shows
        long before the end of a watch.
        """
        if self._failing_since is not None:
            return True
        if self._confirmed_at is None:
            return False
        silence_s = self._read_clock() - self._confirmed_at
        return silence_s >= SILENCE_SHARE * self._change_forwarder.in_force_s

    def _read_store_and_ask_peers(self):
        """Read the store, and ask peers for as long as it doesn't reply."""
        asking = eventlet.spawn(self._ask_peers_repeatedly)
        try:
            self._read_store(watch_s=0.0)
        finally:
            asking.kill()

    def _ask_peers_repeatedly(self):
        while True:
            eventlet.sleep(PEER_DELAY_S)
            # A frozen peer would delay the next ones.
            eventlet.spawn_n(self._fetch_from_peers)

    def _read_store(self, watch_s):
        since = self._mirror.index
        self._change_forwarder.begin_read()
        if self._has_full_copy:
            changes = self._store.read_changes(ALL_KEYS_PREFIX, since, watch_s)
            self._record_reply()
            self._has_watched = True
            self._apply(self._mirror.apply, changes, UpdateSource.WATCH)
            self._change_forwarder.forward(
                since, changes.index, changes, self._measure_recovery_age()
            )
            if changes.written or changes.deleted:
                eventlet.sleep(self._watch_pause_s)
        else:
            listing = self._store.read(ALL_KEYS_PREFIX, recurse=True)
            self._record_reply()
            self._has_full_copy = True
            self._apply(self._mirror.replace, listing, UpdateSource.FULL_READ)
            self._change_forwarder.forward(
                since, listing.index, None, self._measure_recovery_age()
            )

    def _apply_forwarded(self, forwarded):
        """Apply forwarded changes; return False if some of them are missing."""
        if forwarded.index > self._mirror.index:
            if forwarded.changes is not None and forwarded.since <= self._mirror.index:
                apply, update = self._mirror.apply, forwarded.changes
                source = UpdateSource.FORWARDED
            else:
                update = self._peers.fetch_from(
                    forwarded.sender,
                    self._mirror.index,
                    self._compute_fetch_deadline(forwarded),
                )
                if update is None or update.index < forwarded.index:
                    return False
                apply = self._mirror.merge
                source = UpdateSource.WATCHER
            self._apply(apply, update, source, forwarded)
        self._record_reply(forwarded.received_at)
        return True

    def _compute_fetch_deadline(self, forwarded):
        """Return until when missing changes may be fetched from a watcher.

        Reading the store instead is then still in time for them.
        """
        acknowledged_at = forwarded.received_at - self._watch_pause_s
        if forwarded.since > self._mirror.index:
            # Messages were lost, so that changes may be as old as the state here.
            acknowledged_at = self._confirmed_at
        return acknowledged_at + self._change_forwarder.validity_s

    @property
    def _watch_pause_s(self):
        return WATCH_PAUSE_SHARE * self._change_forwarder.in_force_s

    def _apply(self, apply, update, source, forwarded=None):
        """Apply *update* to the mirror by its method *apply*, and to the view.

        *source* is its :class:`UpdateSource`, *forwarded* the
        :class:`ForwardedChanges` that it came with.
        """
        previous = self._view.configuration
        self._apply_to_view(apply, update, forwarded)
        if self._view.configuration is not previous:
            self._log_configuration(source, forwarded)
        self._updated_at = self._read_clock()

    def _apply_to_view(self, apply, update, forwarded):
        had_items = bool(self._mirror.items)
        previous_era = self._mirror.era
        key_changes = apply(update)
        now = self._read_clock()
        if self._mirror.era != previous_era:
            self._store.advance_era(self._mirror.era)
            if had_items:
                self._view.apply_copy(key_changes, now)
                return
        forwarded_age_s = forwarded.since_recovery_s if forwarded else None
        ages_s = [
            s for s in (forwarded_age_s, self._measure_recovery_age()) if s is not None
        ]
        self._view.apply(key_changes, now, now - max(ages_s) if ages_s else None)

    def _log_configuration(self, source, forwarded):
        """Log how a configuration was learned, which tells why it came late."""
        now = self._read_clock()
        silence_s = None if self._updated_at is None else now - self._updated_at
        wait_s = now - forwarded.received_at if forwarded else 0.0
        fields = {
            "version": self._view.configuration.version,
            "source": str(source),
            "sender": forwarded and forwarded.sender,
            "waited_ms": round(wait_s * 1000.0, 1),
            "silent_ms": None if silence_s is None else round(silence_s * 1000.0, 1),
            "index": self._mirror.index,
        }
        logger.info("configuration learned", extra=fields)

    def _measure_recovery_age(self):
        """Return the seconds since the store recovered from an outage.

        Return None without an outage, or once deletions can't be leases that expired in
        it.
        """
        if self._recovered_at is None:
            return None
        age_s = self._read_clock() - self._recovered_at
        return age_s if age_s < RECOVERY_WINDOW_S else None

    def _record_reply(self, confirmed_at=None):
        """Record a reply of the store, or a message that stands for one.

        It shows that nothing is missing as of *confirmed_at*, by default now.
        """
        now = self._read_clock()
        self._confirmed_at = now if confirmed_at is None else confirmed_at
        if self._failing_since is None:
            return
        outage_s = now - self._failing_since
        self._failing_since = None
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        if outage_s >= MIN_OUTAGE_S:
            self._recovered_at = now
        logger.info("store available again", extra={"outage_s": round(outage_s, 2)})

    def _record_failure(self, error):
        if self._failing_since is not None:
            return
        self._failing_since = self._read_clock()
        self._metrics.losses.labels("store").inc()
        fields = {"reason": str(error), "index": self._mirror.index}
        logger.warning("store unavailable", extra=fields)

    def _fetch_from_peers(self):
        try:
            for update in self._peers.fetch_newer(self._mirror.index):
                self._apply(self._mirror.merge, update, UpdateSource.PEER)
        except Exception:
            # Errors of a green thread are not logged otherwise.
            logger.exception("state of peers not applied")
