"""Operators' configuration files and their revisions."""

from .catalogue import Catalogue
from .kind import Kind
from .loader import load_catalogue, load_files, parse_catalogue
from .model import Model
from .pool import Pool
from .revision import Revision
from .revision_tracker import RevisionTracker
from .revisions import RevisionLog
from .service import Service
from .state import VersionState
from .team import Team
from .tuning import Tuning
from .validation_problem import ValidationProblem
from .version import Version

__all__ = [
    "Catalogue",
    "Kind",
    "Model",
    "Pool",
    "Revision",
    "RevisionLog",
    "RevisionTracker",
    "Service",
    "Team",
    "Tuning",
    "ValidationProblem",
    "Version",
    "VersionState",
    "load_catalogue",
    "load_files",
    "parse_catalogue",
]
