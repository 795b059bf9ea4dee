"""Registry of log records: attrs classes with a type tag, encoded as JSON."""

from collections.abc import Callable

import attrs

from turmericward.schema import _errors, _structure

TYPE_KEY = "type"


class RecordRegistry:
    """Registry of the record classes of one stream, filled by a decorator."""

    def __init__(self, error_class: type[Exception]) -> None:
        """Creates an empty registry.

        Args:
            error_class: exception raised for records that can't be decoded.
        """
        self._error_class = error_class
        self._classes: dict[str, type] = {}
        self._tags: dict[type, str] = {}

    def register(self, tag: str) -> Callable[[type], type]:
        """Returns a decorator that registers an attrs class under `tag`."""

        def add(cls: type) -> type:
            self._classes[tag] = cls
            self._tags[cls] = tag
            return cls

        return add

    def encode(self, record: object) -> dict:
        """Returns the record as a JSON object."""
        return {TYPE_KEY: self._tags[type(record)]} | attrs.asdict(record)

    def decode(self, raw: object):
        """Decodes a JSON object; raises the registry's error if it is malformed."""
        tag = raw.get(TYPE_KEY) if isinstance(raw, dict) else None
        cls = self._classes.get(tag) if isinstance(tag, str) else None
        if cls is None:
            raise self._error_class("record has no known type")
        fields = {k: v for k, v in raw.items() if k != TYPE_KEY}
        try:
            return _structure.structure(fields, cls, "record")
        except _errors.SchemaError as exc:
            raise self._error_class(str(exc)) from exc
