"""The entry instance: tasks that own sockets and state."""

from .instance import EntryInstance

__all__ = ["EntryInstance"]
