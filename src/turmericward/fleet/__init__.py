"""Fleet aggregate: what an entry or a steward knows of targets."""

from turmericward.fleet._errors import FleetError
from turmericward.fleet._health import Health
from turmericward.fleet._view import EngineView, LoadView, View, build_view

__all__ = ["EngineView", "FleetError", "Health", "LoadView", "View", "build_view"]
