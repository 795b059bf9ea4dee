"""Records of the calls stream and their JSON form on the log."""

import attrs

from turmericward import positions, schema
from turmericward.calls import _errors

KINDS = schema.RecordRegistry(_errors.MalformedRecordError)


@attrs.frozen(kw_only=True)
class Answer:
    """A service's recorded answer; the body is Base64, empty when `truncated`."""

    status: int
    content_type: str
    body: str
    truncated: bool


@KINDS.register("call.claim")
@attrs.frozen(kw_only=True)
class Claim:
    """Claims a key for one attempt.

    Claims below the offset `floor` have left the key's validity window. The proposer
    sets it, so that all readers decide the same without a clock.
    """

    id: str
    scope: str
    key: str
    fingerprint: str
    floor: int


@KINDS.register("call.settle")
@attrs.frozen(kw_only=True)
class Settle:
    """Ends the attempt `id`; `ran` is false only if it certainly never ran."""

    id: str
    scope: str
    key: str
    ran: bool
    answer: Answer | None = None


@KINDS.register("call.era")
@attrs.frozen(kw_only=True)
class Era:
    """Names the era of the log, once the claims that it lost are written again."""

    era: int = attrs.field(validator=schema.validators.between(0, positions.MAX_ERA))


encode = KINDS.encode
decode = KINDS.decode
