"""The collaborators of the gateway."""

from dataclasses import dataclass

from .._fleet.view import FleetView
from .._http import UpstreamPool
from .._limits import MemoryBudget
from .._placement import (
    CascadePolicy,
    EventGapBaselines,
    HardShares,
    LoadPolicy,
    LoadTable,
    Placer,
    PrefillRates,
    RampUp,
    StreamLengths,
    WorkTimes,
)
from .._relay import RELAY_FIELDS
from .._rollout import AnswerCounts
from .._totals import FleetTotals
from .admission_gate import AdmissionGate
from .attempt import AttemptSender
from .choice import UpstreamChooser
from .permitted_choice import PermittedChooser
from .prober import Prober
from .relay import Relayer
from .response_reader import ResponseReader
from .retry_budgets import RetryBudgets
from .retry_reservation import RetryReserver
from .service_rooms import ServiceRooms


@dataclass
class GatewayParts:
    """The policies and the state that one instance forwards requests with.

    *read_clock* returns seconds on the boot clock, which includes time in suspend.
    """

    view: FleetView
    pool: UpstreamPool
    loads: LoadTable
    prefill_rates: PrefillRates
    event_gaps: EventGapBaselines
    stream_lengths: StreamLengths
    work_times: WorkTimes
    load_policy: LoadPolicy
    totals: FleetTotals
    ramp_up: RampUp
    placer: Placer
    cascade: CascadePolicy
    hard_shares: HardShares
    chooser: UpstreamChooser
    permitted_chooser: PermittedChooser
    attempt_sender: AttemptSender
    prober: Prober
    reader: ResponseReader
    retry_budgets: RetryBudgets
    retry_reserver: RetryReserver
    relayer: Relayer
    service_rooms: ServiceRooms
    admission_gate: AdmissionGate
    load_exchange: object
    crash_detector: object
    version_counts: AnswerCounts
    metrics: object
    memory: MemoryBudget
    read_clock: object

    def select_forwarded_fields(self, head):
        """Return the header fields of *head* to forward to the caller."""
        return head.fields.get_forwarded_pairs(RELAY_FIELDS)
