"""Access to the platform's key-value service."""

from .base import ABSENT, KeyValueStore
from .http import HttpStore
from .item import Item, Listing
from .memory import MemoryStore

__all__ = ["ABSENT", "HttpStore", "Item", "KeyValueStore", "Listing", "MemoryStore"]
