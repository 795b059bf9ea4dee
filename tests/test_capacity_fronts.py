"""Capacity orders of a front as a process, before a stand-in of the platform's API."""

import json
import time

from standins import launch
from tests import duty_fixtures, fixtures, platform_fixtures

check = fixtures.check
# The lease is free at first; then a new holder waits for the boot time.
ORDER_TIMEOUT_S = 25.0
SCALING = {
    "min": 1,
    "max": 6,
    "boot_s": 0.5,
    "spot_price": 0.22,
    "domain_prices": {"a": 1.0},
}


def _announce(deployment, name: str, spot: bool = False, state="in_service") -> None:
    _, plain = deployment.store.newest("keyed.servers")["p1"]
    entry = json.loads(plain) | {"service": "model", "stage": "decode"}
    entry |= {"spot": spot, "state": state}
    deployment.store.put("keyed.servers", name, json.dumps(entry).encode())


def _configure(deployment) -> None:
    """Publishes a configuration by which one of the services can be scaled."""
    tenants = [{"name": n, "api_keys": [k]} for n, k in duty_fixtures.KEYS.items()]
    manifest = platform_fixtures.manifest(4) | {"workspaces": tenants}
    manifest["services"] = [{"name": "plain"}, {"name": "model", "scaling": SCALING}]
    deployment.store.put("keyed.op", "config", json.dumps(manifest).encode())


def _orders(deployment) -> list[dict]:
    return [json.loads(c.body) for c in deployment.api.calls if c.path == "/scale"]


def _wait_for(deployment, count: int) -> list[dict]:
    launch.wait_until(
        lambda: len(_orders(deployment)) >= count, ORDER_TIMEOUT_S, f"{count} orders"
    )
    return _orders(deployment)


def test_spot_replicas_are_ordered_and_others_given_back_when_they_serve():
    """Guards against fields, order or timing that the platform doesn't expect."""
    with duty_fixtures.deployment(kinds=["capacity"]) as deployment:
        for name in ("m1", "m2"):
            _announce(deployment, name)
        _configure(deployment)
        (first,) = _wait_for(deployment, 1)
        check.assertEqual(
            first, {"service": "model", "domain": "a", "desired": 1, "spot": True}
        )
        time.sleep(2)
        check.assertEqual(len(_orders(deployment)), 1)
        _announce(deployment, "s1", spot=True)
        (_, second) = _wait_for(deployment, 2)
        check.assertEqual(
            second, {"service": "model", "domain": "a", "desired": 1, "spot": False}
        )
        _announce(deployment, "m2", state="draining")
        time.sleep(2)
        check.assertEqual(len(_orders(deployment)), 2)
        check.assertEqual(deployment.api.violations(), [])
        log = deployment.fronts[0].log.read_text()
        for field in ('"message": "capacity_order"', '"load_age_s"', '"token"'):
            check.assertIn(field, log)


def test_the_next_holder_goes_on_when_one_dies_between_order_and_effect():
    """Guards against a successor that orders anew or forgets the rest of a swap."""
    with duty_fixtures.deployment(("a", "b"), kinds=["capacity"]) as deployment:
        for name in ("m1", "m2"):
            _announce(deployment, name)
        _configure(deployment)
        _wait_for(deployment, 1)
        deployment.holder().kill()
        _announce(deployment, "s1", spot=True)
        orders = _wait_for(deployment, 2)
        check.assertEqual(
            [(o["domain"], o["desired"], o["spot"]) for o in orders],
            [("a", 1, True), ("a", 1, False)],
        )
        holders = {c.holder for c in deployment.api.calls}
        check.assertEqual(len(holders), 2)
        check.assertEqual(deployment.api.violations(), [])


def test_without_the_kind_in_the_settings_nothing_is_ordered():
    """Guards against orders where another duty alone is asked for."""
    with duty_fixtures.deployment(kinds=["usage"]) as deployment:
        for name in ("m1", "m2"):
            _announce(deployment, name)
        _configure(deployment)
        deployment.holder()
        time.sleep(4)
        check.assertEqual(_orders(deployment), [])
        check.assertNotIn("capacity", deployment.fronts[0].log.read_text())
