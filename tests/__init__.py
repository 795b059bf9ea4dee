"""Tests: functions named test_* in modules that mirror the package."""
