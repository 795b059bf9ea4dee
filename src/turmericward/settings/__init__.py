"""Settings of an instance: one JSON file, checked before a program starts."""

from turmericward.settings._errors import SettingsError
from turmericward.settings._load import load, loads, schema_lines
from turmericward.settings._schema import (
    ClassBounds,
    Entry,
    Instance,
    InstanceList,
    Log,
    Operator,
    Settings,
    Statsd,
    Steward,
)

__all__ = [
    "ClassBounds",
    "Entry",
    "Instance",
    "InstanceList",
    "Log",
    "Operator",
    "Settings",
    "SettingsError",
    "Statsd",
    "Steward",
    "load",
    "loads",
    "schema_lines",
]
