"""Records of the configuration stream and their JSON form on the log."""

import attrs

from turmericward import schema
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


@KINDS.register("config.snapshot")
@attrs.frozen(kw_only=True)
class Snapshot:
    """The state after folding every offset below `covers`."""

    covers: int
    state: dict


encode = KINDS.encode
decode = KINDS.decode
