"""The steward: folds the log for its instance and changes its domain's engines."""

from turmericward.steward._assembly import StewardProcess

__all__ = ["StewardProcess"]
