"""Delivery of calls to targets, independent of the protocols on both sides."""

from turmericward.delivery._cache_listing_loop import CacheListingLoop
from turmericward.delivery._calls import (
    Answer,
    Call,
    CallKind,
    Destination,
    Dispatch,
    Failure,
    Reply,
    Route,
)
from turmericward.delivery._context import Context, Dispatcher, Transport
from turmericward.delivery._crash_guard import CrashGuard
from turmericward.delivery._delivery import Delivery
from turmericward.delivery._dispatch_task import DispatchTask
from turmericward.delivery._errors import (
    DeliveryError,
    NoRouteError,
    NotConfiguredError,
    StreamBrokenError,
)
from turmericward.delivery._events import EVENT_END, Event, EventParser
from turmericward.delivery._messages import (
    EngineCacheListing,
    FirstOutput,
    GetStatus,
    Place,
    PlacementEnded,
    PutTargets,
    ReplaceTargets,
    RequestSent,
    RetryBounds,
    SetTable,
    SilentTarget,
    StoreRecovered,
    TargetNotice,
    TargetWentOn,
)
from turmericward.delivery._roles_loop import RolesLoop, RoleState
from turmericward.delivery._routes import RoutingTable, ServiceTraits

__all__ = [
    "EVENT_END",
    "Answer",
    "FirstOutput",
    "Call",
    "CallKind",
    "Context",
    "CrashGuard",
    "Delivery",
    "DeliveryError",
    "Destination",
    "Dispatch",
    "DispatchTask",
    "Dispatcher",
    "PlacementEnded",
    "EngineCacheListing",
    "Event",
    "EventParser",
    "Failure",
    "GetStatus",
    "CacheListingLoop",
    "NoRouteError",
    "NotConfiguredError",
    "Place",
    "PutTargets",
    "ReplaceTargets",
    "RequestSent",
    "TargetNotice",
    "TargetWentOn",
    "Reply",
    "RetryBounds",
    "RoleState",
    "RolesLoop",
    "Route",
    "RoutingTable",
    "ServiceTraits",
    "SetTable",
    "SilentTarget",
    "StoreRecovered",
    "StreamBrokenError",
    "Transport",
]
