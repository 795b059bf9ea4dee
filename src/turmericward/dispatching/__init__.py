"""Chooses targets for calls: the task that owns what a front knows of them."""

from turmericward.dispatching._cache_listing_loop import CacheListingLoop
from turmericward.dispatching._crash_guard import CrashGuard
from turmericward.dispatching._dispatch_task import DispatchTask
from turmericward.dispatching._duties_loop import DutiesLoop
from turmericward.dispatching._messages import (
    EngineCacheListing,
    FirstOutput,
    GetCapacity,
    GetStatus,
    IsReplaced,
    IsUsable,
    Place,
    PlacementEnded,
    PublishBegan,
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
from turmericward.dispatching._roles_loop import RolesLoop, RoleState
from turmericward.dispatching._standing_lease import (
    LeaseLoop,
    LogState,
    StandingLease,
)
from turmericward.dispatching._usage_store_loop import UsageStoreLoop

__all__ = [
    "CacheListingLoop",
    "CrashGuard",
    "DispatchTask",
    "DutiesLoop",
    "EngineCacheListing",
    "FirstOutput",
    "GetCapacity",
    "GetStatus",
    "IsReplaced",
    "IsUsable",
    "LeaseLoop",
    "LogState",
    "Place",
    "PlacementEnded",
    "PublishBegan",
    "PutTargets",
    "ReplaceTargets",
    "RequestSent",
    "RetryBounds",
    "RoleState",
    "RolesLoop",
    "SetTable",
    "SilentTarget",
    "StandingLease",
    "StoreRecovered",
    "TargetNotice",
    "TargetWentOn",
    "UsageStoreLoop",
]
