"""Holds on engines: placed by a steward, confirmed by its instance's entries."""

from turmericward.membership._holds import EntryHolds, Hold, HoldTable

__all__ = ["EntryHolds", "Hold", "HoldTable"]
