"""Router task of the entry: holds, drained engines and tenant limits."""

import time
from unittest import mock

import attrs

from tests import fixtures, test_dispatch
from turmericward import (
    configuration,
    dispatching,
    fleet,
    membership,
    requests,
    runtime,
    settings,
)
from turmericward.entry import _router_task

check = fixtures.check
DOCUMENT = {
    "instance": {"name": "a0", "domain": "a", "address": "127.0.0.1"},
    "log": {"address": "127.0.0.1:1"},
    "instance_list": {"address": "127.0.0.1:1"},
    "entry": {"ports": [1]},
    "steward": {"port": 1},
    "operators": [],
}


def _view() -> fleet.View:
    value = {"domain": "a", "address": "127.0.0.1:1", "models": ["m"]}
    rows = [("model", "m", {}), ("engine", "e0", value), ("engine", "e1", value)]
    resources = [
        configuration.Resource(kind=k, name=n, version=1, value=v) for k, n, v in rows
    ]
    builder = fleet.ViewBuilder("a0", "a", 32)
    builder.update(resources, replace_all=True)
    return builder.view(frozenset(), {})


def _task() -> _router_task.RouterTask:
    cfg = settings.loads(fixtures.json.dumps(DOCUMENT))
    return _router_task.RouterTask(cfg, seed=1)


def _demand(text: str) -> requests.Demand:
    return requests.demand_of({"model": "m", "prompt": text}, "t", "patient")


def _place(task, text: str, **changes):
    call = attrs.evolve(
        test_dispatch._call(8.0), prompt=_demand(text), body=text.encode()
    )
    message = dispatching.Place(call=call, service="m", excluded=frozenset())
    return task.handle(attrs.evolve(message, **changes))


def _choose(task, text: str):
    return _place(task, text).unwrap()


def _finish(task, placement) -> None:
    succeeded = requests.Ending.SUCCEEDED
    task.handle(
        dispatching.PlacementEnded(placement=placement, prompt=None, ending=succeeded)
    )


def _set_view(task, holds) -> list[str]:
    message = _router_task.SetView(view=_view(), holds=holds, released=[])
    return task.handle(message)


def test_held_engine_gets_no_requests_and_drains():
    task = _task()
    _set_view(task, [])
    before = [_choose(task, str(n)) for n in range(40)]
    check.assertEqual({a.target.name for a in before}, {"e0", "e1"})
    hold = membership.Hold(engine="e0", hold_id="h", until=time.monotonic() + 60)
    check.assertEqual(_set_view(task, [hold]), [])
    held = [_choose(task, str(n)) for n in range(40)]
    check.assertEqual({a.target.name for a in held}, {"e1"})
    on_e0 = [a for a in before if a.target.name == "e0"]
    for assignment in on_e0[1:]:
        _finish(task, assignment)
    check.assertEqual(_set_view(task, []), [])
    _finish(task, on_e0[0])
    check.assertEqual(_set_view(task, []), ["h"])


def test_tenant_in_flight_limit_is_enforced():
    task = _task()
    tenant = configuration.Tenant(key_sha256=[], max_in_flight=2)
    view = attrs.evolve(_view(), tenants={"t": tenant})
    task.handle(_router_task.SetView(view=view, holds=[], released=[]))
    admit = _router_task.AdmitRequest(tenant="t")
    check.assertEqual([task.handle(admit) for _ in range(3)], [True, True, False])
    task.handle(_router_task.ReleaseRequest(tenant="t"))
    check.assertTrue(task.handle(admit))


def test_a_prompt_under_which_engines_crashed_is_refused_others_are_not():
    task = _task()
    _set_view(task, [])
    now = time.monotonic()
    for _ in range(3):
        # An engine that has started again has the same name.
        now += 5.0
        placement = _choose(task, "deadly")
        for late_s in (0.0, 0.1):
            message = dispatching.PlacementEnded(
                placement=placement,
                prompt=_demand("deadly"),
                ending=requests.Ending.CRASHED,
            )
            with mock.patch.object(runtime, "now", lambda at=now + late_s: at):
                task.handle(message)
        _finish(task, _choose(task, "sound"))
    with mock.patch.object(runtime, "now", lambda: now + 1.0):
        check.assertEqual(_place(task, "deadly").unwrap_err().reason, "quarantined")
        check.assertTrue(_place(task, "sound").is_ok())


def test_an_entry_counted_crashes_however_old_they_were():
    task = _task()
    _set_view(task, [])
    now = time.monotonic()
    for _ in range(3):
        now += 400.0
        message = dispatching.PlacementEnded(
            placement=_choose(task, "unlucky"),
            prompt=_demand("unlucky"),
            ending=requests.Ending.CRASHED,
        )
        with mock.patch.object(runtime, "now", lambda at=now: at):
            task.run_periodic()
            task.handle(message)
    check.assertTrue(_place(task, "unlucky").is_ok())


def test_second_attempts_beside_a_silent_engine_leave_retries_to_lost_calls():
    task = _task()
    _set_view(task, [])
    silent = dispatching.SilentTarget(name="e0", silent_s=1.0)
    both = frozenset({"e0", "e1"})
    # Without a target they cost nothing.
    for _ in range(20):
        refused = _place(task, "x", retry=True, silent=silent, excluded=both)
        check.assertEqual(refused.unwrap_err().reason, "no_engine")
    seconds = [_place(task, "x", retry=True, silent=silent) for _ in range(20)]
    check.assertEqual(sum(chosen.is_ok() for chosen in seconds), 5)
    check.assertEqual(seconds[-1].unwrap_err().reason, "retry_reserve")
    dark = attrs.evolve(silent, silent_s=2.0)
    check.assertTrue(_place(task, "x", retry=True, silent=dark).is_ok())
    check.assertTrue(_place(task, "x", retry=True).is_ok())
