"""Transfer: when calls leave their failure domain, and how many; pure logic."""

from turmericward.transfer._decision import Domain, Link, pays, target_shares
from turmericward.transfer._heard import Heard
from turmericward.transfer._shares import ShareChange, Shares
from turmericward.transfer._utilization import TargetUse, domains_of

__all__ = [
    "Domain",
    "Heard",
    "Link",
    "ShareChange",
    "Shares",
    "TargetUse",
    "domains_of",
    "pays",
    "target_shares",
]
