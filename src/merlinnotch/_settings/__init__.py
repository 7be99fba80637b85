"""Settings of one process: where it runs and whom it talks to."""

from .loader import load_operator_settings, load_settings
from .settings import OperatorSettings, Settings

__all__ = ["OperatorSettings", "Settings", "load_operator_settings", "load_settings"]
