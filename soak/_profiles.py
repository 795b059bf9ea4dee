"""Profiles of load: classes of calls, how engines slow down, and how the mix shifts."""

import bisect
import math
import pathlib
import random
from collections.abc import Iterator

import attrs

from soak import _fleet
from standins import caller
from turmericward import settings
from turmericward.schema import validators

DIRECTORY = pathlib.Path(__file__).with_name("profiles")
EVENTS_PER_S = 8
MIN_EVENTS, MAX_EVENTS = 2, 40
# Bounds the tail of the sizes.
MAX_WORK_S = 12.0
STREAMS = frozenset(name for name, kind, _, _ in _fleet.ROUTES if kind == "streaming")
_FACTOR = validators.between(1, 20)
_SECONDS = validators.between(0, 60)
# How the mix goes from one state to the next one.
SHIFTS: dict[str, object] = {}


@attrs.frozen(kw_only=True)
class CallClass:
    """Calls of a route with one distribution of sizes; `since` is every later route.

    `prompt_s` and `work_s` are medians of the time that an idle target takes for the
    prompt and for the rest, `spread` the standard deviation of their logarithm,
    `budget_s` how long clients wait.
    """

    name: str = attrs.field(validator=validators.name)
    route: str = attrs.field(
        validator=validators.one_of(*(r[0] for r in _fleet.ROUTES), "since")
    )
    weight: float = attrs.field(validator=validators.between(0.01, 1000))
    budget_s: float = attrs.field(validator=validators.between(0.5, 20))
    prompt_s: float = attrs.field(default=0.0, validator=_SECONDS)
    work_s: float = attrs.field(default=0.0, validator=_SECONDS)
    spread: float = attrs.field(default=0.5, validator=validators.between(0, 3))


@attrs.frozen(kw_only=True)
class Shifts:
    """Bounds of the shifts: mean time between two, and factors up and down."""

    every_s: float = attrs.field(validator=validators.between(0.5, 600))
    weight_factor: float = attrs.field(validator=_FACTOR)
    prompt_factor: float = attrs.field(validator=_FACTOR)
    work_factor: float = attrs.field(validator=_FACTOR)


@attrs.frozen(kw_only=True)
class Profile:
    """One kind of site.

    Each call at work beside another one lengthens its work by `slowdown_per_call`.
    """

    slowdown_per_call: float = attrs.field(validator=validators.between(0, 1))
    shifts: Shifts
    classes: list[CallClass] = attrs.field(validator=validators.not_empty)


@attrs.frozen(kw_only=True)
class _Factors:
    weight: float = 1.0
    prompt: float = 1.0
    work: float = 1.0

    def towards(self, other: "_Factors", share: float) -> "_Factors":
        pairs = zip(attrs.astuple(self), attrs.astuple(other), strict=True)
        values = (a * (b / a) ** share for a, b in pairs)
        return _Factors(**dict(zip(("weight", "prompt", "work"), values, strict=True)))


BASE = _Factors()


@attrs.frozen(kw_only=True)
class _State:
    """Factors by class that hold at a time of the run, and drift to the next ones."""

    at: float
    factors: dict[str, _Factors]


def names() -> list[str]:
    """Returns the names of the profiles."""
    return sorted(path.stem for path in DIRECTORY.glob("*.json"))


def load(name: str) -> Profile:
    """Reads a profile.

    Raises:
        SettingsError: there is none of this name, or it violates the schema.
    """
    return settings.load(str(DIRECTORY / f"{name}.json"), Profile)


def _shift(function):
    SHIFTS[function.__name__] = function
    return function


@_shift
def drift(last: _State, at: float, drawn: dict) -> Iterator[_State]:
    """The mix changes steadily."""
    del last
    yield _State(at=at, factors=drawn)


@_shift
def jump(last: _State, at: float, drawn: dict) -> Iterator[_State]:
    """The mix changes at once."""
    yield _State(at=at, factors=last.factors)
    yield _State(at=at, factors=drawn)


@_shift
def come_back(last: _State, at: float, drawn: dict) -> Iterator[_State]:
    """The mix is at once what it was at first."""
    yield _State(at=at, factors=last.factors)
    yield _State(at=at, factors=dict.fromkeys(drawn, BASE))


class Mix:
    """The classes of a profile and their shifts over a run, drawn from its seed."""

    def __init__(self, profile: Profile, rng: random.Random, length_s: float) -> None:
        """Draws the shifts of a run of at most `length_s`."""
        self._profile = profile
        first = dict.fromkeys((c.name for c in profile.classes), BASE)
        self._states = [_State(at=0.0, factors=first)]
        at = 0.0
        while at < length_s:
            at += rng.expovariate(1 / profile.shifts.every_s)
            shift = SHIFTS[rng.choice(sorted(SHIFTS))]
            self._states += shift(self._states[-1], at, self._draw(rng))

    def _draw(self, rng: random.Random) -> dict[str, _Factors]:
        shifts = self._profile.shifts

        def factor(most: float) -> float:
            return math.exp(rng.uniform(-1, 1) * math.log(most))

        return {
            kind.name: _Factors(
                weight=factor(shifts.weight_factor),
                prompt=factor(shifts.prompt_factor),
                work=factor(shifts.work_factor),
            )
            for kind in self._profile.classes
        }

    def factors(self, at: float) -> dict[str, _Factors]:
        """Returns the factors by class at a time of the run."""
        number = bisect.bisect_right(self._states, at, key=lambda state: state.at)
        last = self._states[number - 1]
        if number == len(self._states):
            return last.factors
        following = self._states[number]
        share = (at - last.at) / (following.at - last.at)
        return {
            name: factors.towards(following.factors[name], share)
            for name, factors in last.factors.items()
        }

    def call(self, call_id: str, at: float, version: int, rng) -> caller.Call:
        """Draws a call that is sent at a time of the run.

        Args:
            call_id: its id.
            at: seconds since the run began.
            version: of the configuration; the newest route that may be called.
            rng: draws the class and the sizes.
        """
        factors = self.factors(at)
        classes = self._profile.classes
        weights = [kind.weight * factors[kind.name].weight for kind in classes]
        (kind,) = rng.choices(classes, weights)
        size = math.exp(rng.gauss(0, kind.spread))
        work_s = min(MAX_WORK_S, kind.work_s * factors[kind.name].work * size)
        prompt_s = min(MAX_WORK_S, kind.prompt_s * factors[kind.name].prompt * size)
        events = None
        if kind.route in STREAMS:
            events = min(MAX_EVENTS, max(MIN_EVENTS, int(EVENTS_PER_S * work_s)))
        route = kind.route
        if route == _fleet.VERSION_PREFIX:
            route += str(rng.randint(2, version))
        is_read = kind.route in ("read", _fleet.VERSION_PREFIX)
        return caller.Call(
            id=call_id,
            route=route,
            work_s=work_s,
            prompt_s=prompt_s,
            events=events,
            deadline_s=kind.budget_s,
            method="GET" if is_read else "POST",
        )
