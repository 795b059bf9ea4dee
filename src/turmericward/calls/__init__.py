"""Idempotency of keyed calls: claims in log order allow at most one run."""

from turmericward.calls._errors import CallsError, MalformedRecordError
from turmericward.calls._ledger import AttemptStatus, Call, ClaimLedger
from turmericward.calls._rebuild import Rebuild, lost_records
from turmericward.calls._records import Answer, Claim, Era, Settle, decode, encode

__all__ = [
    "Answer",
    "Call",
    "CallsError",
    "Claim",
    "ClaimLedger",
    "Era",
    "MalformedRecordError",
    "Rebuild",
    "Settle",
    "AttemptStatus",
    "decode",
    "encode",
    "lost_records",
]
