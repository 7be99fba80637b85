"""Clients of a key-value store.

The clients are imported on first use, so that a process loads only the one it needs.
"""

import importlib

from .base import ABSENT, KeyValueStore
from .indexes import build_index, get_era, get_revision
from .item import Changes, Item, Listing

_MODULES = {"HttpStore": "http", "MemoryStore": "memory"}

__all__ = [
    "ABSENT",
    "Changes",
    "HttpStore",
    "Item",
    "KeyValueStore",
    "Listing",
    "MemoryStore",
    "build_index",
    "get_era",
    "get_revision",
]


def __getattr__(name):
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_MODULES[name]}", __name__), name)
