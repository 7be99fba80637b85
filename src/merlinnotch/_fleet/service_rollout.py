"""The rollout state of one service."""

import dataclasses
from dataclasses import dataclass, field

from .._store import ABSENT, get_era
from .rollout import RolloutOrder, RolloutState, RolloutStatus, Stage


@dataclass
class ServiceRollout:
    """The order, status and stage of one service's rollout.

    The order was *order_age_at_seen_s* seconds old at *seen_at* on the local clock, by
    the greatest age reported so far. *bad_versions* were reverted and have not
    been ordered again since. *decided_state* is the final state of the order that the
    store may lack since it was restored at *restored_at*.
    """

    order: RolloutOrder | None = None
    status: RolloutStatus | None = None
    stage: Stage | None = None
    seen_at: float = 0.0
    order_age_at_seen_s: float = 0.0
    bad_versions: set[str] = field(default_factory=set)
    decided_state: RolloutState | None = None
    restored_at: float = 0.0

    @property
    def state(self):
        """The :class:`RolloutState` of the current order, None without one."""
        if self.order is None:
            return None
        return self.decided_state or self._stored_state

    @property
    def is_state_unwritten(self):
        """Whether the store lacks the final state of the order."""
        if self.order is None or self.decided_state is None:
            return False
        return self._stored_state is not self.decided_state

    @property
    def _stored_state(self):
        status = self.status
        if status is None or status.index < self.order.modify_index:
            return RolloutState.ACTIVE
        if status.target != self.order.target:
            return RolloutState.ACTIVE
        return status.state

    @property
    def is_active(self):
        """Whether there is a current order, neither complete nor reverted."""
        return self.state is RolloutState.ACTIVE

    @property
    def current_stage(self):
        """The stage of the current order, or None."""
        if self.order is None or self.stage is None:
            return None
        return self.stage if self.stage.order_index == self.order.index else None

    def get_order_age_s(self, now):
        """Return the age of the order in seconds."""
        return self.order_age_at_seen_s + now - self.seen_at

    def raise_order_age(self, age_s, now):
        """Raise the age of the order to *age_s*, as reported by an earlier observer.

        A smaller age is ignored.
        """
        if self.order is not None and age_s > self.get_order_age_s(now):
            self.seen_at = now
            self.order_age_at_seen_s = age_s

    def update(self, entry, now):
        """Apply an order, a stage or a status that was read at *now*."""
        if isinstance(entry, RolloutOrder):
            self._set_order(entry, now)
        elif isinstance(entry, Stage):
            self._set_stage(entry)
            if self.current_stage is not None:
                self.raise_order_age(entry.age_s, now)
        elif isinstance(entry, RolloutStatus):
            self.status = entry
            if entry.state is RolloutState.REVERTED:
                self.bad_versions.add(entry.target)

    def handle_restore(self, now):
        """Keep what was decided, as a restore of the store was seen at *now*."""
        self.restored_at = now
        if self.state in (RolloutState.COMPLETE, RolloutState.REVERTED):
            self.decided_state = self.state

    def lose(self, entry):
        """Handle that a restored store lacks the stage or the status *entry*."""
        if isinstance(entry, RolloutStatus):
            self.status = None
        elif self.stage is not None:
            self.stage = dataclasses.replace(self.stage, index=ABSENT)

    def build_log_fields(self):
        """Return the rollout's state as fields of a log line."""
        stage = self.current_stage
        return {
            "target": self.order.target if self.order else None,
            "state": str(self.state),
            "share": stage.share if stage else 0.0,
        }

    def _set_stage(self, stage):
        known = self.stage
        if (
            known is not None
            and known.order_index == stage.order_index
            and known.number > stage.number
            and get_era(known.index) < get_era(stage.index)
        ):
            # A restored store goes back, the rollout does not.
            stage = dataclasses.replace(known, index=stage.index)
        self.stage = stage

    def _set_order(self, order, now):
        previous = self.order
        self.order = order
        if previous is not None and order.is_copy_of(previous):
            return
        self.decided_state = None
        if previous is not None and previous.index == order.index:
            # The revision was given out again, to another order.
            self.stage = None
        self.seen_at = now
        stage = self.current_stage
        self.order_age_at_seen_s = stage.age_s if stage is not None else 0.0
        self.bad_versions.discard(order.target)
