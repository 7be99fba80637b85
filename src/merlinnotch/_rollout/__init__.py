"""Moving a service to a new version, and back from a bad one."""

from .chooser import VersionChooser
from .hearing import Hearing
from .sessions import place_session
from .speed import SpeedBook
from .stages import FIRST_STAGE, Exposure, Schedule, StagePlan
from .tallies import Tally, TallyBook, TallyKey
from .verdict import describe_tallies, is_slower, is_worse, judge_version

__all__ = [
    "FIRST_STAGE",
    "Exposure",
    "Hearing",
    "Schedule",
    "SpeedBook",
    "StagePlan",
    "Tally",
    "TallyBook",
    "TallyKey",
    "VersionChooser",
    "describe_tallies",
    "is_slower",
    "is_worse",
    "judge_version",
    "place_session",
]
