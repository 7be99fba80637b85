"""All that is known of one service's roll-out."""

from dataclasses import dataclass, field

from .rollout import RolloutOrder, RolloutState, RolloutStatus, Stage


@dataclass
class ServiceRollout:
    """All that is known of one service's roll-out.

    *seen_at* is when this instance saw the order or the stage, whichever tells
    the greater age; *age_at_sight_s* is how old the order was then.
    """

    order: RolloutOrder | None = None
    status: RolloutStatus | None = None
    stage: Stage | None = None
    seen_at: float = 0.0
    age_at_sight_s: float = 0.0
    bad_versions: set[str] = field(default_factory=set)

    @property
    def state(self):
        """The :class:`RolloutState` of the order in force, None without one."""
        if self.order is None:
            return None
        status = self.status
        if status is None or status.index < self.order.index:
            return RolloutState.ACTIVE
        if status.target != self.order.target:
            return RolloutState.ACTIVE
        return status.state

    @property
    def is_active(self):
        """Whether the order in force is neither complete nor taken back."""
        return self.state is RolloutState.ACTIVE

    @property
    def current_stage(self):
        """The stage written for the order in force, or None."""
        if self.order is None or self.stage is None:
            return None
        return self.stage if self.stage.order_index == self.order.index else None

    def measure_age(self, now):
        """Return how long the order has stood, in seconds."""
        return self.age_at_sight_s + now - self.seen_at

    def raise_age(self, age_s, now):
        """Take from whoever saw the order sooner how long it has stood."""
        if self.order is not None and age_s > self.measure_age(now):
            self.seen_at = now
            self.age_at_sight_s = age_s

    def take(self, fact, now):
        """Take an order, a stage or a status that was read at *now*."""
        if isinstance(fact, RolloutOrder):
            self._take_order(fact, now)
        elif isinstance(fact, Stage):
            self.stage = fact
            if self.current_stage is not None:
                self.raise_age(fact.age_s, now)
        elif isinstance(fact, RolloutStatus):
            self.status = fact
            if fact.state is RolloutState.REVERTED:
                self.bad_versions.add(fact.target)

    def describe(self):
        """Return the fields that say in a log line where the roll-out stands."""
        stage = self.current_stage
        return {
            "target": self.order.target if self.order else None,
            "state": str(self.state),
            "share": stage.share if stage else 0.0,
        }

    def _take_order(self, order, now):
        self.order = order
        self.seen_at = now
        stage = self.current_stage
        self.age_at_sight_s = stage.age_s if stage is not None else 0.0
        self.bad_versions.discard(order.target)
