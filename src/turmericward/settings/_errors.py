"""Errors of the settings layer."""

from turmericward import schema


class SettingsError(schema.SchemaError):
    """Raised when a settings file can't be read or violates the schema."""
