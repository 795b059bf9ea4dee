"""Speeds of unequal engines, learnt from the prefills of all fronts."""

import random

import attrs

from benchmarks import _emulator, _loads, _variants
from turmericward import fleet
from turmericward.requests import _engine_speeds, _outcomes
from turmericward.requests import _loads as _target_loads

SPEEDS = (0.6, 1.0, 1.6)
ENGINES = 18
ORDINARY_S = 0.2


def _engine(number: int, role=fleet.EngineRole.DECODE) -> fleet.Target:
    return fleet.Target(
        name=f"e{number}",
        service="model",
        address=f"10.0.0.{number}:80",
        domain="a",
        slots=12,
        role=role,
    )


def _learn(speeds, *, spread: float = 0.3, samples: int = 40):
    """Returns what is known after samples of engines with these speeds, by turns."""
    rng = random.Random(1)
    known = _engine_speeds.EngineSpeeds()
    engines = [_engine(n) for n in range(ENGINES)]
    for engine in engines:
        known.set_role(engine)
    for sample in range(samples):
        for number, engine in enumerate(engines):
            took_s = ORDINARY_S / speeds[number % len(speeds)]
            took_s *= rng.lognormvariate(0.0, spread)
            target = fleet.target_hash(engine.name)
            known.add(target, took_s, ORDINARY_S, 0.1 * sample)
    return known, engines


def _relative(known, engine: fleet.Target) -> float:
    return known.relative(fleet.target_hash(engine.name))


def test_unequal_engines_are_ranked_by_their_speed():
    """Guards against all engines counting as equally fast."""
    known, engines = _learn(SPEEDS)
    assert known.uneven
    slow, ordinary, fast = (_relative(known, engines[n]) for n in range(3))
    assert slow > ordinary > fast
    assert 2.0 < slow / fast < 3.5


def test_equal_engines_are_not_told_apart_by_chance():
    """Guards against a fleet of equal engines that avoids some of them."""
    known, engines = _learn((1.0,))
    assert not known.uneven
    assert {_relative(known, engine) for engine in engines} == {1.0}


def test_roles_have_their_own_ordinary_speed():
    """Guards against prefill engines that make all decode engines look slow."""
    known = _engine_speeds.EngineSpeeds()
    roles = (fleet.EngineRole.PREFILL, fleet.EngineRole.DECODE)
    engines = [_engine(n, roles[n % 2]) for n in range(ENGINES)]
    for sample in range(20):
        for number, engine in enumerate(engines):
            known.set_role(engine)
            took_s = ORDINARY_S * (1 + 3 * (number % 2))
            known.add(fleet.target_hash(engine.name), took_s, ORDINARY_S, 0.1 * sample)
    assert not known.uneven
    assert known.mean(roles[1]) > 3 * known.mean(roles[0])


def test_an_engine_that_changes_its_role_begins_anew():
    """Guards against the speed of the former role."""
    known, engines = _learn(SPEEDS)
    known.set_role(attrs.evolve(engines[0], role=fleet.EngineRole.PREFILL))
    assert _relative(known, engines[0]) == 1.0


def test_counts_of_a_restarted_front_are_no_samples():
    """Guards against negative times when the counts of a peer begin at 0 again."""
    known = _engine_speeds.EngineSpeeds()
    peers = _target_loads.PeerLoads(_outcomes.Outcomes(), known)
    target = fleet.target_hash("e0")
    for prefill_s in (4.0, 8.0, 0.5, 1.0):
        load = _target_loads.TargetLoad(
            ended_calls=int(prefill_s * 2),
            prefill_s=prefill_s,
            ordinary_prefill_s=prefill_s / 2,
        )
        peers.replace("peer", {target: load}, now=1.0)
    assert known.mean(None) == 2.0


def _replay(variant: str):
    """Returns the sums of worth and of short prompts on time over two seeds."""
    load = _loads.load("uneven")
    with _variants.named(variant):
        outcomes = [_emulator.Simulation(load, seed).run() for seed in (0, 1)]
    worth = sum(outcome.worth(load.weights) for outcome in outcomes)
    on_time = sum(outcome.counts["question", "on time"] for outcome in outcomes)
    return worth, on_time


def test_more_is_on_time_if_all_fronts_learn_the_speeds():
    """Replays bursts of long and short prompts at engines of three speeds.

    Guards against short prompts that wait at slow engines beside idle fast ones.
    """
    alone_worth, alone = _replay("speeds learnt alone")
    worth, on_time = _replay("as it is")
    assert worth > alone_worth
    assert on_time > 1.02 * alone
