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
from turmericward.routing._errors import NoRouteError, NotConfiguredError, RoutingError
from turmericward.routing._fingerprint import fingerprint, fingerprint_hex
from turmericward.routing._routes import RoutingTable, ServiceTraits

__all__ = [
    "Answer",
    "Call",
    "CallKind",
    "Destination",
    "Dispatch",
    "Failure",
    "NoRouteError",
    "NotConfiguredError",
    "Reply",
    "Route",
    "RoutingError",
    "RoutingTable",
    "ServiceTraits",
    "fingerprint_hex",
    "fingerprint",
]
