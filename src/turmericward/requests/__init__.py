"""Requests aggregate: cost, admission, choice of an engine, retry budget."""

from turmericward.requests._budget import RetryBudget
from turmericward.requests._demand import Demand, demand_of, with_model
from turmericward.requests._errors import InvalidRequestError, RequestsError
from turmericward.requests._placement import Placement, Placer
from turmericward.requests._prompts import Prompt, PromptPart
from turmericward.requests._router import (
    MIN_RETRY_S,
    Assignment,
    Bounds,
    Refusal,
    Router,
)

__all__ = [
    "MIN_RETRY_S",
    "Assignment",
    "Bounds",
    "Demand",
    "InvalidRequestError",
    "Placement",
    "Placer",
    "Prompt",
    "PromptPart",
    "Refusal",
    "RequestsError",
    "RetryBudget",
    "Router",
    "demand_of",
    "with_model",
]
