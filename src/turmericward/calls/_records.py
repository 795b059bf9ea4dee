"""Records of the calls stream and their JSON form on the log."""

import attrs

from turmericward import schema
from turmericward.calls import _errors


@attrs.frozen(kw_only=True)
class Answer:
    """A service's recorded answer; the body is Base64, empty when `truncated`."""

    status: int
    content_type: str
    body: str
    truncated: bool


@attrs.frozen(kw_only=True)
class Claim:
    """Claims a key for one attempt.

    Claims below the offset `floor` have left the key's validity window; the
    proposer states it, so that every reader decides alike without a clock.
    """

    id: str
    scope: str
    key: str
    fingerprint: str
    floor: int


@attrs.frozen(kw_only=True)
class Settle:
    """Ends the attempt `id`; `ran` is false only when it surely never ran."""

    id: str
    scope: str
    key: str
    ran: bool
    answer: Answer | None = None


_TYPES = {"call.claim": Claim, "call.settle": Settle}
_TAGS = {cls: tag for tag, cls in _TYPES.items()}


def encode(record: Claim | Settle) -> dict:
    """Returns the record as a JSON object."""
    return {"type": _TAGS[type(record)]} | attrs.asdict(record)


def decode(raw: object) -> Claim | Settle:
    """Decodes a JSON object from the calls stream.

    Raises:
        MalformedRecordError: the object has another form.
    """
    cls = _TYPES.get(raw.get("type")) if isinstance(raw, dict) else None
    if cls is None:
        raise _errors.MalformedRecordError("record has no known type")
    fields = {k: v for k, v in raw.items() if k != "type"}
    try:
        return schema.structure(fields, cls, "record")
    except schema.SchemaError as exc:
        raise _errors.MalformedRecordError(str(exc)) from exc
