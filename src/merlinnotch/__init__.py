"""A model-aware router for versions and cascades.

Public names are imported on first access. This keeps start-up short and lets the
daemon apply eventlet's monkey patch before modules that use sockets are imported.
"""

import importlib

_MODULE_BY_NAME = {
    "Catalogue": "_config",
    "ErrorKind": "_errors",
    "KeyValueStore": "_store",
    "MemoryStore": "_store",
    "MerlinnotchError": "_errors",
    "Outcome": "_errors",
    "Plan": "_routing",
    "Planner": "_routing",
    "QualityEstimator": "_routing",
    "RequestRefused": "_errors",
    "Revision": "_config",
    "RevisionLog": "_config",
    "Session": "_sessions",
    "SessionSigner": "_sessions",
    "UpstreamTable": "_routing",
    "VersionGuard": "_routing",
    "load_catalogue": "_config",
}

__all__ = sorted(_MODULE_BY_NAME)


def __getattr__(name):
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f".{_MODULE_BY_NAME[name]}", __name__)
    return getattr(module, name)


def __dir__():
    return __all__
