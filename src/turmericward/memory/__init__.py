"""Memory that a process holds for its clients and targets."""

from turmericward.memory._account import Account
from turmericward.memory._decisions import (
    SMALL_BYTES,
    Bounds,
    Holding,
    Kind,
    is_idle,
    may_grant,
    select_victims,
)

__all__ = [
    "SMALL_BYTES",
    "Account",
    "Bounds",
    "Holding",
    "Kind",
    "is_idle",
    "may_grant",
    "select_victims",
]
