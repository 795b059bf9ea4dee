"""Strict structuring of decoded JSON into attrs classes, with fault paths."""

from turmericward.schema import validators
from turmericward.schema._errors import SchemaError
from turmericward.schema._structure import structure

__all__ = ["SchemaError", "structure", "validators"]
