"""Records of the configuration stream and their JSON form on the log."""

import attrs

from turmericward import positions, schema
from turmericward.configuration import _errors

KINDS = schema.RecordRegistry(_errors.MalformedRecordError)


@KINDS.register("config.change")
@attrs.frozen(kw_only=True)
class Change:
    """Replaces or deletes one resource if it still has the expected version.

    `expected` is the version that it replaces, 0 for none. As each change states
    that version, a repeated append is rejected.
    """

    id: str
    producer: str
    kind: str
    name: str
    expected: int
    value: dict | None


@KINDS.register("config.change_in_era")
@attrs.frozen(kw_only=True)
class ChangeInEra(Change):
    """A change that applies in one era of the log only.

    One that is appended late may have been rejected in an earlier era, and have lost
    to changes that the log has lost since. `origin` is the version that the log had
    accepted it as before it lost it, 0 for a new change.
    """

    era: int
    origin: int = 0


@KINDS.register("config.era")
@attrs.frozen(kw_only=True)
class Era:
    """Names the era of the log; what is after it was appended in that era or a later.

    Readers can't tell otherwise: a copy contains records of all eras before.
    """

    era: int = attrs.field(validator=schema.validators.between(0, positions.MAX_ERA))


@KINDS.register("config.confirmation")
@attrs.frozen(kw_only=True)
class Confirmation:
    """Says that a log which has returned has what was in force up to `known`.

    Its sender knew the log up to that number before the era, and has found again, or
    written again, what was in force. So other changes up to there are not late ones.
    """

    era: int
    known: int


@KINDS.register("config.snapshot")
@attrs.frozen(kw_only=True)
class Snapshot:
    """The state after folding every position below the number `covers`."""

    covers: int
    state: dict


encode = KINDS.encode
decode = KINDS.decode
