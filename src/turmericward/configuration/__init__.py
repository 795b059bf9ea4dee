"""Configuration aggregate: resources, built by a deterministic fold of the log."""

from turmericward.configuration._errors import (
    ConfigurationError,
    InvalidResourceError,
    MalformedRecordError,
)
from turmericward.configuration._kinds import (
    Adapter,
    Engine,
    Model,
    Service,
    ServiceTarget,
    Tenant,
    Version,
    kinds,
    parse,
)
from turmericward.configuration._ledger import Ledger, Resource, Verdict
from turmericward.configuration._rebuild import (
    SPREAD_S,
    Confirmer,
    Rebuild,
    lost_changes,
)
from turmericward.configuration._records import (
    Change,
    ChangeInEra,
    Confirmation,
    Era,
    Snapshot,
    decode,
    encode,
)
from turmericward.configuration._replay import Replay

__all__ = [
    "Adapter",
    "Change",
    "ChangeInEra",
    "ConfigurationError",
    "Confirmation",
    "Confirmer",
    "Engine",
    "Era",
    "InvalidResourceError",
    "Ledger",
    "MalformedRecordError",
    "Model",
    "Rebuild",
    "Replay",
    "Resource",
    "SPREAD_S",
    "Service",
    "ServiceTarget",
    "Snapshot",
    "Tenant",
    "Verdict",
    "Version",
    "decode",
    "encode",
    "kinds",
    "lost_changes",
    "parse",
]
