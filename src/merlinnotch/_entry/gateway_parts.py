"""Construction of an instance's :class:`GatewayParts`."""

from .._admission.controller import AdmissionController
from .._gateway import (
    AdmissionGate,
    AttemptSender,
    GatewayParts,
    PermittedChooser,
    Prober,
    ReachabilityChecker,
    ResponseMatcher,
    ResponseReader,
    RetryBudgets,
    RetryReserver,
    ServiceRooms,
    UpstreamChooser,
)
from .._notices import NoticeRecorder
from .._placement import (
    CascadePolicy,
    CascadeSettings,
    ColdRateLimit,
    EventGapBaselines,
    Feature,
    HardShares,
    Placer,
    PrefillRates,
    RendezvousWarmUp,
    StreamLengths,
)
from .._rollout import VersionChooser
from .clock import read_clock
from .own_slack import OwnSlack

RETRY_BUDGET_SHARE = 0.92
"""Share of the fleet's retry budget that instances use, as their windows are not
aligned with the fleet's. The rest also covers the tokens that restarts grant again, see
TOKEN_TTL_SHARE of the budget."""


def build_parts(
    settings,
    view,
    pool,
    loads,
    work_times,
    load_policy,
    totals,
    ramp_up,
    load_exchange,
    permits,
    slots,
    schedule,
    crash_detector,
    counts,
    relayer,
    metrics,
    memory,
    generator,
    started_at,
):
    """Return the :class:`GatewayParts` for *settings*.

    *started_at* is when the process was started, on the clock of deadlines.

    The other arguments are state shared with the instance's tasks.
    """
    prefill_rates = PrefillRates(lambda model: find_cost(view, model))
    placer = Placer(
        settings.instance.zone,
        loads,
        prefill_rates,
        cold=view.cold,
        work_times=work_times,
        load_policy=load_policy,
        totals=totals,
    )
    warm_up = RendezvousWarmUp(
        settings.instance.name,
        settings.instance.zone,
        view,
        ColdRateLimit(settings.warm_up.overshoot, settings.warm_up.slack),
    )
    versions = VersionChooser(generator)
    chooser = UpstreamChooser(
        view, versions, placer, warm_up, schedule, generator, ramp_up
    )
    permitted_chooser = PermittedChooser(chooser, permits, slots, view, read_clock)
    name = settings.instance.name
    retry_budgets = build_retry_budgets(
        name,
        settings.retries,
        view,
        started_at,
        lambda service, ratio, now: (
            totals.get_unused_retries(service, ratio, now)
            if load_policy.is_on(Feature.MODELS, service, now)
            else 0.0
        ),
    )
    prober = Prober(
        pool, loads, view, read_clock, crash_detector.record_connection_refused
    )
    retry_reserver = RetryReserver(
        permitted_chooser, retry_budgets, pool, prober, relayer, read_clock
    )
    reader = ResponseReader(
        ReachabilityChecker(pool, view, read_clock), retry_reserver, read_clock
    )
    cascade = CascadePolicy(CascadeSettings(settings.cascade.value))
    service_rooms = ServiceRooms(view, loads, work_times, totals)
    admission_gate = AdmissionGate(
        view,
        chooser,
        cascade,
        service_rooms,
        load_policy,
        AdmissionController(),
        totals,
        metrics,
        read_clock,
    )
    return GatewayParts(
        view=view,
        pool=pool,
        loads=loads,
        prefill_rates=prefill_rates,
        event_gaps=EventGapBaselines(),
        stream_lengths=StreamLengths(),
        work_times=work_times,
        load_policy=load_policy,
        ramp_up=ramp_up,
        placer=placer,
        cascade=cascade,
        hard_shares=HardShares(),
        chooser=chooser,
        permitted_chooser=permitted_chooser,
        attempt_sender=AttemptSender(
            pool,
            loads,
            prefill_rates,
            read_clock,
            load_exchange,
            reader,
            NoticeRecorder(view.notices),
            permits,
            slots,
            work_times,
            load_policy,
            totals,
            ResponseMatcher(metrics),
        ),
        reader=reader,
        prober=prober,
        retry_budgets=retry_budgets,
        retry_reserver=retry_reserver,
        relayer=relayer,
        totals=totals,
        service_rooms=service_rooms,
        admission_gate=admission_gate,
        load_exchange=load_exchange,
        crash_detector=crash_detector,
        version_counts=counts,
        metrics=metrics,
        memory=memory,
        read_clock=read_clock,
    )


def find_engine(view, service_name):
    """Return a service's engine from the current configuration, or None."""
    configuration = view.configuration
    service = configuration.services.get(service_name) if configuration else None
    return service.engine if service else None


def find_cost(view, model):
    """Return the cost of *model* in the current configuration, or None if unknown."""
    configuration = view.configuration
    services = configuration.services.values() if configuration else ()
    costs = [s.engine.model_costs.get(model) for s in services if s.engine]
    return next((cost for cost in costs if cost is not None), None)


def build_retry_budgets(
    name, retries, view, started_at, get_unused=lambda service, ratio, now: 0.0
):
    """Return the :class:`RetryBudgets` of the instance *name* in the fleet of *view*.

    *retries* are the settings for the whole fleet, *started_at* is when the process was
    started. *get_unused* is as for :class:`RetryBudgets`.
    """
    slack = RETRY_BUDGET_SHARE * retries.slack
    return RetryBudgets(
        retries.ratio * RETRY_BUDGET_SHARE,
        retries.window_s,
        OwnSlack(slack, name, view, started_at, retries.window_s).get,
        get_unused,
    )
