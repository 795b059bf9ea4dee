"""Placement of prompts: unit tests, and load patterns replayed in virtual time."""

import collections
from unittest import mock

from benchmarks import prompt_model
from tests import fixtures
from turmericward import fleet, requests
from turmericward.requests import _in_flight, _loads

check = fixtures.check
SEEDS = range(3)
DEADLINES = requests.Deadlines(soft_deadline_s=0.8, hard_deadline_s=3.2)


def _long(subject: str = "s", own: str = "o") -> requests.Prompt:
    segments = (
        requests.PromptSegment(id=subject, tokens=13_000),
        requests.PromptSegment(id=own, tokens=4_000),
    )
    return requests.Prompt(model="m", segments=segments, output_tokens=100)


def _short() -> requests.Prompt:
    segments = (requests.PromptSegment(id="q", tokens=300),)
    return requests.Prompt(model="m", segments=segments, output_tokens=40)


def _placer() -> requests.Placer:
    placer = requests.Placer(1, "a")
    placer.cache_index.set_capacity("model", 500_000)
    return placer


def _prefilled(placer, prompt, targets, now: float = 0.0) -> requests.Placement:
    placement = placer.choose_engine(prompt, targets, DEADLINES, now).unwrap()
    placer.record_first_output(placement, prompt, 0.3, now)
    placer.ended(placement, requests.Ending.SUCCEEDED, now)
    return placement


def _replay(load: str, **options) -> list[prompt_model.Result]:
    found = prompt_model.LOADS[load]
    return [prompt_model.Model(found, seed, **options).run() for seed in SEEDS]


def _mean(results, kind: str) -> float:
    return sum(result.share(kind) for result in results) / len(results)


def test_short_prompts_overflow_from_decode_to_idle_prefill_engines():
    targets = prompt_model.targets(2, 2)
    placer = _placer()
    roles = [
        placer.choose_engine(_short(), targets, DEADLINES, 0.0).unwrap().target.role
        for _ in range(100)
    ]
    check.assertIs(roles[0], fleet.EngineRole.DECODE)
    # Idle prefill engines take the share of a burst that exceeds the decode capacity.
    check.assertGreater(roles[50:].count(fleet.EngineRole.PREFILL), 20)


def test_long_prompts_are_balanced_over_prefill_engines():
    placer = _placer()
    targets = prompt_model.targets(3, 3)
    names = [
        placer.choose_engine(_long(f"s{n}"), targets, DEADLINES, 0.0)
        .unwrap()
        .target.name
        for n in range(3)
    ]
    check.assertEqual(len(set(names)), 3)


def test_engines_loaded_by_peers_are_avoided():
    targets = prompt_model.targets(2, 1)
    placer, peer = _placer(), _placer()
    peer_choice = peer.choose_engine(_long("s1"), targets, DEADLINES, 0.0).unwrap()
    placer.peers.replace("peer", peer.local_loads(), 0.0)
    choice = placer.choose_engine(_long("s2"), targets, DEADLINES, 0.0).unwrap()
    check.assertNotEqual(choice.target, peer_choice.target)
    check.assertEqual(placer.peers.expire(10.0), ["peer"])


def test_shared_segments_are_prefilled_once():
    placer = _placer()
    targets = prompt_model.targets(2, 2)
    first = _prefilled(placer, _long(), targets)
    again = _prefilled(placer, _long(own="p"), targets)
    check.assertEqual(again.target, first.target)
    check.assertLess(again.uncached_tokens, first.uncached_tokens / 2)


def test_without_decode_engines_no_prompt_is_placed():
    targets = prompt_model.targets(2, 0)
    check.assertIsNone(_placer().choose_engine(_long(), targets, DEADLINES, 0.0))


def test_kv_cache_is_fetched_from_a_busy_engine():
    placer = _placer()
    targets = prompt_model.targets(2, 1)
    source = _prefilled(placer, _long(), targets).target
    for n in range(20):
        placement = placer.choose_engine(_long(own=f"p{n}"), targets, DEADLINES, 0.0)
        if placement.unwrap().target != source:
            break
    check.assertEqual(placement.unwrap().fetch_from, source.address)


def test_calls_that_would_be_late_are_deferred():
    placer = _placer()
    targets = prompt_model.targets(1, 1)
    placements = []
    while True:
        chosen = placer.choose_engine(
            _long(f"s{len(placements)}"), targets, DEADLINES, 0.0
        )
        if chosen.is_err():
            break
        placements.append(chosen.unwrap())
    deferred = [p.deferred for p in placements]
    check.assertEqual(deferred, sorted(deferred))
    check.assertTrue(deferred[-1])
    check.assertFalse(deferred[0])
    check.assertGreater(chosen.unwrap_err().retry_after_s, 0)


def test_a_retried_call_past_its_objective_is_deferred():
    deadlines = requests.Deadlines(soft_deadline_s=-1.0, hard_deadline_s=3.2)
    targets = prompt_model.targets(2, 2)
    placement = _placer().choose_engine(_long(), targets, deadlines, 0.0).unwrap()
    check.assertTrue(placement.deferred)


def test_load_reports_keep_calls_on_time_when_the_traffic_mix_swings():
    reported = _replay("swing")
    unreported = _replay("swing", publish_loads=False)
    check.assertGreater(_mean(reported, "long"), _mean(unreported, "long") + 0.25)
    check.assertGreater(_mean(reported, "short"), 0.95)
    reprefilled = [
        sum(r.reprefilled_tokens for r in results) for results in (reported, unreported)
    ]
    check.assertLess(reprefilled[0], reprefilled[1])


def test_bursts_of_short_prompts_are_on_time():
    results = _replay("short burst")
    check.assertGreater(_mean(results, "short"), 0.95)


def test_ranking_by_size_keeps_more_calls_on_time_under_overload():
    by_size = _replay("mixed sizes")
    with mock.patch.object(_in_flight, "RANK_THRESHOLDS_TOKENS", ()):
        in_order = _replay("mixed sizes")
    check.assertGreater(_mean(by_size, "long"), _mean(in_order, "long"))
    check.assertGreater(_mean(by_size, "short"), 0.99)


def test_queue_delay_includes_a_running_deferred_prefill():
    included = _replay("mixed sizes")
    with mock.patch.object(_loads, "RUNNING_PREFILL_TOKENS", 0.0):
        ignored = _replay("mixed sizes")
    check.assertGreater(_mean(included, "short"), 0.99)
    check.assertGreater(_mean(included, "short"), _mean(ignored, "short") + 0.01)


def test_decode_prefers_the_engine_with_the_cached_segment_until_it_is_busy():
    targets = prompt_model.targets(1, 2)
    placer = _placer()
    caching = targets[2]
    placer.cache_index.record_listing(caching, _long().shared_segments)
    chosen = [
        placer.choose_decode_engine(_long(), "", targets, DEADLINES, 0.0)
        for _ in range(60)
    ]
    check.assertTrue(all(p.target == caching for p in chosen[:20]))
    check.assertTrue(any(p.target != caching for p in chosen[20:]))


def test_decode_stays_in_the_prefill_domain_until_it_is_busy():
    targets = prompt_model.targets(1, 5)
    placer = _placer()
    for domain in "abc":
        first = placer.choose_decode_engine(_long(), domain, targets, DEADLINES, 0.0)
        check.assertEqual(first.target.domain, domain)
    chosen = [
        placer.choose_decode_engine(_long(), "b", targets, DEADLINES, 0.0)
        for _ in range(60)
    ]
    check.assertEqual({p.target.domain for p in chosen}, {"a", "b", "c"})


def test_kv_cache_is_fetched_within_the_domain_if_possible():
    engines = prompt_model.targets(6, 0)
    target = engines[4]
    placer = _placer()
    for source in engines[:4]:
        placer.cache_index.record_listing(source, _long().shared_segments)
    sources = placer._costs._fetch_sources(_long(), engines)
    check.assertEqual(sources[target.domain].domain, target.domain)


def test_steady_load_is_on_time():
    results = _replay("steady")
    check.assertGreater(_mean(results, "long"), 0.85)
    check.assertGreater(_mean(results, "short"), 0.99)


def test_short_prompts_stay_on_time_when_long_ones_overload():
    check.assertGreater(_mean(_replay("overload"), "short"), 0.85)


def _replay_replicas(seconds: range, slow_s: float, placer) -> dict[str, int]:
    """Replays ten overlapping calls a second; returns the number at each replica."""
    replicas = [
        fleet.Target(name=n, service="s", address="10.0.0.1:1", domain="a", slots=6)
        for n in ("slow", "fast")
    ]
    counts = {"slow": 0, "fast": 0}
    running = []
    for tenth in range(10 * seconds.start, 10 * seconds.stop):
        now = tenth / 10
        placement = placer.choose_replica(replicas, now)
        name = placement.target.name
        counts[name] += 1
        running.append((now + (slow_s if name == "slow" else 0.15), placement))
        for done in [r for r in running if r[0] <= now]:
            running.remove(done)
            took_s = slow_s if done[1].target.name == "slow" else 0.15
            placer.record_first_output(done[1], None, took_s, now)
            placer.ended(done[1], requests.Ending.SUCCEEDED, now)
    return counts


def test_a_slow_replica_gets_fewer_calls_until_it_recovers():
    placer = _placer()
    slow = _replay_replicas(range(20), 0.75, placer)
    check.assertGreater(slow["fast"], 2 * slow["slow"])
    check.assertGreater(slow["slow"], 0)
    recovered = _replay_replicas(range(30, 50), 0.15, placer)
    check.assertGreater(recovered["slow"], 60)


def test_a_restarted_target_has_an_empty_cache():
    placer = _placer()
    targets = prompt_model.targets(1, 1)
    first = _prefilled(placer, _long(), targets)
    placer.forget(first.target.name)
    again = _prefilled(placer, _long(own="p"), targets)
    check.assertEqual(again.uncached_tokens, first.uncached_tokens)


def test_entries_from_peers_count_against_the_capacity_once_it_is_known():
    (engine,) = prompt_model.targets(0, 1)
    entries = [
        requests.CacheEntry(
            target=fleet.target_hash(engine.name),
            segment=requests.segment_number("m", subject),
            tokens=13_000,
            own_tokens=4_000,
            ready=True,
        )
        for subject in ("first", "second", "third")
    ]
    placer = requests.Placer(1, "a")
    for entry in entries:
        placer.cache_index.apply(entry)
    placer.cache_index.set_capacity("model", 40_000)
    placer.cache_index.set_service(engine)
    first = placer.choose_engine(_long("first"), [engine], DEADLINES, 0.0).unwrap()
    check.assertGreater(first.uncached_tokens, 17_000)


def test_cached_segments_reported_by_an_engine_are_used_and_sent_to_peers():
    targets = prompt_model.targets(2, 2)
    placer = _placer()
    segments = [(requests.segment_number("m", f"s{n}"), 13_000) for n in range(3)]
    placer.cache_index.record_listing(targets[1], segments)
    check.assertEqual(len(placer.cache_index.pop_unsent()), 3)
    placement = placer.choose_engine(_long("s2"), targets, DEADLINES, 0.0).unwrap()
    check.assertEqual(placement.target, targets[1])
    check.assertLess(placement.uncached_tokens, 13_000)


def test_a_cached_segment_is_reused_only_after_the_same_segments():
    (engine,) = prompt_model.targets(0, 1)
    rules, manual, own = (
        requests.PromptSegment(id=name, tokens=4_000) for name in ("r", "m", "o")
    )
    first = requests.Prompt(model="m", segments=(rules, manual, own), output_tokens=10)
    for segments, cached in (
        ((rules, manual, own), 8_000),
        ((rules, own, own), 4_000),
        ((manual, rules, own), 8_000),
        ((own, rules, own), 0),
    ):
        placer = _placer()
        _prefilled(placer, first, [engine])
        prompt = requests.Prompt(model="m", segments=segments, output_tokens=10)
        placement = placer.choose_engine(prompt, [engine], DEADLINES, 0.0).unwrap()
        missing = 12_000 - cached
        check.assertGreaterEqual(placement.uncached_tokens, missing)
        check.assertLess(placement.uncached_tokens, 1.5 * missing, segments)


def test_an_engine_that_refuses_is_in_backoff():
    placer = _placer()
    targets = prompt_model.targets(0, 3)
    refusing = placer.choose_engine(_short(), targets, DEADLINES, 0.0).unwrap()
    placer.ended(refusing, requests.Ending.REFUSED, 0.0)
    names = []
    for n in range(20):
        placement = placer.choose_engine(
            _short(), targets, DEADLINES, 0.001 * n
        ).unwrap()
        names.append(placement.target.name)
    check.assertNotIn(refusing.target.name, names)
    later = [
        placer.choose_engine(_short(), targets, DEADLINES, 5.0).unwrap().target.name
        for _ in range(20)
    ]
    check.assertIn(refusing.target.name, later)


def test_a_failed_connection_ejects_a_target_immediately():
    placer = _placer()
    targets = prompt_model.targets(0, 2)
    lost = placer.choose_engine(_short(), targets, DEADLINES, 0.0).unwrap()
    placer.ended(lost, requests.Ending.UNREACHED, 0.0)
    names = {
        placer.choose_engine(_short(), targets, DEADLINES, 0.1).unwrap().target.name
        for _ in range(10)
    }
    check.assertNotIn(lost.target.name, names)


def test_a_new_replica_beside_a_fast_one_gets_calls():
    placer = _placer()
    old = fleet.Target(
        name="old", service="s", address="10.0.0.1:1", domain="a", slots=4
    )
    new = fleet.Target(
        name="new", service="s", address="10.0.0.2:1", domain="a", slots=4
    )
    for n in range(200):
        placement = placer.choose_replica([old], 0.1 * n)
        placer.record_first_output(placement, None, 0.005, 0.1 * n)
        placer.ended(placement, requests.Ending.SUCCEEDED, 0.1 * n)
    chosen = []
    for _ in range(20):
        placement = placer.choose_replica([old, new], 20.0)
        placer.ended(placement, requests.Ending.SUCCEEDED, 20.0)
        chosen.append(placement.target.name)
    check.assertIn("new", chosen)


def _first_placements(fronts: int, reported: int) -> collections.Counter:
    """Has fronts that see idle engines place a long prompt each; counts by engine."""
    targets = prompt_model.targets(10, 10)
    counts = collections.Counter()
    for seed in range(fronts):
        placer = requests.Placer(seed, "a")
        placer.peers.replace("relay", {}, 0.0, reported)
        prompt = _long(subject=f"s{seed}")
        counts[
            placer.choose_engine(prompt, targets, DEADLINES, 0.0).unwrap().target.name
        ] += 1
    return counts


def test_many_fronts_with_the_same_view_choose_different_engines():
    # Guards against the collision of fronts that see the same idle engine: nine of
    # them sent a prompt each to one engine within 160 ms.
    counts = _first_placements(fronts=40, reported=69)
    check.assertLess(max(counts.values()), 15)
    check.assertGreaterEqual(len(counts), 5)


def test_few_fronts_choose_the_cheapest_engine():
    check.assertEqual(len(_first_placements(fronts=10, reported=6)), 1)


def _place_beside_busy_engine(capacity_tokens: int) -> requests.Placement:
    """Places a prompt whose shared segment is cached on a busy engine."""
    targets = prompt_model.targets(2, 1)
    placer = requests.Placer(1, "a")
    placer.cache_index.set_capacity("model", capacity_tokens)
    for target in targets:
        placer.cache_index.set_service(target)
    source, *others = targets
    segment = _long().shared_segments[0][0]
    for target, number in ((source, segment), *((t, 99) for t in others)):
        entry = requests.CacheEntry(
            target=fleet.target_hash(target.name),
            segment=number,
            tokens=13_000,
            own_tokens=0,
            ready=True,
        )
        placer.cache_index.apply(entry)
    busy = requests.TargetLoad(urgent_tokens=28_000.0, open_calls=3)
    placer.peers.replace("peer", {fleet.target_hash(source.name): busy}, 0.0)
    return placer.choose_engine(_long(), targets, DEADLINES, 0.0).unwrap()


def test_a_shared_segment_is_copied_to_an_engine_with_free_cache():
    placement = _place_beside_busy_engine(capacity_tokens=500_000)
    check.assertEqual(placement.target.name, "e1")
    check.assertTrue(placement.fetch_from)
    check.assertLess(placement.uncached_tokens, 13_000)


def test_a_shared_segment_is_not_copied_if_it_would_evict_others():
    placement = _place_beside_busy_engine(capacity_tokens=18_000)
    check.assertEqual((placement.target.name, placement.fetch_from), ("e0", ""))


def _eject(placer, targets) -> None:
    for target in targets:
        for _ in range(3):
            placer.health.failed(target.name, 0.0)


def test_no_prompt_is_placed_while_every_decode_engine_is_ejected():
    for prefill, decode in ((2, 2), (20, 20)):
        targets = tuple(prompt_model.targets(prefill, decode))
        placer = _placer()
        _eject(placer, targets[prefill:])
        check.assertIsNone(placer.choose_engine(_long(), targets, DEADLINES, 0.1))


def test_a_prefilled_prompt_is_decoded_by_an_ejected_engine_if_all_are_ejected():
    for prefill, decode in ((2, 2), (20, 20)):
        targets = tuple(prompt_model.targets(prefill, decode))
        placer = _placer()
        _eject(placer, targets[prefill:])
        placement = placer.choose_decode_engine(_long(), "a", targets, DEADLINES, 0.1)
        check.assertIs(placement.target.role, fleet.EngineRole.DECODE)


def test_without_engines_nothing_is_placed():
    check.assertIsNone(_placer().choose_engine(_long(), (), DEADLINES, 0.0))
    check.assertIsNone(_placer().choose_decode_engine(_long(), "a", (), DEADLINES, 0.0))


def test_one_slow_first_reply_does_not_exclude_a_replica():
    placer = _placer()
    replicas = [
        fleet.Target(name=n, service="s", address="10.0.0.1:1", domain="a", slots=8)
        for n in ("one", "two")
    ]
    counts = collections.Counter()
    for n in range(300):
        now = 0.1 * n
        placement = placer.choose_replica(replicas, now)
        name = placement.target.name
        counts[name] += 1
        # The first call to a new process is slower.
        took_s = 0.03 if counts[name] == 1 and name == "two" else 0.005
        placer.record_first_output(placement, None, took_s, now)
        placer.ended(placement, requests.Ending.SUCCEEDED, now)
    check.assertGreater(counts["two"], 30)
