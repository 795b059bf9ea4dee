"""Duties: calls to the platform that one front at a time makes, under one lease."""

from turmericward.duties._calls import CapacityOrder, Outcome, UsageReport
from turmericward.duties._duty import (
    CALL_DURATION_S,
    Duty,
    DutyCall,
    JournaledDuty,
    is_journaled,
)

__all__ = [
    "CALL_DURATION_S",
    "CapacityOrder",
    "Duty",
    "DutyCall",
    "JournaledDuty",
    "Outcome",
    "UsageReport",
    "is_journaled",
]
