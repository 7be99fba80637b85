"""The entry instance, which assembles the tasks of the other packages.

It is imported on first use to avoid a cycle, as those packages import the base class
of tasks and the metrics from here.
"""

import importlib

__all__ = ["EntryInstance"]


def __getattr__(name):
    if name != "EntryInstance":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return importlib.import_module(".instance", __name__).EntryInstance
