"""Views built from changes, and the subsets of engines that nodes use."""

import random

from tests import fixtures
from turmericward import configuration, fleet

check = fixtures.check


def _engine(name: str, domain: str = "a") -> fleet.EngineView:
    return fleet.EngineView(
        name=name, domain=domain, address="127.0.0.1:1", role="mixed", priority=0
    )


def _random_resource(rng: random.Random, version: int) -> configuration.Resource:
    kind = rng.choice(("model", "engine", "adapter", "tenant", "service"))
    values = {
        "model": {"version": f"v{version}"},
        "engine": {
            "domain": rng.choice("ab"),
            "address": "127.0.0.1:1",
            "models": rng.sample(["n0", "n1", "n2"], 2),
            "drain": rng.random() < 0.2,
        },
        "adapter": {"model": "n0", "weights": "w"},
        "tenant": {"key_sha256": ["ab" * 32]},
        "service": {"targets": []},
    }
    value = None if rng.random() < 0.3 else values[kind]
    name = f"n{rng.randrange(3)}"
    return configuration.Resource(kind=kind, name=name, version=version, value=value)


def test_changes_give_the_same_view_as_a_full_update():
    for seed in range(100):
        rng = random.Random(seed)
        current = {}
        builder = fleet.ViewBuilder("node", "a", 2)
        for version in range(1, 60):
            res = _random_resource(rng, version)
            current[res.kind, res.name] = res
            builder.update([res], replace_all=False)
        live = [r for r in current.values() if r.value is not None]
        rebuilt = fleet.ViewBuilder("node", "a", 2)
        rebuilt.update(live, replace_all=True)
        incremental, full = builder.view(frozenset(), {}), rebuilt.view(frozenset(), {})
        for model, engines in full.engines_by_model.items():
            names = {e.name for e in incremental.engines_by_model[model]}
            check.assertEqual(names, {e.name for e in engines})
        check.assertEqual(incremental.tenants, full.tenants)
        check.assertEqual(incremental.services, full.services)
        check.assertEqual(incremental.adapters, full.adapters)
        check.assertEqual(builder.specs(), rebuilt.specs())


def _subset(engines, node: str, domain: str) -> tuple[fleet.EngineView, ...]:
    subset = fleet.Subset(node, domain, 32)
    for engine in engines:
        subset.put(engine)
    return subset.chosen()


def test_subsets_prefer_the_domain_and_change_by_one_engine():
    engines = [_engine(f"e{n}", "ab"[n % 2]) for n in range(100)]
    before = _subset(engines, "node", "a")
    check.assertEqual({e.domain for e in before}, {"a"})
    after = _subset([e for e in engines if e != before[0]], "node", "a")
    check.assertEqual(len(set(after) - set(before)), 1)
    check.assertEqual(len(_subset(engines[:5], "node", "b")), 5)


def test_nodes_are_balanced_over_the_engines():
    engines = [_engine(f"e{n}") for n in range(128)]
    used = [_subset(engines, f"node{n}", "a") for n in range(60)]
    counts = [sum(e in chosen for chosen in used) for e in engines]
    check.assertGreater(min(counts), 3)
    check.assertLess(max(counts), 30)
