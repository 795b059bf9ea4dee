"""Strict conversion of JSON into attrs classes, with paths to errors."""

from turmericward.schema import validators
from turmericward.schema._errors import LimitError, SchemaError, printable
from turmericward.schema._json import MAX_BYTES, MAX_DEPTH, MAX_INT, loads
from turmericward.schema._numbers import parse_float, parse_int
from turmericward.schema._records import RecordRegistry
from turmericward.schema._structure import decode, structure

__all__ = [
    "MAX_BYTES",
    "MAX_DEPTH",
    "MAX_INT",
    "LimitError",
    "RecordRegistry",
    "SchemaError",
    "decode",
    "loads",
    "parse_float",
    "parse_int",
    "printable",
    "structure",
    "validators",
]
