"""Schema and loader of the emulator's load files."""

import json
import pathlib

import attrs
import cattrs

DIRECTORY = pathlib.Path(__file__).parent / "loads"


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Parameters that all engines of a load share."""

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
    """A prefix segment that calls share; `kinds` is the number of distinct ones."""

    tokens: int
    kinds: int


@attrs.frozen(kw_only=True)
class CallClass:
    """Calls of one class; spreads are standard deviations of the logarithm."""

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
        """Tokens of all shared segments of a prompt."""
        return sum(part.tokens for part in self.shared)


@attrs.frozen(kw_only=True)
class Burst:
    """A period in which the call rate of a class is multiplied by `x`."""

    name: str
    at: float
    for_s: float
    x: float


@attrs.frozen(kw_only=True)
class Fault:
    """Engines that are in trouble for a time.

    They are `slow` by the factor `x`, `losing` that share of their answers, `limited`
    to as many requests a second of all fronts together, or `paused`. With `silent`, a
    call whose answer is lost hangs instead of failing.
    """

    kind: str
    at: float
    for_s: float
    engines: int
    x: float
    role: str = ""
    silent: bool = False


@attrs.frozen(kw_only=True)
class Weights:
    """Weights of the terms of an outcome's worth."""

    day: float = 0.32
    windows: float = 0.12
    kind: float = 0.08
    domain: float = 0.2
    nines: float = 0.28


@attrs.frozen(kw_only=True)
class Load:
    """Arrivals, deployment and faults of one run.

    Engines have the factors `speeds` by turns, all 1 if there are none. With a
    `relay_interval_s` a relay publishes the sum of all loads that often;
    otherwise each front publishes its local loads to its peers.
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
    speeds: tuple[float, ...] = ()
    weights: Weights = Weights()


def fault(text: str) -> Fault:
    """Returns the fault that a JSON object describes.

    Raises:
        ValueError: it isn't JSON.
        cattrs.BaseValidationError: fields are missing or unknown.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    return converter.structure(json.loads(text), Fault)


def load(name: str) -> Load:
    """Returns the load of the file `NAME.json`.

    Raises:
        OSError: the file cannot be read.
        cattrs.BaseValidationError: fields are missing or unknown.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    raw = json.loads((DIRECTORY / f"{name}.json").read_text(encoding="utf-8"))
    return converter.structure(raw, Load)
