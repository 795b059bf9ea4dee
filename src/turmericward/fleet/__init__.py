"""Fleet: the state of targets as an entry, a front or a steward sees it."""

from turmericward.fleet._admission import NO_TARGET, Admission, Candidates
from turmericward.fleet._backoffs import Backoffs
from turmericward.fleet._health import Health
from turmericward.fleet._rate_limits import RateLimit, RateLimits
from turmericward.fleet._role_mix import EngineLoad
from turmericward.fleet._roles import RoleChange, RolePlanner
from turmericward.fleet._shares import Members, Share
from turmericward.fleet._targets import Directory, EngineRole, Target, target_hash
from turmericward.fleet._view import (
    EngineSpec,
    EngineView,
    LoadView,
    Subset,
    View,
    ViewBuilder,
)

__all__ = [
    "NO_TARGET",
    "Admission",
    "Candidates",
    "Directory",
    "EngineLoad",
    "EngineRole",
    "EngineSpec",
    "EngineView",
    "Health",
    "LoadView",
    "Backoffs",
    "Members",
    "RateLimit",
    "RateLimits",
    "RoleChange",
    "RolePlanner",
    "Share",
    "Subset",
    "Target",
    "View",
    "ViewBuilder",
    "target_hash",
]
