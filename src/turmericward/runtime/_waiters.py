"""Futures by key that are resolved by an event or at a deadline."""

from concurrent import futures

import attrs


@attrs.define
class _Waiter:
    fut: futures.Future
    until: float
    on_timeout: object


class Waiters:
    """Pending futures by key, owned by one task; times are monotonic seconds."""

    def __init__(self) -> None:
        """Creates an empty set."""
        self._waiters: dict[str, _Waiter] = {}

    def add(self, key: str, until: float, on_timeout: object) -> futures.Future:
        """Returns a future; if pending at `until`, it resolves to `on_timeout`."""
        fut: futures.Future = futures.Future()
        self._waiters[key] = _Waiter(fut, until, on_timeout)
        return fut

    def __contains__(self, key: str) -> bool:
        """Returns whether a future is pending under `key`."""
        return key in self._waiters

    def resolve(self, key: str, value: object) -> bool:
        """Sets the result of the future under `key`; returns False if there is none."""
        waiter = self._waiters.pop(key, None)
        if waiter is None:
            return False
        waiter.fut.set_result(value)
        return True

    def expire(self, now: float) -> list[str]:
        """Resolves the futures past their deadline and returns their keys."""
        expired = [k for k, waiter in self._waiters.items() if waiter.until <= now]
        for key in expired:
            self.resolve(key, self._waiters[key].on_timeout)
        return expired
