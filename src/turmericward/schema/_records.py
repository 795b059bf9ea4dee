"""Records of a log stream: attrs classes with a tag, and their JSON form."""

from collections.abc import Callable

import attrs

from turmericward.schema import _errors, _structure

TYPE = "type"


class RecordKinds:
    """A registry of the records of one stream, filled by a decorator."""

    def __init__(self, malformed: type[Exception]) -> None:
        """Creates an empty registry.

        Args:
            malformed: raised with a sentence for what can't be decoded.
        """
        self._malformed = malformed
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
        return {TYPE: self._tags[type(record)]} | attrs.asdict(record)

    def decode(self, raw: object):
        """Decodes a JSON object; raises the registry's error for another form."""
        cls = self._classes.get(raw.get(TYPE)) if isinstance(raw, dict) else None
        if cls is None:
            raise self._malformed("record has no known type")
        fields = {k: v for k, v in raw.items() if k != TYPE}
        try:
            return _structure.structure(fields, cls, "record")
        except _errors.SchemaError as exc:
            raise self._malformed(str(exc)) from exc
