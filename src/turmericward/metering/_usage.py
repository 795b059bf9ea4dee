"""What fronts tell each other of usage, and what a holder collects of it."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class WindowUsage:
    """Calls that began to run in a window, by workspace.

    They are those of one front since its start, or of all fronts in its domain if
    `domain` holds. Counts only rise.
    """

    window: int
    counts: Mapping[str, int]
    domain: bool = False


@attrs.frozen(kw_only=True)
class Usage:
    """Usage in several windows, and what Unix time its sender takes it to be."""

    unix_s: float
    windows: tuple[WindowUsage, ...] = ()


@attrs.frozen(kw_only=True)
class Collected:
    """Usage of all known fronts in a window, as known at the Unix time `unix_s`.

    Each domain that is heard of has told what it counted up to `known_until_s`.
    """

    unix_s: float
    counts: Mapping[str, int]
    known_until_s: float
