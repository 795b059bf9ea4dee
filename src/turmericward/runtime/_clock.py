"""The clock that deadlines and leases are measured on."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns steady seconds that also count while the instance is suspended."""
    return time.clock_gettime(_CLOCK)
