"""Moving a service to a new version, and back from a bad one."""

from .chooser import VersionChooser
from .sessions import SessionBook, place_session
from .stages import Schedule, StagePlan, build_schedule
from .tallies import Tally, TallyBook, TallyKey
from .verdict import is_worse, judge_version

__all__ = [
    "Schedule",
    "SessionBook",
    "StagePlan",
    "Tally",
    "TallyBook",
    "TallyKey",
    "VersionChooser",
    "build_schedule",
    "is_worse",
    "judge_version",
    "place_session",
]
