"""The entry instance: what puts the tasks of the other packages together.

Its name is loaded when first used, as those packages import the task class and
the metrics from here.
"""

import importlib

__all__ = ["EntryInstance"]


def __getattr__(name):
    if name != "EntryInstance":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return importlib.import_module(".instance", __name__).EntryInstance
