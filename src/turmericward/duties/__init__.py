"""Duties: calls to the platform that one front at a time makes, under one lease."""

from turmericward.duties._calls import CapacityOrder, Outcome, UsageReport
from turmericward.duties._duty import Duty, DutyCall, JournaledDuty, is_journaled

__all__ = [
    "CapacityOrder",
    "Duty",
    "DutyCall",
    "JournaledDuty",
    "Outcome",
    "UsageReport",
    "is_journaled",
]
