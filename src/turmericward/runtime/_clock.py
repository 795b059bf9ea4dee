"""Monotonic clock for deadlines and leases."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns monotonic seconds, including time that the instance was suspended."""
    return time.clock_gettime(_CLOCK)
