"""Policy variants of an experiment, by name.

Each is a context manager that patches the policy for the time of a run.
"""

import contextlib
import importlib
import json
import math
from collections.abc import Callable, Iterator
from unittest import mock

from benchmarks import _emulator, _late
from turmericward import fleet
from turmericward.requests import _engine_speeds, _outcomes, _speed

_Variant = Callable[[], contextlib.AbstractContextManager]
VARIANTS: dict[str, _Variant] = {}


def variant(name: str):
    """Registers a generator function as the variant `name`."""

    def register(patch: Callable[[], Iterator[None]]) -> _Variant:
        VARIANTS[name] = contextlib.contextmanager(patch)
        return VARIANTS[name]

    return register


@variant("as it is")
def _as_it_is() -> Iterator[None]:
    yield


@variant("without failures")
def _without_failures() -> Iterator[None]:
    with mock.patch.object(_outcomes.Outcomes, "failure_share", lambda *_: 0.0):
        yield


@variant("ended at silence")
def _ended_at_silence() -> Iterator[None]:
    with mock.patch.object(_late.LateAttempts, "end_refused", True):
        yield


@variant("without second attempts")
def _without_second_attempts() -> Iterator[None]:
    with mock.patch.object(_late.LateAttempts, "check", lambda *_: None):
        yield


@variant("speeds learnt alone")
def _speeds_learnt_alone() -> Iterator[None]:
    with mock.patch.object(_engine_speeds, "MIN_SPREAD", math.inf):
        yield


@variant("without slots")
def _without_slots() -> Iterator[None]:
    with mock.patch.object(_speed.HoldTime, "wait_s", lambda *_: 0.0):
        yield


@variant("without waits for limits")
def _without_waits() -> Iterator[None]:
    candidates = fleet.Admission.candidates

    def at_once(self, *args, max_wait_s: float = 0.0, **kwargs):
        return candidates(self, *args, **kwargs)

    with mock.patch.object(fleet.Admission, "candidates", at_once):
        yield


@variant("limits not kept")
def _limits_not_kept() -> Iterator[None]:
    with mock.patch.object(fleet.RateLimits, "limited", lambda _: frozenset()):
        yield


@variant("perfect view")
def _perfect_view() -> Iterator[None]:
    with (
        mock.patch.object(_emulator, "SHORT_PROMPT_PUBLISH_INTERVAL_S", 0.0),
        mock.patch.object(_emulator, "PUBLISH_DELAY_S", 0.0),
    ):
        yield


def named(name: str) -> contextlib.AbstractContextManager:
    """Returns a variant by name, or one that sets `MODULE.CONSTANT=JSON` of `requests`.

    Raises:
        KeyError: no variant has this name.
    """
    if name in VARIANTS:
        return VARIANTS[name]()
    target, equals, value = name.partition("=")
    if not equals:
        raise KeyError(name)
    module_name, _, constant = target.rpartition(".")
    module = importlib.import_module(f"turmericward.requests.{module_name}")
    parsed = json.loads(value)
    if isinstance(parsed, list):
        parsed = tuple(parsed)
    return mock.patch.object(module, constant, parsed)
