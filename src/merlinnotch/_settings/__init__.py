"""Settings of a process: its name, its zone and addresses."""

from .loader import load_operator_settings, load_settings
from .settings import OperatorSettings, Settings

__all__ = ["OperatorSettings", "Settings", "load_operator_settings", "load_settings"]
