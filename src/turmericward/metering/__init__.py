"""Metering: calls that began to run, by window of Unix time and workspace."""

from turmericward.metering._errors import MalformedJournalError, MeteringError
from turmericward.metering._ledger import Ledger
from turmericward.metering._unix_clock import UnixClock
from turmericward.metering._usage import Collected, Usage, WindowUsage
from turmericward.metering._usage_duty import UsageDuty
from turmericward.metering._usage_sending import UsageSending

__all__ = [
    "Collected",
    "Ledger",
    "MalformedJournalError",
    "MeteringError",
    "UnixClock",
    "Usage",
    "UsageDuty",
    "UsageSending",
    "WindowUsage",
]
