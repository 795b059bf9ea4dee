"""Sends an idempotent call to one target after another until one of them answers.

Load pattern handled: targets that say nothing for longer than a call usually takes and
then go on, one or all of them, beside some that never do.
"""

import collections
from collections.abc import Callable

import attrs

from turmericward import configuration, runtime
from turmericward.adapters import _pending, errors, service

MAX_ATTEMPTS = 3


@attrs.frozen(kw_only=True)
class Attempt:
    """One attempt: its target, its bounds, and what happens while it waits.

    `timeout_s` is the wait for progress after which `watch` is told of it, `deadline`
    the end of the call on the clock of `runtime.now`.
    """

    target: configuration.ServiceTarget
    timeout_s: float
    deadline: float
    watch: _pending.Watch


def only_attempt(target: configuration.ServiceTarget, timeout_s: float) -> Attempt:
    """Returns the attempt of a call that ends with it."""
    deadline = runtime.now() + timeout_s
    watch = _pending.NO_WATCH
    return Attempt(target=target, timeout_s=timeout_s, deadline=deadline, watch=watch)


class _AnsweredError(Exception):
    """Ends the earlier attempts when a later one has the whole answer."""

    def __init__(self, resp: service.Response) -> None:
        super().__init__("another target has answered")
        self.resp = resp


class RepeatedCall:
    """Attempts at one call; those that are late stay open while others are made.

    The first whole answer counts. All attempts end after as long as `MAX_ATTEMPTS`
    of them would take in turn.
    """

    def __init__(
        self,
        targets: list[configuration.ServiceTarget],
        timeout_s: float,
        send: Callable[[Attempt], service.Response],
    ) -> None:
        """Creates the call without sending it.

        Args:
            targets: in order of preference.
            timeout_s: the wait for a target after which another one is tried.
            send: makes one attempt.
        """
        self._targets = collections.deque(targets[:MAX_ATTEMPTS])
        self._timeout_s = timeout_s
        self._send = send
        self._deadline = runtime.now() + MAX_ATTEMPTS * timeout_s
        # The attempt that was late last, which refers to the one before it.
        self._latest: _pending.PendingConnection | None = None
        # Whether a target may have executed the call.
        self.sent = False

    def run(self) -> service.Response | None:
        """Returns the first answer, None if there is none."""
        try:
            return self._try_targets()
        except _AnsweredError as exc:
            return exc.resp
        except errors.CancelledError:
            return None

    def _try_targets(self) -> service.Response | None:
        while self._targets:
            try:
                return self._attempt(self._targets.popleft())
            except errors.NotSentError:
                continue
            except errors.RivalAnsweredError:
                raise
            except errors.AdapterError as exc:
                self.sent = True
                if isinstance(exc, errors.CancelledError):
                    raise
        return None

    def _attempt(self, target: configuration.ServiceTarget) -> service.Response:
        attempt = Attempt(
            target=target,
            timeout_s=max(0.0, self._wait_until() - runtime.now()),
            deadline=self._deadline,
            watch=_pending.Watch(on_late=self._on_late, rival=self._latest),
        )
        return self._send(attempt)

    def _wait_until(self) -> float:
        if not self._targets:
            return self._deadline
        return min(self._deadline, runtime.now() + self._timeout_s)

    def _on_late(self, pending: _pending.PendingConnection) -> float:
        """Returns until when a late target is waited for further.

        Raises:
            TimeoutError: the call's time is over.
            RivalAnsweredError: an earlier attempt goes on.
        """
        if runtime.now() >= self._deadline:
            raise TimeoutError("no whole answer in time")
        pending.earlier, self._latest = self._latest, pending
        try:
            resp = self._try_targets()
        except errors.RivalAnsweredError:
            if not pending.has_bytes():
                raise
            return self._wait_until()
        finally:
            self._latest = pending.earlier
        if resp is not None:
            raise _AnsweredError(resp)
        return self._wait_until()
