"""The shortlist bounds the evaluated engines, at nearly the cost of a full search."""

import random
from unittest import mock

from tests import fixtures
from turmericward import fleet, requests
from turmericward.requests import _placement, _shortlist

check = fixtures.check
DEADLINES = requests.Deadlines(soft_deadline_s=0.8, hard_deadline_s=3.2)
DOMAINS = "abcde"


def _engines(count: int) -> tuple[fleet.Target, ...]:
    return tuple(
        fleet.Target(
            name=f"e{n}",
            service="model",
            address=f"10.0.{n // 250}.{n % 250}:1",
            domain=DOMAINS[n % 5],
            slots=16,
            role=fleet.EngineRole.DECODE if n % 3 else fleet.EngineRole.PREFILL,
        )
        for n in range(count)
    )


def _prompt(n: int, tokens: int) -> requests.Prompt:
    own = requests.PromptSegment(id=f"o{n}", tokens=tokens)
    if tokens < requests.SHORT_PROMPT_TOKENS:
        return requests.Prompt(model="m", segments=(own,), output_tokens=20)
    shared = requests.PromptSegment(id=f"s{n % 300}", tokens=13_000)
    return requests.Prompt(model="m", segments=(shared, own), output_tokens=20)


def _placer(engines, seed: int) -> requests.Placer:
    """Returns a placer with peers' loads and cached segments of the engines."""
    rng = random.Random(seed)
    placer = requests.Placer(seed, "a")
    placer.cache_index.set_capacity("model", 450_000)
    loads = {}
    for engine in engines:
        placer.cache_index.set_service(engine)
        number = fleet.target_hash(engine.name)
        loads[number] = requests.TargetLoad(
            urgent_tokens=rng.choice((0.0, 20_000.0)) * rng.random(),
            open_calls=rng.randrange(12),
        )
        for _ in range(5):
            segment = requests.segment_number("m", f"s{rng.randrange(300)}")
            placer.cache_index.apply(
                requests.CacheEntry(
                    target=number,
                    segment=segment,
                    tokens=13_000,
                    own_tokens=0,
                    ready=True,
                )
            )
    placer.peers.replace("relay", loads, 0.0, 20)
    return placer


def _cost(placer, prompt, engines) -> float:
    placement = placer.choose_engine(prompt, engines, DEADLINES, 1.0).unwrap()
    placer.ended(placement, requests.Ending.SUCCEEDED, 1.0)
    return placement.cost_s


# Disables randomized tie-breaking, so that both searches take the cheapest engine.
@mock.patch.object(_placement, "MIN_PEERS_TO_RANDOMIZE", 1_000)
def test_a_shortlisted_choice_costs_nearly_as_little_as_a_full_search():
    engines = _engines(200)
    extra_s = []
    for n in range(60):
        for tokens in (300, 4_000):
            prompt = _prompt(n, tokens)
            shortlisted = _cost(_placer(engines, n), prompt, engines)
            with mock.patch.object(_shortlist, "MAX_UNFILTERED_ENGINES", 1_000):
                full = _cost(_placer(engines, n), prompt, engines)
            extra_s.append(shortlisted - full)
    check.assertLess(sum(extra_s) / len(extra_s), 0.002)
    check.assertLess(max(extra_s), 0.05)


def test_the_number_of_evaluated_engines_does_not_grow_with_the_fleet():
    evaluated = {}
    for count in (100, 400):
        engines = _engines(count)
        placer = _placer(engines, 1)
        _cost(placer, _prompt(0, 300), engines)
        costs = placer._costs
        with mock.patch.object(
            costs, "_prefill_placement", side_effect=costs._prefill_placement
        ) as evaluate:
            for n in range(1, 6):
                _cost(placer, _prompt(n, 300), engines)
        evaluated[count] = evaluate.call_count / 5
    max_evaluated = 4 * (
        _shortlist.CANDIDATES_PER_ROLE + _shortlist.LOCAL_CANDIDATES_PER_ROLE
    )
    check.assertLessEqual(evaluated[400], max_evaluated)
    check.assertLessEqual(evaluated[400], evaluated[100] + 2)


def test_engines_that_cache_the_prompt_are_candidates_even_if_busy():
    engines = _engines(200)
    placer = _placer(engines, 1)
    engine = engines[77]
    number = fleet.target_hash(engine.name)
    segment = requests.segment_number("m", "rare")
    entry = requests.CacheEntry(
        target=number, segment=segment, tokens=13_000, own_tokens=0, ready=True
    )
    placer.cache_index.apply(entry)
    segments = (
        requests.PromptSegment(id="rare", tokens=13_000),
        requests.PromptSegment(id="own", tokens=2_000),
    )
    prompt = requests.Prompt(model="m", segments=segments, output_tokens=20)
    check.assertEqual(placer.cache_index.engines_caching(prompt, engines), [engine])
    chosen = placer.choose_engine(prompt, engines, DEADLINES, 1.0).unwrap()
    check.assertIn(engine.address, (chosen.target.address, chosen.fetch_from))


def test_an_evicted_segment_leaves_the_index():
    engines = _engines(30)
    placer = _placer(engines, 1)
    segment = requests.segment_number("m", "rare")
    number = fleet.target_hash(engines[3].name)
    placer.cache_index.apply(
        requests.CacheEntry(
            target=number, segment=segment, tokens=13_000, own_tokens=0, ready=True
        )
    )
    placer.cache_index.apply(
        requests.CacheEntry(
            target=number, segment=0, tokens=0, own_tokens=400_000, ready=True
        )
    )
    segments = (
        requests.PromptSegment(id="rare", tokens=13_000),
        requests.PromptSegment(id="own", tokens=2_000),
    )
    prompt = requests.Prompt(model="m", segments=segments, output_tokens=20)
    check.assertEqual(placer.cache_index.engines_caching(prompt, engines), [])


def test_engines_beyond_the_shortlist_are_used_if_it_refuses():
    engines = _engines(60)
    placer = _placer(engines, 1)
    refused = set()
    for n in range(40):
        placement = placer.choose_engine(_prompt(n, 300), engines, DEADLINES, 1.0)
        target = placement.unwrap().target
        check.assertNotIn(target.name, refused)
        refused.add(target.name)
        placer.ended(placement.unwrap(), requests.Ending.REFUSED, 1.0)
