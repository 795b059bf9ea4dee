"""Bounds of what a front keeps of prompts, whatever their segments are."""

import tracemalloc

from tests import fixtures, test_dispatch
from turmericward import fleet, requests
from turmericward.requests import _cache_index, _prompts

check = fixtures.check
CAPACITY_TOKENS = 391_935
ENGINES = 9
# What the entries may take of the memory of the smallest fronts, which have 160 MB.
MAX_INDEX_BYTES = 32 * 1024 * 1024
MAX_ENTRIES = 32_768


def _targets(count: int = ENGINES) -> list:
    return [test_dispatch._target(f"e{n}") for n in range(count)]


def _index(*args) -> _cache_index.CacheIndex:
    index = _cache_index.CacheIndex(*args)
    index.set_capacity("model", CAPACITY_TOKENS)
    for target in _targets():
        index.set_service(target)
    return index


def _prompt(seed: int, count: int, tokens: int = 4) -> requests.Prompt:
    segments = [
        requests.PromptSegment(id=f"{seed}-{n}", tokens=tokens) for n in range(count)
    ]
    own = requests.PromptSegment(id="own", tokens=250)
    return requests.Prompt(model="m", segments=(*segments, own), output_tokens=8)


def _entries(index: _cache_index.CacheIndex) -> int:
    return sum(map(len, index._caches.values()))


def _fill(index: _cache_index.CacheIndex, prompts: int, parts: int) -> None:
    targets = _targets()
    for seed in range(prompts):
        target = targets[seed % len(targets)]
        index.record_prompt(target, _prompt(seed, parts), ready=True)
        index.pop_unsent()


def test_prompts_of_many_small_segments_filled_the_memory_of_a_front():
    """Guards against a model of caches that is bounded by their tokens alone."""
    tracemalloc.start()
    try:
        index = _index()
        _fill(index, 100, 1_650)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    check.assertLess(peak, MAX_INDEX_BYTES)
    check.assertLessEqual(_entries(index), MAX_ENTRIES)
    check.assertLessEqual(len(index._engines_by_segment), MAX_ENTRIES)


def test_segments_that_peers_report_are_bounded_too():
    index = _index(1_000)
    for target in _targets():
        target_id = fleet.target_hash(target.name)
        for segment in range(1, 500):
            index.apply(
                requests.CacheEntry(
                    target=target_id,
                    segment=segment,
                    tokens=4,
                    own_tokens=3,
                    ready=True,
                )
            )
            check.assertLessEqual(_entries(index), 1_000)


def test_engines_with_the_most_entries_forget_their_oldest_ones():
    index = _index(800)
    few, many = _targets(2)
    usual = _prompt(-1, 3, tokens=3_300)
    index.record_prompt(few, usual, ready=True)
    for seed in range(40):
        index.record_prompt(many, _prompt(seed, 100), ready=True)
    check.assertEqual(index.cached_tokens(few, usual, ready=True), 9_900)
    check.assertEqual(index.engines_caching(usual, [few, many]), [few])
    newest, oldest = _prompt(39, 100), _prompt(0, 100)
    check.assertEqual(index.cached_tokens(many, newest, ready=True), 400)
    check.assertEqual(index.cached_tokens(many, oldest, ready=True), 0)
    check.assertEqual(index.engines_caching(oldest, [few, many]), [])


def test_usual_prompts_forget_nothing():
    index = _index()
    targets = _targets()
    prompts = [_prompt(seed, 3, tokens=1_100) for seed in range(400)]
    for seed, prompt in enumerate(prompts):
        index.record_prompt(targets[seed % ENGINES], prompt, ready=True)
    for seed, prompt in enumerate(prompts):
        cached = index.cached_tokens(targets[seed % ENGINES], prompt, ready=True)
        check.assertEqual(cached, 3_300)


def test_the_level_of_cut_counts_uses_the_whole_total():
    for counts, total, level in (
        ([], 10, 0),
        ([5], 10, 5),
        ([50], 10, 10),
        ([1, 50], 10, 9),
        ([1, 4, 50, 60], 25, 10),
        ([10, 10, 10], 15, 5),
        ([0, 0, 7], 6, 6),
    ):
        check.assertEqual(_cache_index._level(counts, total), level, counts)
        cut = sum(min(count, level) for count in counts)
        check.assertLessEqual(cut, total, counts)


def test_prompts_keep_their_tokens_and_the_segments_at_their_start():
    most = _prompts.MAX_SEGMENTS
    for count in (1, most - 1, most, 1_650):
        whole = _prompt(7, count).segments
        kept = requests.bounded_segments(whole)
        check.assertEqual(len(kept), min(count + 1, most), count)
        check.assertEqual(sum(s.tokens for s in kept), sum(s.tokens for s in whole))
        check.assertEqual(kept[:-1], whole[: len(kept) - 1], count)
    tails = [(*_prompt(7, most).segments, *_prompt(n, 2).segments) for n in (1, 2)]
    first, second = map(requests.bounded_segments, tails)
    check.assertEqual(first[:-1], second[:-1])
    check.assertNotEqual(first[-1], second[-1])
