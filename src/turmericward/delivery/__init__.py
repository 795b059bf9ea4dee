"""Delivery of calls to targets, neutral of the protocols on both sides."""

from turmericward.delivery._calls import (
    Answer,
    Call,
    CallKind,
    Destination,
    Dispatch,
    Reply,
    Route,
)
from turmericward.delivery._delivery import Context, Delivery, Transport
from turmericward.delivery._dispatch_task import (
    DispatchTask,
    PutTargets,
    ReplaceTargets,
    RetryBounds,
    SetTable,
    SourceReturned,
)
from turmericward.delivery._errors import (
    DeliveryError,
    NoRouteError,
    NotConfiguredError,
    StreamBrokenError,
)
from turmericward.delivery._roles_loop import RolesLoop, RoleState
from turmericward.delivery._routes import RoutingTable, ServiceTraits

__all__ = [
    "Answer",
    "Call",
    "CallKind",
    "Context",
    "Delivery",
    "DeliveryError",
    "Destination",
    "Dispatch",
    "DispatchTask",
    "NoRouteError",
    "NotConfiguredError",
    "PutTargets",
    "ReplaceTargets",
    "Reply",
    "RetryBounds",
    "Route",
    "RoleState",
    "RolesLoop",
    "RoutingTable",
    "ServiceTraits",
    "SetTable",
    "SourceReturned",
    "StreamBrokenError",
    "Transport",
]
