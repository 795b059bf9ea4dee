"""Calls, the routes that they match, and replies, independent of protocols."""

from turmericward.routing._calls import (
    Answer,
    Call,
    CallKind,
    Destination,
    Dispatch,
    Failure,
    Reply,
    Route,
)
from turmericward.routing._errors import (
    NoRouteError,
    NotConfiguredError,
    RoutingError,
    StaleConfigurationError,
    UnknownKeyError,
)
from turmericward.routing._fingerprint import fingerprint, fingerprint_hex
from turmericward.routing._outcomes import NOT_RUN_STATUSES, Outcome, outcome_of
from turmericward.routing._routes import RoutingTable, Scaling, ServiceTraits
from turmericward.routing._workspaces import Workspace, Workspaces, key_digest

__all__ = [
    "Answer",
    "Call",
    "CallKind",
    "Destination",
    "Dispatch",
    "Failure",
    "NOT_RUN_STATUSES",
    "NoRouteError",
    "NotConfiguredError",
    "Outcome",
    "Reply",
    "Route",
    "RoutingError",
    "RoutingTable",
    "Scaling",
    "ServiceTraits",
    "StaleConfigurationError",
    "UnknownKeyError",
    "Workspace",
    "Workspaces",
    "fingerprint_hex",
    "fingerprint",
    "key_digest",
    "outcome_of",
]
