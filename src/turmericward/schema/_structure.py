"""Converts decoded JSON into attrs classes without coercing types."""

import typing
from collections.abc import Callable

import cattrs
from cattrs import cols

from turmericward.schema import _errors, _json, validators

_FIELD_SEPARATOR = "\x1f"
MAX_MESSAGES = 100


def _exact(kind: type):
    def convert(value, _):
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            found = type(value).__name__
            raise ValueError(f"is a {found} where a {kind.__name__} belongs")
        return value

    return convert


def _exact_container(kind: type, convert):
    """Returns a hook that accepts `kind` only, not a string as a list of strings."""
    check = _exact(kind)

    def convert_exact(value, type_):
        return convert(check(value, type_), type_)

    return convert_exact


def _list_hook(type_, conv: cattrs.Converter):
    return _exact_container(list, cols.list_structure_factory(type_, conv))


def _dict_hook(type_, conv: cattrs.Converter):
    return _exact_container(dict, conv.gen_structure_mapping(type_))


def _converter(*, forbid_extra_keys: bool) -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    for kind in (str, int, float, bool):
        conv.register_structure_hook(kind, _exact(kind))
    conv.register_structure_hook_func(lambda type_: type_ is dict, _exact(dict))
    for kind, hook in ((list, _list_hook), (dict, _dict_hook)):
        conv.register_structure_hook_factory(
            lambda type_, kind=kind: typing.get_origin(type_) is kind, hook
        )
    return conv


_CONVERTER = _converter(forbid_extra_keys=True)
_OPEN_CONVERTER = _converter(forbid_extra_keys=False)


def _describe(exc: BaseException, _type: type | None = None) -> str:
    if isinstance(exc, KeyError):
        return "is missing"
    if isinstance(exc, cattrs.errors.ForbiddenExtraKeysError):
        names = ", ".join(sorted(exc.extra_fields))
        return f"has no field named {names}"
    if isinstance(exc, (TypeError, AttributeError)):
        return "has the wrong type"
    if isinstance(exc, validators.InvalidFieldError):
        return f"{exc.field}{_FIELD_SEPARATOR}{exc}"
    return str(exc)


def _messages(exc: BaseException, root: str) -> list[str]:
    messages = []
    for text in cattrs.transform_error(exc, path="", format_exception=_describe):
        message, _, path = text.rpartition(" @ ")
        field, separator, detail = message.partition(_FIELD_SEPARATOR)
        if separator:
            path, message = f"{path}.{field}", detail
        path = path.removeprefix(".") or root
        messages.append(_errors.printable(f"{path}: {message}"))
    return messages[:MAX_MESSAGES]


def structure(value: object, cls: type, root: str, *, extra: bool = False):
    """Converts `value` into the attrs class `cls`.

    Args:
        value: decoded JSON.
        cls: an attrs class.
        root: path under which errors of the whole value are reported.
        extra: whether unknown names are ignored; by default they are errors.

    Raises:
        SchemaError: the value violates the schema.

    .. versionadded:: 0.1.0
    """
    if not isinstance(value, dict):
        raise _errors.SchemaError(f"{root}: is not a JSON object")
    conv = _OPEN_CONVERTER if extra else _CONVERTER
    try:
        return conv.structure(value, cls)
    # Whatever fails inside is a fault of the value.
    except Exception as exc:
        raise _errors.SchemaError(*_messages(exc, root)) from exc


def _unchanged(instance):
    return instance


def decode(
    raw: bytes | str,
    cls: type,
    root: str,
    *,
    extra: bool = False,
    max_bytes: int = _json.MAX_BYTES,
    convert: Callable = _unchanged,
):
    """Decodes JSON into the attrs class `cls`, and converts that.

    Args:
        raw: the JSON.
        cls: an attrs class.
        root: names the value in errors.
        extra: whether unknown names are ignored; by default they are errors.
        max_bytes: longest accepted JSON.
        convert: called with the instance; returns the result.

    Raises:
        SchemaError: it is beyond the limits of `loads`, violates the schema, or can't
            be converted.

    .. versionadded:: 0.1.0
    """
    value = _json.loads(raw, root, max_bytes=max_bytes)
    instance = structure(value, cls, root, extra=extra)
    try:
        return convert(instance)
    # Whatever fails inside is a fault of the value.
    except Exception as exc:
        reason = str(exc) if isinstance(exc, ValueError) else repr(exc)
        raise _errors.SchemaError(_errors.printable(f"{root}: {reason}")) from exc
