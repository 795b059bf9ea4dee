"""Loads of the emulator, as checked JSON files."""

import json
import pathlib

import attrs
import cattrs

DIRECTORY = pathlib.Path(__file__).parent / "loads"


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What all engines of a load have in common."""

    slots: int
    step_ms: float
    step_ms_per_answer: float
    tokens_per_ms: float
    pairs_ms_per_million: float
    first_ms: float
    tokens_per_event: int
    piece_tokens: int
    memory_tokens: int
    fetch_tokens_per_ms: float


@attrs.frozen(kw_only=True)
class SharedPart:
    """A part of the prompt that calls share, of which there are some kinds."""

    tokens: int
    kinds: int


@attrs.frozen(kw_only=True)
class CallClass:
    """Calls of one kind; spreads are of the logarithm."""

    name: str
    per_s: float
    objective_s: float
    pause_s: float
    abandon_s: float
    deadline_s: float
    priority: int
    worth: float
    late_worth: float
    own_tokens: float
    own_spread: float
    own_most: float
    shared: tuple[SharedPart, ...]
    events: float
    events_spread: float
    once: bool

    @property
    def shared_tokens(self) -> int:
        """Tokens of all shared parts of a prompt."""
        return sum(part.tokens for part in self.shared)


@attrs.frozen(kw_only=True)
class Burst:
    """`x` times the calls of a class."""

    name: str
    at: float
    for_s: float
    x: float


@attrs.frozen(kw_only=True)
class Fault:
    """Engines that are `slow` by a factor or are `losing` a share of answers."""

    kind: str
    at: float
    for_s: float
    engines: int
    x: float
    role: str = ""
    silent: bool = False


@attrs.frozen(kw_only=True)
class Weights:
    """How much the parts of what users count weigh."""

    day: float = 0.32
    windows: float = 0.12
    kind: float = 0.08
    domain: float = 0.2
    nines: float = 0.28


@attrs.frozen(kw_only=True)
class Load:
    """What arrives where, and what goes wrong.

    With a `relay_interval_s` a relay tells the sum of all loads that often;
    otherwise each front tells the others.
    """

    length_s: float
    fronts: int
    domains: int
    prefill: int
    decode: int
    engine: EngineTraits
    classes: tuple[CallClass, ...]
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    relay_interval_s: float = 0.0
    weights: Weights = Weights()


def load(name: str) -> Load:
    """Returns the load in a file of this name.

    Raises:
        OSError: there is none.
        cattrs.BaseValidationError: it lacks fields or has others.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    raw = json.loads((DIRECTORY / f"{name}.json").read_text(encoding="utf-8"))
    return converter.structure(raw, Load)
