"""Strict conversion of decoded JSON into attrs classes, with paths to errors."""

from turmericward.schema import validators
from turmericward.schema._errors import SchemaError
from turmericward.schema._records import RecordRegistry
from turmericward.schema._structure import structure

__all__ = ["RecordRegistry", "SchemaError", "structure", "validators"]
