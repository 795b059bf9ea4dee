"""The entry: takes callers' and operators' requests and routes them."""

from turmericward.entry._assembly import EntryProcess

__all__ = ["EntryProcess"]
