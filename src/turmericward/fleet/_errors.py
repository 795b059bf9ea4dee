"""Errors of the fleet aggregate."""


class FleetError(Exception):
    """Base of this package's errors; never raised itself."""
