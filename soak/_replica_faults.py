"""Faults of replicas; each heals what it has broken."""

import contextlib
import time

import attrs

from soak import _deadly, _evidence, _faults, _fleet, _scene
from standins import platform_replica

SILENCE_MIN_S, SILENCE_MAX_S = 0.3, 4.0
SILENCE_GAP_MAX_S = 2.0
SILENCES_MAX = 2
# A replica that leaves works on its calls for at least this long before it ends.
LAST_WORK_S = 8.0
LIES = (
    "extra",
    "unframed",
    "error",
    "torn",
    "reset",
    "foreign",
    "unsigned",
    "foreign refusal",
    "full",
    "cut",
    "hang",
)
BREAKS = (platform_replica.LATE_RESET, platform_replica.NO_STATUS)
DISCLAIMERS = tuple(platform_replica.DISCLAIMERS)
# How long a replica answers in halves before it is cut off, how long it is down then,
# and how far the list of replicas is behind.
HALVES_MIN_S = 1.0
DOWN_MIN_S, DOWN_MAX_S = 1.5, 4.0
LIST_LAG_MAX_S = 2.0


@contextlib.contextmanager
def _free_replicas(scene: _scene.Scene, names: list[str]):
    """Yields the replicas among these that no other fault works on."""
    free = [name for name in names if name not in scene.fleet.away]
    scene.fleet.away.update(free)
    try:
        yield free
    finally:
        scene.fleet.away.difference_update(free)


def _one(scene: _scene.Scene) -> list[str]:
    return [scene.rng.choice(list(_fleet.REPLICAS))]


@contextlib.contextmanager
def _free_replica(scene: _scene.Scene):
    """Yields the name of a replica for one fault alone, None if another works on it."""
    with _free_replicas(scene, _one(scene)) as names:
        yield names[0] if names else None


def _domain(scene: _scene.Scene) -> list[str]:
    domain = _fleet.replica_domain(*_one(scene))
    return [n for n in _fleet.REPLICAS if _fleet.replica_domain(n) == domain]


def _all(scene: _scene.Scene) -> list[str]:
    del scene
    return list(_fleet.REPLICAS)


def _nothing(scene: _scene.Scene) -> None:
    del scene


@_scene.fault(_scene.PLANNED)
def silence(scene: _scene.Scene) -> None:
    """Sound replicas are silent now and then: one, those of a domain, or all."""
    extent = scene.rng.choice((_one, _domain, _all))
    beside = scene.rng.choice((_nothing, _faults.configure, _faults.stop))
    with _free_replicas(scene, extent(scene)) as names:
        if not names:
            return
        scene.evidence.count_fault(f"silence{extent.__name__}")
        thread = _scene.start(beside, attrs.evolve(scene, name=beside.__name__))
        for _ in range(scene.rng.randint(1, SILENCES_MAX)):
            scene.fleet.silence(names, scene.rng.uniform(SILENCE_MIN_S, SILENCE_MAX_S))
            time.sleep(scene.rng.uniform(0, SILENCE_GAP_MAX_S))
    thread.join()


@_scene.fault(_scene.PLANNED)
def leave(scene: _scene.Scene) -> None:
    """A replica drains, is removed, and returns as a new incarnation."""
    with _free_replica(scene) as name:
        if name is None:
            return
        scene.evidence.count_fault(scene.name)
        scene.fleet.announce(name, draining=True)
        began = time.monotonic()
        time.sleep(scene.evidence.leaving_s + LAST_WORK_S)
        scene.evidence.leaving.append(
            _evidence.Leaving(replica=name, began=began, ended=time.monotonic())
        )
        scene.fleet.announce(name)


def _on_replica(scene: _scene.Scene, set_in, heal) -> None:
    with _free_replica(scene) as name:
        if name is not None:
            scene.evidence.count_fault(scene.name)
            scene.trouble(name, lambda: set_in(name), lambda: heal(name))


@_scene.fault(_scene.UNPLANNED)
def crash_replica(scene: _scene.Scene) -> None:
    """A replica ends with its connections and starts again."""
    _on_replica(scene, scene.fleet.crash_replica, scene.fleet.restart_replica)


@_scene.fault(_scene.UNPLANNED)
def deadly_request(scene: _scene.Scene) -> None:
    """A request crashes each replica that begins it, and is sent again and again."""
    kind = scene.rng.choice(_deadly.KINDS)
    service = next(service for name, _, service, _ in _fleet.ROUTES if name == kind[0])
    names = [name for name, (of, _) in _fleet.REPLICAS.items() if of == service]
    with _free_replicas(scene, names) as free:
        if free == names:
            scene.evidence.count_fault(scene.name)
            _deadly.DeadlyRequest(scene.fleet, scene.rng, kind, names).play()


@_scene.fault(_scene.UNPLANNED)
def lie(scene: _scene.Scene) -> None:
    """A replica gives wrong, broken or foreign answers."""
    lie_name = scene.rng.choice(LIES)

    def set_fault(name: str, value: str) -> None:
        scene.fleet.replicas[name].fault = value

    _on_replica(
        scene, lambda name: set_fault(name, lie_name), lambda name: set_fault(name, "")
    )


@_scene.fault(_scene.UNPLANNED)
def break_off(scene: _scene.Scene) -> None:
    """Replicas of a service give parts of answers, or numbers that are no status."""
    fault = scene.rng.choice(BREAKS)
    _spoil_service(scene, fault, scene.rng.choice((_fleet.PLAIN, _fleet.MODEL)))


@_scene.fault(_scene.UNPLANNED)
def restart_behind_cut(scene: _scene.Scene) -> None:
    """A replica crashes in its answers behind a cut, and is back when that heals.

    The list of replicas has its new incarnation some time later.
    """
    names = [name for name, (of, _) in _fleet.REPLICAS.items() if of == _fleet.PLAIN]
    with _free_replicas(scene, [scene.rng.choice(names)]) as free:
        if not free:
            return
        (name,) = free
        scene.evidence.count_fault(scene.name)
        with scene.disrupted(name):
            _restart_behind_cut(scene, name)


def _restart_behind_cut(scene: _scene.Scene, name: str) -> None:
    fleet, replica = scene.fleet, scene.fleet.replicas[name]
    replica.fault = platform_replica.HALVES
    time.sleep(scene.rng.uniform(HALVES_MIN_S, platform_replica.HALVES_PAUSE_S))
    fleet.links[name].set_mode("hang")
    fleet.end_replica(name)
    replica.fault = ""
    time.sleep(scene.rng.uniform(DOWN_MIN_S, DOWN_MAX_S))
    fleet.begin_replica(name)
    fleet.links[name].set_mode("pass")
    time.sleep(scene.rng.uniform(0, LIST_LAG_MAX_S))
    fleet.announce(name)


@_scene.fault(_scene.UNPLANNED)
def disclaim(scene: _scene.Scene) -> None:
    """Replicas of a service do their work and then say that they are busy."""
    services = (_fleet.PLAIN, _fleet.MODEL, _fleet.STAGED)
    _spoil_service(scene, scene.rng.choice(DISCLAIMERS), scene.rng.choice(services))


def _spoil_service(scene: _scene.Scene, fault: str, service: str) -> None:
    """Gives all replicas of a service a fault for a while."""
    names = [name for name, (of, _) in _fleet.REPLICAS.items() if of == service]
    replicas = scene.fleet.replicas

    def set_fault(names: list[str], value: str) -> None:
        for name in names:
            replicas[name].fault = value

    with _free_replicas(scene, names) as free, contextlib.ExitStack() as stack:
        if not free:
            return
        scene.evidence.count_fault(scene.name)
        for name in free:
            stack.enter_context(scene.disrupted(name))
        set_fault(free, fault)
        time.sleep(scene.span())
        set_fault(free, "")


@_scene.fault(_scene.UNPLANNED)
def cut_replica(scene: _scene.Scene) -> None:
    """The connections to a replica are closed, or their bytes held back."""
    mode = scene.rng.choice(("refuse", "hang"))
    links = scene.fleet.links
    _on_replica(
        scene,
        lambda name: links[name].set_mode(mode),
        lambda name: links[name].set_mode("pass"),
    )
