"""Rules by which a steward refuses a hold: a planned change can be postponed."""

from turmericward import fleet

REPORT_LIFETIME_S = 5.0
ENTRY_TIMEOUT_S = 5.0


def unserved_model(
    engine: str, view: fleet.View, held: frozenset[str], now: float
) -> str:
    """Returns a model that a hold on `engine` would leave without an engine.

    Args:
        engine: name of the engine to hold.
        view: engines by model, load reports and leaving engines.
        held: engines under other holds.
        now: monotonic seconds.

    Returns:
        The model's name, or an empty string. A model that has no other engine
        in the configuration is not protected, as it could never be changed otherwise.
    """
    for model, engines in view.engines_by_model.items():
        others = [e.name for e in engines if e.name != engine]
        serves = len(others) < len(engines)
        if serves and others and not any(_serves(e, view, held, now) for e in others):
            return model
    return ""


def _serves(engine: str, view: fleet.View, held: frozenset[str], now: float) -> bool:
    report = view.loads.get(engine)
    if report is None or now - report.at > REPORT_LIFETIME_S:
        return False
    return engine not in held and engine not in view.leaving


def unresponsive_entry(
    entries: frozenset[str], polled_at: dict[str, float], now: float
) -> str:
    """Returns an entry that hasn't polled for ENTRY_TIMEOUT_S, or an empty string."""
    for entry in sorted(entries):
        if now - polled_at.get(entry, float("-inf")) > ENTRY_TIMEOUT_S:
            return entry
    return ""
