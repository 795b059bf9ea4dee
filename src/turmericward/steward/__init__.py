"""The steward: follows the log and acts for its instance and its domain."""

from turmericward.steward._assembly import StewardProcess

__all__ = ["StewardProcess"]
