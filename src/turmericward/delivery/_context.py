"""Interfaces that a delivery needs from its process."""

import math
from concurrent import futures
from typing import Protocol

import attrs

from turmericward import fleet, routing, runtime, telemetry
from turmericward.delivery import _open_calls, _stop


class Dispatcher(Protocol):
    """Chooses targets and accounts for calls in flight; see `_messages`."""

    def ask(self, message: object) -> futures.Future:
        """Sends a message; the future gets the answer."""

    def post(self, message: object) -> None:
        """Sends a message that needs no answer."""


class Transport(Protocol):
    """Sends calls to targets; the implementation defines their protocol."""

    def send(
        self, target: fleet.Target, call: routing.Call, dispatch: routing.Dispatch
    ) -> routing.Answer:
        """Sends a call and returns the head of the answer.

        Raises:
            AdapterError: no answer was received.
        """

    def prefill(
        self, target: fleet.Target, call: routing.Call, dispatch: routing.Dispatch
    ) -> str:
        """Runs a prefill of the prompt and returns a handle of its KV cache.

        Raises:
            NotExecutedError: the target refused.
            AdapterError: there is no valid answer.
        """

    def has_ended(self, target: fleet.Target) -> bool:
        """Returns whether the target's process has ended, as far as can be told."""

    def release(self, source: str) -> None:
        """Frees KV cache that no target will fetch, without waiting for it."""


@attrs.frozen(kw_only=True)
class Context:
    """Dependencies that all deliveries of a process share.

    `drain` has the time bounds of the process's planned stop, `times` how long calls
    take, `open_calls` those without a final answer.
    """

    dispatch: Dispatcher
    transport: Transport
    metrics: telemetry.Metrics
    drain: runtime.Drain = attrs.field(factory=lambda: runtime.Drain(math.inf))
    times: _stop.CallTimes = attrs.field(factory=_stop.CallTimes)
    open_calls: _open_calls.OpenCalls = attrs.field(factory=_open_calls.OpenCalls)
