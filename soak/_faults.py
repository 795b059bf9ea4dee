"""Faults of fronts, of the configuration and of the store.

Each is injected by its own thread and heals what it has broken.
"""

import signal
import time

from soak import _evidence, _fleet, _scene

PAUSE_MAX_S = 2.0
ROLL_GAP_MAX_S = 2.0
COPY_AGE_MAX_S = 3.0


@_scene.fault(_scene.PLANNED)
def stop(scene: _scene.Scene) -> None:
    """SIGTERM, SIGKILL after the grace."""
    scene.stop_any()


@_scene.fault(_scene.PLANNED)
def stop_twice(scene: _scene.Scene) -> None:
    """SIGTERM again during the stop."""
    at = scene.second_at()
    scene.stop_any(lambda front: [(at, lambda: front.signal(signal.SIGTERM))])


@_scene.fault(_scene.PLANNED)
def stop_and_reload(scene: _scene.Scene) -> None:
    """SIGHUP during the stop."""
    at = scene.second_at()
    scene.stop_any(lambda front: [(at, lambda: front.signal(signal.SIGHUP))])


@_scene.fault(_scene.PLANNED)
def stop_and_configure(scene: _scene.Scene) -> None:
    """A new configuration during the stop."""
    at = scene.second_at()
    scene.stop_any(lambda _: [(at, scene.fleet.configure)])


@_scene.fault(_scene.PLANNED)
def stop_and_pause(scene: _scene.Scene) -> None:
    """The process is paused during the stop, and continues before its end."""
    at, length_s = scene.second_at(), scene.rng.uniform(0.2, PAUSE_MAX_S)

    def extra(front):
        return [
            (at, lambda: front.signal(signal.SIGSTOP)),
            (at + length_s, lambda: front.signal(signal.SIGCONT)),
        ]

    scene.stop_any(extra)


def _stop_together(scene: _scene.Scene, fronts: list[_fleet.Front]) -> None:
    """Stops the fronts of the list that are free, one shortly after the other."""
    locked = [f for f in fronts if f.busy.acquire(blocking=False)]
    threads = []
    for front in locked:
        scene.evidence.count_fault(scene.name)
        threads.append(_scene.start(scene.stop, front))
        time.sleep(scene.rng.uniform(0, ROLL_GAP_MAX_S))
    for thread in threads:
        thread.join()


@_scene.fault(_scene.PLANNED)
def stop_domain(scene: _scene.Scene) -> None:
    """All fronts of a domain at once."""
    domain = scene.rng.choice(scene.fleet.fronts).domain
    _stop_together(scene, [f for f in scene.fleet.fronts if f.domain == domain])


@_scene.fault(_scene.PLANNED)
def roll(scene: _scene.Scene) -> None:
    """Half of the fronts in turn, with overlap."""
    _stop_together(scene, scene.fleet.fronts[: len(scene.fleet.fronts) // 2])


@_scene.fault(_scene.PLANNED)
def configure(scene: _scene.Scene) -> None:
    """A new version of the configuration."""
    scene.evidence.count_fault(scene.name)
    scene.fleet.configure()


@_scene.fault(_scene.UNPLANNED)
def kill(scene: _scene.Scene) -> None:
    """SIGKILL of a front, which starts again."""
    front = scene.pick_front()
    if front is None:
        return
    try:
        scene.evidence.count_fault(scene.name)
        disruption = scene.evidence.disrupt("kill", front.name, time.monotonic())
        front.kill()
        time.sleep(scene.rng.uniform(0, _scene.RESTART_MAX_S))
        scene.fleet.restart_front(front)
        disruption.ended = time.monotonic()
    finally:
        front.busy.release()


@_scene.fault(_scene.UNPLANNED)
def pause(scene: _scene.Scene) -> None:
    """A front is paused without a stop."""
    front = scene.pick_front()
    if front is None:
        return
    try:
        scene.evidence.count_fault(scene.name)
        scene.trouble(
            front.name,
            lambda: front.signal(signal.SIGSTOP),
            lambda: front.signal(signal.SIGCONT),
        )
    finally:
        front.busy.release()


@_scene.fault(_scene.UNPLANNED)
def cut_store(scene: _scene.Scene) -> None:
    """The connections of one front to the store are closed, or their bytes held."""
    mode = scene.rng.choice(("refuse", "hang"))
    number = scene.rng.randrange(min(len(scene.fleet.fronts), _fleet.MAX_STORE_LINKS))
    store_link = scene.fleet.links[scene.fleet.fronts[number].name]
    scene.evidence.count_fault(scene.name)
    scene.trouble(
        _evidence.STORE,
        lambda: store_link.set_mode(mode),
        lambda: store_link.set_mode("pass"),
    )


@_scene.fault(_scene.UNPLANNED)
def store_trouble(scene: _scene.Scene) -> None:
    """The store is down or silent, breaks its answers off, or loses them."""
    name = scene.rng.choice(("down", "silent", "torn", "lost"))
    faults = scene.fleet.store.faults
    scene.evidence.count_fault(f"store {name}")
    scene.trouble(
        _evidence.STORE,
        lambda: setattr(faults, name, True),
        lambda: setattr(faults, name, False),
    )


@_scene.fault(_scene.UNPLANNED)
def store_back(scene: _scene.Scene) -> None:
    """The store returns from an older copy; its writers write again what it lost."""
    lost: dict[str, list[bytes]] = {}
    store = scene.fleet.store
    age_s = scene.rng.uniform(0, COPY_AGE_MAX_S)

    def write_again() -> None:
        for topic, rows in lost.items():
            store.write_again(topic, rows)

    scene.evidence.count_fault(scene.name)
    scene.trouble(
        _evidence.STORE,
        lambda: lost.update(store.return_from_copy(age_s)),
        write_again,
    )
