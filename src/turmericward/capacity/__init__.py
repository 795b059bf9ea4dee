"""Capacity: how many replicas of each kind a scalable service has in each domain."""

from turmericward.capacity._demand import DemandTracker, Sample, sample
from turmericward.capacity._duty import CapacityDuty
from turmericward.capacity._mix import Need, Pool, plan
from turmericward.capacity._orders import OrderState
from turmericward.capacity._steps import Situation, Step, next_step
from turmericward.capacity._view import Replica, ServiceView, View

__all__ = [
    "CapacityDuty",
    "DemandTracker",
    "Need",
    "OrderState",
    "Replica",
    "Sample",
    "ServiceView",
    "Situation",
    "Step",
    "Pool",
    "View",
    "next_step",
    "plan",
    "sample",
]
