"""Authority aggregate: one lease per failure domain, fencing tokens, orders."""

from turmericward.authority._contender import Authority, Contender, Timing
from turmericward.authority._errors import AuthorityError, MalformedRecordError
from turmericward.authority._lease import Lease, LeaseFold
from turmericward.authority._on_demand_lease import Claim, OnDemandLease
from turmericward.authority._orders import (
    EngineState,
    Order,
    OrderLedger,
    OrderPhase,
    Spec,
    observed_phase,
)
from turmericward.authority._records import (
    Acquire,
    Intent,
    LeaseState,
    OrderOutcome,
    Record,
    Release,
    Renew,
    Snapshot,
    decode,
    encode,
)

__all__ = [
    "Acquire",
    "Authority",
    "AuthorityError",
    "OnDemandLease",
    "Claim",
    "Contender",
    "EngineState",
    "Intent",
    "Lease",
    "LeaseFold",
    "LeaseState",
    "MalformedRecordError",
    "Order",
    "OrderLedger",
    "OrderOutcome",
    "OrderPhase",
    "Record",
    "Release",
    "Renew",
    "Snapshot",
    "Spec",
    "Timing",
    "decode",
    "encode",
    "observed_phase",
]
