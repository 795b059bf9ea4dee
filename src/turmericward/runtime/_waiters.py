"""Futures that wait for an event under a key, each with a deadline."""

from concurrent import futures

import attrs


@attrs.define
class _Waiter:
    fut: futures.Future
    until: float
    on_timeout: object


class Waiters:
    """Futures by key, owned by one task. Times are monotonic seconds."""

    def __init__(self) -> None:
        """Creates an empty set."""
        self._waiters: dict[str, _Waiter] = {}

    def add(self, key: str, until: float, on_timeout: object) -> futures.Future:
        """Returns a future that gets `on_timeout` if nothing came by `until`."""
        fut: futures.Future = futures.Future()
        self._waiters[key] = _Waiter(fut, until, on_timeout)
        return fut

    def __contains__(self, key: str) -> bool:
        """Tells whether a future waits under `key`."""
        return key in self._waiters

    def resolve(self, key: str, value: object) -> bool:
        """Sets the result of the future under `key`; tells whether one waited."""
        waiter = self._waiters.pop(key, None)
        if waiter is None:
            return False
        waiter.fut.set_result(value)
        return True

    def expire(self, now: float) -> list[str]:
        """Ends the futures whose time is up; returns their keys."""
        late = [k for k, waiter in self._waiters.items() if waiter.until <= now]
        for key in late:
            self.resolve(key, self._waiters[key].on_timeout)
        return late
