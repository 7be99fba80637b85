"""The decisions that an instance for the platform forwards with."""

from .._gateway import (
    AttemptMaker,
    BudgetTable,
    GatewayParts,
    PathChecker,
    Prober,
    UpstreamChooser,
)
from .._placement import (
    CascadePolicy,
    CascadeSettings,
    GapBook,
    LengthBook,
    PaceBook,
    Placer,
    SenderWarmUp,
    WarmUpBound,
)
from .._rollout import VersionChooser
from .clock import read_clock

RETRY_RATIO_USED = 0.92
"""Part of the fleet's retry allowance that instances use: their windows and
that of the whole do not begin at the same time."""
SMALLEST_FLEET = 8
"""Instances among which the retry slack is divided at least; more become known
as soon as they have announced themselves."""


def build_parts(settings, view, pool, loads, news, crashes, counts, metrics, generator):
    """Return the :class:`GatewayParts` of an instance with *settings*.

    The other arguments are the state that its tasks share.
    """
    paces = PaceBook(lambda model: find_cost(view, model))
    placer = Placer(settings.instance.zone, loads, paces, cold=view.cold)
    warm_up = SenderWarmUp(
        settings.instance.name,
        settings.instance.zone,
        view,
        WarmUpBound(settings.warm_up.overshoot, settings.warm_up.slack),
    )
    versions = VersionChooser(generator)
    paths = PathChecker(pool, view, read_clock)
    return GatewayParts(
        view=view,
        pool=pool,
        loads=loads,
        paces=paces,
        gaps=GapBook(),
        lengths=LengthBook(),
        placer=placer,
        cascade=CascadePolicy(CascadeSettings(settings.cascade.value)),
        chooser=UpstreamChooser(view, versions, placer, warm_up, generator),
        attempts=AttemptMaker(pool, loads, paces, read_clock, news, paths),
        paths=paths,
        prober=Prober(pool, loads, view, crashes.note_refusing),
        budgets=_build_budgets(settings.retries, view),
        news=news,
        crashes=crashes,
        counts=counts,
        metrics=metrics,
        read_clock=read_clock,
    )


def find_engine(view, service_name):
    """Return the engine of a service in the configuration in force, or None."""
    configuration = view.configuration
    service = configuration.services.get(service_name) if configuration else None
    return service.engine if service else None


def find_cost(view, model):
    """Return the price of a model, or None where no service has it."""
    configuration = view.configuration
    services = configuration.services.values() if configuration else ()
    costs = [s.engine.model_costs.get(model) for s in services if s.engine]
    return next((cost for cost in costs if cost is not None), None)


def _build_budgets(retries, view):
    return BudgetTable(
        retries.ratio * RETRY_RATIO_USED,
        retries.slack * RETRY_RATIO_USED,
        retries.window_s,
        lambda: max(SMALLEST_FLEET, len(view.peers)),
    )
