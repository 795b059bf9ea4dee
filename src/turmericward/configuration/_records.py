"""Records of the configuration stream and their JSON form on the log."""

import attrs

from turmericward.configuration import _errors

_CHANGE = "config.change"
_SNAPSHOT = "config.snapshot"


@attrs.frozen(kw_only=True)
class Change:
    """Replaces or deletes one resource if it still has the expected version.

    `expected` is the offset of the change that it replaces, 0 for none. Each
    change names the version it replaces, so a repeated append is rejected.
    """

    id: str
    producer: str
    kind: str
    name: str
    expected: int
    value: dict | None


@attrs.frozen(kw_only=True)
class Snapshot:
    """The whole state after folding every offset below `covers`."""

    covers: int
    state: dict


def encode(record: Change | Snapshot) -> dict:
    """Returns the record as a JSON object."""
    tag = _CHANGE if isinstance(record, Change) else _SNAPSHOT
    return {"type": tag} | attrs.asdict(record, recurse=False)


def _is_count(value: object) -> bool:
    return type(value) is int and value >= 0


def _decode_change(raw: dict) -> Change:
    texts = [raw.get(n) for n in ("id", "producer", "kind", "name")]
    value = raw.get("value")
    if not all(isinstance(t, str) for t in texts) or not _is_count(raw.get("expected")):
        raise _errors.MalformedRecordError("change has a missing or mistyped field")
    if value is not None and not isinstance(value, dict):
        raise _errors.MalformedRecordError("change has a value that is no object")
    return Change(
        id=texts[0],
        producer=texts[1],
        kind=texts[2],
        name=texts[3],
        expected=raw["expected"],
        value=value,
    )


def _decode_snapshot(raw: dict) -> Snapshot:
    if not _is_count(raw.get("covers")) or not isinstance(raw.get("state"), dict):
        raise _errors.MalformedRecordError("snapshot has a missing field")
    return Snapshot(covers=raw["covers"], state=raw["state"])


_DECODERS = {_CHANGE: _decode_change, _SNAPSHOT: _decode_snapshot}


def decode(raw: object) -> Change | Snapshot:
    """Decodes a JSON object from the configuration stream.

    Raises:
        MalformedRecordError: the object has another form.
    """
    if not isinstance(raw, dict) or raw.get("type") not in _DECODERS:
        raise _errors.MalformedRecordError("record has no known type")
    return _DECODERS[raw["type"]](raw)
