"""Authority aggregate: one lease per failure domain, fencing tokens, orders."""

from turmericward.authority._contender import Authority, Contender, Timing
from turmericward.authority._errors import (
    AuthorityError,
    MalformedRecordError,
    NoTokenError,
)
from turmericward.authority._lease import Lease, LeaseFold
from turmericward.authority._on_demand_lease import Claim, OnDemandLease, fencing_token
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
    Era,
    Intent,
    LeaseState,
    OnDemandAcquire,
    OnDemandRelease,
    OnDemandRenew,
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
    "Era",
    "Intent",
    "Lease",
    "LeaseFold",
    "LeaseState",
    "MalformedRecordError",
    "NoTokenError",
    "OnDemandAcquire",
    "OnDemandRelease",
    "OnDemandRenew",
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
    "fencing_token",
    "observed_phase",
]
