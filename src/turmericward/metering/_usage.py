"""What fronts tell each other of usage, and what a holder collects of it."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class WindowUsage:
    """Calls that began to run in a window, by workspace.

    They are those of one front since its start, or of all fronts in its domain if
    `domain` holds. Counts only rise. `total` is that of all counts of the sender, also
    of those that aren't in this message, so that a receiver notices what it has missed.
    """

    window: int
    counts: Mapping[str, int]
    domain: bool = False
    total: int = 0


@attrs.frozen(kw_only=True)
class Usage:
    """Usage in several windows, and what Unix time its sender takes it to be."""

    unix_s: float
    windows: tuple[WindowUsage, ...] = ()


@attrs.frozen(kw_only=True)
class Collected:
    """Usage of all known fronts in a window, as known at the Unix time `unix_s`.

    Each domain that is heard of has told what it counted up to `known_until_s`;
    `whole` holds if nothing of that was lost on the way.
    """

    unix_s: float
    counts: Mapping[str, int]
    known_until_s: float
    whole: bool = True
