"""Promises of the product by name, each checked against the evidence of a run."""

from soak import (
    _budget_promises,
    _call_promises,
    _evidence,
    _findings,
    _fleet_promises,
)

# Modules that register promises.
MODULES = (_budget_promises, _call_promises, _fleet_promises)


def check(evidence: _evidence.Evidence) -> dict[str, _findings.Result]:
    """Checks every promise; returns the results by name."""
    return {name: function(evidence) for name, function in _findings.REGISTRY.items()}
