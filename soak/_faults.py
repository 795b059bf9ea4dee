"""Faults by name; each is injected by its own thread and heals what it has broken."""

import contextlib
import random
import signal
import threading
import time

import attrs

from soak import _deadly, _evidence, _fleet

PLANNED, UNPLANNED = "planned", "unplanned"
RESTART_MAX_S = 2.0
TROUBLE_MIN_S, TROUBLE_MAX_S = 0.5, 4.0
PAUSE_MAX_S = 2.0
SILENCE_MIN_S, SILENCE_MAX_S = 0.3, 4.0
SILENCE_GAP_MAX_S = 2.0
SILENCES_MAX = 2
SECOND_ACTION_FROM_S, SECOND_ACTION_TO_S = 0.2, 4.0
ROLL_GAP_MAX_S = 2.0
# A replica that leaves works on its calls for at least this long before it ends.
LAST_WORK_S = 8.0
COPY_AGE_MAX_S = 3.0
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
REGISTRY: dict[str, tuple[str, object]] = {}


def _fault(kind: str):
    def register(function):
        REGISTRY[function.__name__] = (kind, function)
        return function

    return register


@attrs.frozen
class Scene:
    """What a fault works on; `rng` is its own."""

    fleet: _fleet.Fleet
    rng: random.Random
    name: str

    @property
    def evidence(self) -> _evidence.Evidence:
        """The run's evidence."""
        return self.fleet.evidence

    def pick_front(self) -> _fleet.Front | None:
        """Returns a front that no other fault works on, locked, or None."""
        fronts = list(self.fleet.fronts)
        self.rng.shuffle(fronts)
        return next((f for f in fronts if f.busy.acquire(blocking=False)), None)

    def span(self) -> float:
        """Returns the length of a trouble."""
        return self.rng.uniform(TROUBLE_MIN_S, TROUBLE_MAX_S)

    def trouble(self, subject: str, set_in, heal) -> None:
        """Sets trouble in for a while, recorded as a disruption of `subject`."""
        disruption = self.evidence.disrupt(self.name, subject, time.monotonic())
        set_in()
        time.sleep(self.span())
        heal()
        disruption.ended = time.monotonic()

    def stop(self, front: _fleet.Front, extra=()) -> None:
        """Stops a locked front as planned, starts it again and unlocks it."""
        try:
            self.fleet.stop_front(front, extra)
            time.sleep(self.rng.uniform(0, RESTART_MAX_S))
            self.fleet.restart_front(front)
        finally:
            front.busy.release()

    def stop_any(self, extra_of=lambda _: ()) -> None:
        """Stops a front that no other fault works on, if there is one."""
        front = self.pick_front()
        if front is not None:
            self.evidence.count_fault(self.name)
            self.stop(front, extra_of(front))

    def second_at(self) -> float:
        """Returns when in a stop a second action takes place."""
        return self.rng.uniform(SECOND_ACTION_FROM_S, SECOND_ACTION_TO_S)


@_fault(PLANNED)
def stop(scene: Scene) -> None:
    """SIGTERM, SIGKILL after the grace."""
    scene.stop_any()


@_fault(PLANNED)
def stop_twice(scene: Scene) -> None:
    """SIGTERM again during the stop."""
    at = scene.second_at()
    scene.stop_any(lambda front: [(at, lambda: front.signal(signal.SIGTERM))])


@_fault(PLANNED)
def stop_and_reload(scene: Scene) -> None:
    """SIGHUP during the stop."""
    at = scene.second_at()
    scene.stop_any(lambda front: [(at, lambda: front.signal(signal.SIGHUP))])


@_fault(PLANNED)
def stop_and_configure(scene: Scene) -> None:
    """A new configuration during the stop."""
    at = scene.second_at()
    scene.stop_any(lambda _: [(at, scene.fleet.configure)])


@_fault(PLANNED)
def stop_and_pause(scene: Scene) -> None:
    """The process is paused during the stop, and continues before its end."""
    at, length_s = scene.second_at(), scene.rng.uniform(0.2, PAUSE_MAX_S)

    def extra(front):
        return [
            (at, lambda: front.signal(signal.SIGSTOP)),
            (at + length_s, lambda: front.signal(signal.SIGCONT)),
        ]

    scene.stop_any(extra)


def _stop_together(scene: Scene, fronts: list[_fleet.Front]) -> None:
    """Stops the fronts of the list that are free, one shortly after the other."""
    locked = [f for f in fronts if f.busy.acquire(blocking=False)]
    threads = []
    for front in locked:
        scene.evidence.count_fault(scene.name)
        threads.append(_start(scene.stop, front))
        time.sleep(scene.rng.uniform(0, ROLL_GAP_MAX_S))
    for thread in threads:
        thread.join()


def _start(function, *args):
    thread = threading.Thread(target=function, args=args, daemon=True)
    thread.start()
    return thread


@_fault(PLANNED)
def stop_domain(scene: Scene) -> None:
    """All fronts of a domain at once."""
    domain = scene.rng.choice(scene.fleet.fronts).domain
    _stop_together(scene, [f for f in scene.fleet.fronts if f.domain == domain])


@_fault(PLANNED)
def roll(scene: Scene) -> None:
    """Half of the fronts in turn, with overlap."""
    _stop_together(scene, scene.fleet.fronts[: len(scene.fleet.fronts) // 2])


@_fault(PLANNED)
def configure(scene: Scene) -> None:
    """A new version of the configuration."""
    scene.evidence.count_fault(scene.name)
    scene.fleet.configure()


@contextlib.contextmanager
def _free_replicas(scene: Scene, names: list[str]):
    """Yields the replicas among these that no other fault works on."""
    free = [name for name in names if name not in scene.fleet.away]
    scene.fleet.away.update(free)
    try:
        yield free
    finally:
        scene.fleet.away.difference_update(free)


def _one(scene: Scene) -> list[str]:
    return [scene.rng.choice(list(_fleet.REPLICAS))]


@contextlib.contextmanager
def _free_replica(scene: Scene):
    """Yields the name of a replica for one fault alone, None if another works on it."""
    with _free_replicas(scene, _one(scene)) as names:
        yield names[0] if names else None


def _domain(scene: Scene) -> list[str]:
    domain = _fleet.replica_domain(*_one(scene))
    return [n for n in _fleet.REPLICAS if _fleet.replica_domain(n) == domain]


def _all(scene: Scene) -> list[str]:
    del scene
    return list(_fleet.REPLICAS)


def _nothing(scene: Scene) -> None:
    del scene


@_fault(PLANNED)
def silence(scene: Scene) -> None:
    """Sound replicas are silent now and then: one, those of a domain, or all."""
    extent = scene.rng.choice((_one, _domain, _all))
    beside = scene.rng.choice((_nothing, configure, stop))
    with _free_replicas(scene, extent(scene)) as names:
        if not names:
            return
        scene.evidence.count_fault(f"silence{extent.__name__}")
        thread = _start(beside, attrs.evolve(scene, name=beside.__name__))
        for _ in range(scene.rng.randint(1, SILENCES_MAX)):
            scene.fleet.silence(names, scene.rng.uniform(SILENCE_MIN_S, SILENCE_MAX_S))
            time.sleep(scene.rng.uniform(0, SILENCE_GAP_MAX_S))
    thread.join()


@_fault(PLANNED)
def leave(scene: Scene) -> None:
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


@_fault(UNPLANNED)
def kill(scene: Scene) -> None:
    """SIGKILL of a front, which starts again."""
    front = scene.pick_front()
    if front is None:
        return
    try:
        scene.evidence.count_fault(scene.name)
        disruption = scene.evidence.disrupt("kill", front.name, time.monotonic())
        front.kill()
        time.sleep(scene.rng.uniform(0, RESTART_MAX_S))
        scene.fleet.restart_front(front)
        disruption.ended = time.monotonic()
    finally:
        front.busy.release()


@_fault(UNPLANNED)
def pause(scene: Scene) -> None:
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


def _on_replica(scene: Scene, set_in, heal) -> None:
    with _free_replica(scene) as name:
        if name is not None:
            scene.evidence.count_fault(scene.name)
            scene.trouble(name, lambda: set_in(name), lambda: heal(name))


@_fault(UNPLANNED)
def crash_replica(scene: Scene) -> None:
    """A replica ends with its connections and starts again."""
    _on_replica(scene, scene.fleet.crash_replica, scene.fleet.restart_replica)


@_fault(UNPLANNED)
def deadly_request(scene: Scene) -> None:
    """A request crashes each replica that begins it, and is sent again and again."""
    kind = scene.rng.choice(_deadly.KINDS)
    service = next(service for name, _, service, _ in _fleet.ROUTES if name == kind[0])
    names = [name for name, (of, _) in _fleet.REPLICAS.items() if of == service]
    with _free_replicas(scene, names) as free:
        if free == names:
            scene.evidence.count_fault(scene.name)
            _deadly.DeadlyRequest(scene.fleet, scene.rng, kind, names).play()


@_fault(UNPLANNED)
def lie(scene: Scene) -> None:
    """A replica gives wrong, broken or foreign answers."""
    lie_name = scene.rng.choice(LIES)

    def set_fault(name: str, value: str) -> None:
        scene.fleet.replicas[name].fault = value

    _on_replica(
        scene, lambda name: set_fault(name, lie_name), lambda name: set_fault(name, "")
    )


@_fault(UNPLANNED)
def cut_replica(scene: Scene) -> None:
    """The connections to a replica are closed, or their bytes held back."""
    mode = scene.rng.choice(("refuse", "hang"))
    links = scene.fleet.links
    _on_replica(
        scene,
        lambda name: links[name].set_mode(mode),
        lambda name: links[name].set_mode("pass"),
    )


@_fault(UNPLANNED)
def cut_store(scene: Scene) -> None:
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


@_fault(UNPLANNED)
def store_trouble(scene: Scene) -> None:
    """The store is down or silent, breaks its answers off, or loses them."""
    name = scene.rng.choice(("down", "silent", "torn", "lost"))
    faults = scene.fleet.store.faults
    scene.evidence.count_fault(f"store {name}")
    scene.trouble(
        _evidence.STORE,
        lambda: setattr(faults, name, True),
        lambda: setattr(faults, name, False),
    )


@_fault(UNPLANNED)
def store_back(scene: Scene) -> None:
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
