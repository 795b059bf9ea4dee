"""What a delivery needs from the process that it runs in."""

from concurrent import futures
from typing import Protocol

import attrs

from turmericward import fleet, telemetry
from turmericward.delivery import _calls


class Dispatcher(Protocol):
    """Chooses targets: takes the messages `Place`, `Began` and `Ended`."""

    def ask(self, message: object) -> futures.Future:
        """Sends a message; the future gets the answer."""

    def post(self, message: object) -> None:
        """Sends a message that needs no answer."""


class Transport(Protocol):
    """Sends calls to targets; the implementation knows their protocol."""

    def send(
        self, target: fleet.Target, call: _calls.Call, dispatch: _calls.Dispatch
    ) -> _calls.Answer:
        """Sends a call and returns the head of the answer.

        Raises:
            AdapterError: there is none.
        """

    def prefill(
        self, target: fleet.Target, call: _calls.Call, dispatch: _calls.Dispatch
    ) -> str:
        """Has the prompt read and returns the name of its KV cache.

        Raises:
            NotExecutedError: the target refused.
            AdapterError: there is no good answer.
        """

    def release(self, source: str) -> None:
        """Frees KV cache that nobody will take."""


@attrs.frozen(kw_only=True)
class Context:
    """What all deliveries of a process share."""

    dispatch: Dispatcher
    transport: Transport
    metrics: telemetry.Metrics
