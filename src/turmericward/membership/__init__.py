"""Membership aggregate: entries of an instance and the holds they confirm."""

from turmericward.membership._holds import EntryHolds, Hold, HoldTable

__all__ = ["EntryHolds", "Hold", "HoldTable"]
