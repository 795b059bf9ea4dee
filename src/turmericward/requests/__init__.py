"""Requests: cost estimates, admission, choice of an engine, retry budget."""

from turmericward.requests._budget import RetryBudget
from turmericward.requests._cache_index import (
    SHORT_PROMPT_TOKENS,
    CacheEntry,
)
from turmericward.requests._demand import Demand, demand_of, with_model
from turmericward.requests._errors import InvalidRequestError, RequestsError
from turmericward.requests._evidence import EvidenceKind
from turmericward.requests._in_flight import Deadlines, Ending, Placement
from turmericward.requests._loads import (
    NO_LOAD,
    PEER_TIMEOUT_S,
    TargetLoad,
    sum_loads,
)
from turmericward.requests._placement import Placer
from turmericward.requests._prompts import (
    MAX_TOKENS,
    Prompt,
    PromptSegment,
    bounded_segments,
    segment_number,
)
from turmericward.requests._quarantine import (
    KeyChange,
    KeyState,
    Quarantine,
)
from turmericward.requests._reports import MAX_TOLD_OUTCOMES
from turmericward.requests._router import (
    MIN_RETRY_AFTER_S,
    Assignment,
    Bounds,
    Refusal,
    Router,
)
from turmericward.requests._suspects import Incarnation, KeyOutcome, Suspect
from turmericward.requests._transfers import Transfer

__all__ = [
    "MAX_TOKENS",
    "MAX_TOLD_OUTCOMES",
    "MIN_RETRY_AFTER_S",
    "NO_LOAD",
    "PEER_TIMEOUT_S",
    "SHORT_PROMPT_TOKENS",
    "Assignment",
    "Bounds",
    "Demand",
    "Ending",
    "EvidenceKind",
    "Incarnation",
    "InvalidRequestError",
    "CacheEntry",
    "KeyChange",
    "KeyOutcome",
    "KeyState",
    "Deadlines",
    "Placement",
    "Placer",
    "Prompt",
    "PromptSegment",
    "Quarantine",
    "Refusal",
    "RequestsError",
    "RetryBudget",
    "Router",
    "Suspect",
    "TargetLoad",
    "Transfer",
    "bounded_segments",
    "demand_of",
    "segment_number",
    "sum_loads",
    "with_model",
]
