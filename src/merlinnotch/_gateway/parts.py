"""What the gateway is put together from."""

from dataclasses import dataclass

from .._fleet.view import FleetView
from .._http import UpstreamPool
from .._placement import (
    CascadePolicy,
    GapBook,
    LengthBook,
    LoadTable,
    PaceBook,
    Placer,
)
from .._rollout import AnswerCounts
from .attempt import AttemptMaker
from .budgets import BudgetTable
from .choice import UpstreamChooser
from .paths import PathChecker
from .prober import Prober


@dataclass
class GatewayParts:
    """The decisions and the state that one instance forwards with.

    *read_clock* returns seconds on the boot clock, which goes on while the
    machine is suspended.
    """

    view: FleetView
    pool: UpstreamPool
    loads: LoadTable
    paces: PaceBook
    gaps: GapBook
    lengths: LengthBook
    placer: Placer
    cascade: CascadePolicy
    chooser: UpstreamChooser
    attempts: AttemptMaker
    prober: Prober
    paths: PathChecker
    budgets: BudgetTable
    news: object
    crashes: object
    counts: AnswerCounts
    metrics: object
    read_clock: object

    def pass_on(self, head):
        """Return the fields of an upstream's answer that the caller gets."""
        return head.fields.pass_on()
