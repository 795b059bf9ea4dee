"""Loads settings files and reports each error with the path of its setting."""

import pathlib
import typing

import attrs

from turmericward import schema
from turmericward.settings import _errors, _schema

MAX_BYTES = 1024 * 1024


def loads(text: str, cls: type = _schema.Settings):
    """Parses settings from JSON text.

    Args:
        text: one JSON object.
        cls: the attrs class of the settings.

    Raises:
        SettingsError: the text isn't JSON or violates the schema; one argument
            for each error, beginning with the path to the setting.

    .. versionadded:: 0.1.0
    """
    try:
        return schema.decode(text, cls, "settings", max_bytes=MAX_BYTES)
    except schema.SchemaError as exc:
        raise _errors.SettingsError(*exc.args) from exc


def load(path: str, cls: type = _schema.Settings):
    """Reads the settings file at `path` into the attrs class `cls`.

    Raises:
        SettingsError: the file can't be read, or as for `loads`.

    .. versionadded:: 0.1.0
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    # A path with a NUL raises a ValueError.
    except (OSError, ValueError) as exc:
        raise _errors.SettingsError(f"settings: can't be read: {exc}") from exc
    return loads(text, cls)


def _nested_class(kind) -> type | None:
    for candidate in (kind, *typing.get_args(kind)):
        if attrs.has(candidate):
            return candidate
    return None


def schema_lines(kind: type = _schema.Settings, prefix: str = "") -> list[str]:
    """Returns one line per setting, `path: type = default`, in schema order."""
    lines = []
    for field in attrs.fields(attrs.resolve_types(kind)):
        path = f"{prefix}{field.name}"
        nested = _nested_class(field.type)
        type_name = getattr(field.type, "__name__", str(field.type))
        if typing.get_origin(field.type) is list and nested:
            lines += schema_lines(nested, f"{path}[].")
        elif typing.get_origin(field.type) is dict and nested:
            lines += schema_lines(nested, f"{path}.<name>.")
        elif nested:
            lines += schema_lines(nested, f"{path}.")
        elif field.default is attrs.NOTHING:
            lines.append(f"{path}: {type_name}, required")
        else:
            lines.append(f"{path}: {type_name} = {field.default}")
    return lines
