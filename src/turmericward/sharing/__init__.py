"""Fair shares of saturated services among workspaces; pure decisions."""

from turmericward.sharing._messages import (
    ABOVE_SHARE,
    WITHIN_SHARE,
    Offer,
    Verdict,
    WorkspaceStatus,
)
from turmericward.sharing._shares import Shares
from turmericward.sharing._work import (
    MAX_PUBLISHED_WORKSPACES,
    MAX_SUMMED_WORKSPACES,
    Pressure,
    ServiceWork,
    Work,
    output_work,
    prompt_work,
    shared_tokens,
    sum_work,
    without,
)

__all__ = [
    "ABOVE_SHARE",
    "MAX_PUBLISHED_WORKSPACES",
    "MAX_SUMMED_WORKSPACES",
    "Offer",
    "Pressure",
    "ServiceWork",
    "Shares",
    "Verdict",
    "WITHIN_SHARE",
    "Work",
    "WorkspaceStatus",
    "output_work",
    "prompt_work",
    "shared_tokens",
    "sum_work",
    "without",
]
