"""State shared by the request handlers of one instance."""

import time
from dataclasses import dataclass, field

from .._bookkeeping.ledger import Ledger
from .._bookkeeping.outbox import Outbox
from .._callers.answer_cache import AnswerCache
from .._control.configurer import Configurer
from .._control.guardian import Guardian
from .._limits import MemoryBudget, RetryBudget
from .._links.peers import PeerTransport
from .._links.tallies import Tallies
from .._rate_limits import Permits
from .._routing import QualityEstimator, UpstreamTable
from .._sessions import SessionSigner
from .._settings import Settings
from .._upstreams.admission import Admission
from .._upstreams.client import UpstreamClient
from .._upstreams.loads import Loads
from .._upstreams.notices import ResponseNotices
from .._upstreams.ratings import Raters
from .metrics import Metrics

PEER_WAIT_S = 8.0


@dataclass
class InstanceState:
    """The components of an instance that request handlers use."""

    settings: Settings
    metrics: Metrics
    configurer: Configurer
    peers: PeerTransport
    membership: object
    upstream_table: UpstreamTable
    loads: Loads
    notices: ResponseNotices
    permits: Permits
    admission: Admission
    ledger: Ledger
    outbox: Outbox
    answer_cache: AnswerCache
    client: UpstreamClient
    signer: SessionSigner
    budget: RetryBudget
    quality_estimator: QualityEstimator
    tallies: Tallies
    rating_client: Raters
    guardian: Guardian
    memory: MemoryBudget
    leaving: bool = False
    started_at: float = field(default_factory=time.monotonic)

    @property
    def is_ready(self):
        """Whether the instance should receive requests.

        This needs a configuration, upstreams and a peer that can keep copies of bills.
        From :data:`PEER_WAIT_S` seconds after the start, no peer is needed.
        """
        now = time.monotonic()
        is_configured = (
            self.configurer.tracker.catalogue is not None
            and len(self.upstream_table) > 0
        )
        has_peer = self.membership.pick_copy_holder(now) is not None
        may_run_without_peer = now - self.started_at > PEER_WAIT_S
        return is_configured and (has_peer or may_run_without_peer) and not self.leaving

    def is_probe_passing(self, path):
        """Return whether the probe at *path* succeeds: liveness or readiness."""
        return path == "/healthz" or (path == "/readyz" and self.is_ready)
