"""When a steward refuses a hold: planned changes can wait."""

from turmericward import fleet

REPORT_LIFETIME_S = 5.0
SILENT_S = 5.0


def starved_model(
    engine: str, view: fleet.View, held: frozenset[str], now: float
) -> str:
    """Returns a model that a hold on `engine` would leave without an engine.

    Args:
        engine: name of the engine to hold.
        view: engines by model, reports and what leaves.
        held: engines under other holds.
        now: monotonic seconds.

    Returns:
        The model's name, or an empty string. A model that has no other engine
        in the configuration is not protected: its change could never come.
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


def silent_entry(
    entries: frozenset[str], polled_at: dict[str, float], now: float
) -> str:
    """Returns an entry that has not polled lately, or an empty string."""
    for entry in sorted(entries):
        if now - polled_at.get(entry, float("-inf")) > SILENT_S:
            return entry
    return ""
