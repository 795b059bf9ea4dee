"""What faults work on, and the registry that they enter themselves in."""

import contextlib
import random
import threading
import time

import attrs

from soak import _evidence, _fleet

PLANNED, UNPLANNED = "planned", "unplanned"
RESTART_MAX_S = 2.0
TROUBLE_MIN_S, TROUBLE_MAX_S = 0.5, 4.0
SECOND_ACTION_FROM_S, SECOND_ACTION_TO_S = 0.2, 4.0
REGISTRY: dict[str, tuple[str, object]] = {}


def fault(kind: str):
    """Returns a decorator that registers a fault under its name."""

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
        with self.disrupted(subject):
            set_in()
            time.sleep(self.span())
            heal()

    @contextlib.contextmanager
    def disrupted(self, subject: str):
        """Records a disruption of `subject` meanwhile."""
        disruption = self.evidence.disrupt(self.name, subject, time.monotonic())
        yield
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


def start(function, *args) -> threading.Thread:
    """Calls a function in a thread of its own."""
    thread = threading.Thread(target=function, args=args, daemon=True)
    thread.start()
    return thread
