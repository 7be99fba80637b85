"""Moving a service to a new version, and back from a bad one."""

from .busy import name_route
from .canaries import count_canaries, select_canaries
from .chooser import VersionChooser
from .counts import AnswerCounts
from .hearing import Hearing
from .sessions import place_session
from .speed import Speed, compare_speeds
from .stages import FIRST_STAGE, Exposure, Schedule, StagePlan
from .tallies import Tally, TallyBook, TallyKey
from .times import TimeKey, band_load, band_time
from .verdict import (
    Standing,
    describe_tallies,
    is_slower,
    is_worse,
    judge_version,
    weigh_version,
)

__all__ = [
    "FIRST_STAGE",
    "AnswerCounts",
    "Exposure",
    "Hearing",
    "Schedule",
    "Speed",
    "StagePlan",
    "Standing",
    "Tally",
    "TallyBook",
    "TallyKey",
    "TimeKey",
    "VersionChooser",
    "band_load",
    "band_time",
    "compare_speeds",
    "count_canaries",
    "describe_tallies",
    "is_slower",
    "is_worse",
    "judge_version",
    "name_route",
    "place_session",
    "select_canaries",
    "weigh_version",
]
