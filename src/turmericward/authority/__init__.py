"""Authority aggregate: one lease per failure domain, fencing tokens, orders."""

from turmericward.authority._contender import Authority, Contender, Timing
from turmericward.authority._errors import AuthorityError, MalformedRecordError
from turmericward.authority._lease import Lease, LeaseFold
from turmericward.authority._orders import (
    EngineState,
    Order,
    OrderBook,
    OrderPhase,
    Spec,
)
from turmericward.authority._records import (
    Acquire,
    Intent,
    OrderOutcome,
    Record,
    Release,
    Renew,
    decode,
    encode,
)

__all__ = [
    "Acquire",
    "Authority",
    "AuthorityError",
    "Contender",
    "EngineState",
    "Intent",
    "Lease",
    "LeaseFold",
    "MalformedRecordError",
    "Order",
    "OrderBook",
    "OrderOutcome",
    "OrderPhase",
    "Record",
    "Release",
    "Renew",
    "Spec",
    "Timing",
    "decode",
    "encode",
]
