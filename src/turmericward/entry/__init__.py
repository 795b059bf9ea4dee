"""The entry: serves the HTTP APIs of clients and operators, and routes requests."""

from turmericward.entry._assembly import EntryProcess

__all__ = ["EntryProcess"]
