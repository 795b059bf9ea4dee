"""Faults in the product itself, which the soak has to find.

Run as a module with the names of some, it starts a front that has these faults.
"""

import random
import signal
import socket
import sys
import threading
import time
from unittest import mock

import attrs

from turmericward import routing, runtime
from turmericward.adapters import _connection, errors
from turmericward.delivery import _progress
from turmericward.dispatching import _crash_guard
from turmericward.httpd import _room
from turmericward.platform import _program, _records, _transport
from turmericward.requests import _cache_index, _prompts

SHARE = 0.05
PATIENCE_S = 1.0
REGISTRY: dict[str, object] = {}


def _injection(function):
    REGISTRY[function.__name__] = function
    return function


def program(*names: str) -> tuple[str, ...]:
    """Returns the module and arguments that start a front with the faults.

    Raises:
        KeyError: there is no fault of a name.
    """
    return ("soak._injections", *(REGISTRY[name].__name__ for name in names))


@_injection
def exits_at_once():
    """A front that doesn't drain."""

    def stop_event() -> threading.Event:
        signal.signal(signal.SIGTERM, lambda *_: _exit())
        return threading.Event()

    return mock.patch.object(_program._common, "stop_event", stop_event)


def _exit() -> None:
    _program.os._exit(0)


@_injection
def runs_twice():
    """A front that sends some calls to two targets."""
    send = _transport.ReplicaTransport.send

    def send_twice(self, target, call, dispatch):
        if random.random() < SHARE:
            send(self, target, call, dispatch).close()
        return send(self, target, call, dispatch)

    return mock.patch.object(_transport.ReplicaTransport, "send", send_twice)


@_injection
def refuses_what_ran():
    """A front that says of some calls that they didn't run after they have."""
    send = _transport.ReplicaTransport.send

    def send_and_lose(self, target, call, dispatch):
        answer = send(self, target, call, dispatch)
        if random.random() >= SHARE:
            return answer
        answer.close()
        raise errors.AnswerLostError("injected")

    def failure(self, *, deadline_passed):
        return routing.Failure(
            status=503, reason=self.reason, may_have_run=False, retry_after_s=1.0
        )

    patch = mock.patch.object(_transport.ReplicaTransport, "send", send_and_lose)
    patch.start()
    return mock.patch.object(_progress.Progress, "failure", failure)


@_injection
def ignores_leaving():
    """A front that goes on sending calls to replicas that leave."""
    target = _records.target
    return mock.patch.object(
        _records,
        "target",
        lambda name, raw: attrs.evolve(target(name, raw), leaving=False),
    )


@_injection
def gives_up_at_silence():
    """A front that loses the answers of replicas that have been silent."""
    send = _transport.ReplicaTransport.send

    def send_impatiently(self, target, call, dispatch):
        answer = send(self, target, call, dispatch)
        return attrs.evolve(answer, chunks=_impatient(answer.chunks))

    return mock.patch.object(_transport.ReplicaTransport, "send", send_impatiently)


@_injection
def forgets_crashes():
    """A front that sends calls on whose content has crashed replicas."""
    return mock.patch.object(
        _crash_guard.CrashGuard, "refusal", lambda self, message: None
    )


@_injection
def repeats_unpaid():
    """A front that takes nothing from its retry budget for a call without a target."""
    return mock.patch.object(
        _progress.Progress, "is_retry", lambda self, *, prefilled: False
    )


@_injection
def believes_every_end():
    """A front whose looks use up resets, and that takes every end for one in order."""

    def has_bytes(self) -> bool:
        try:
            return bool(self.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    observed = _connection.ObservedSocket
    mock.patch.object(observed, "recv_into", socket.socket.recv_into).start()
    mock.patch.object(observed, "ended_in_order", lambda self: True).start()
    return mock.patch.object(observed, "has_bytes", has_bytes)


@_injection
def admits_by_estimate():
    """A front that takes late calls of a stop by how long earlier ones took."""
    return mock.patch.object(
        runtime.Drain, "is_before_notice", lambda self, elapsed_s: True
    )


@_injection
def believes_every_status():
    """A front that passes statuses on that say a call hasn't run, whoever says so."""

    def keep(self, reply: routing.Reply) -> None:
        self.fallback = reply

    return mock.patch.object(_progress.Progress, "record_failure_reply", keep)


@_injection
def believes_late_ends():
    """A front that takes whoever listens for the one that ended an answer."""
    observed = _connection.ObservedSocket
    return mock.patch.object(observed, "ended_promptly", lambda self: True)


@_injection
def bounds_caches_by_tokens():
    """A front that keeps all segments of prompts that engines have tokens for."""
    mock.patch.object(_prompts, "MAX_SEGMENTS", sys.maxsize).start()
    unbounded = mock.Mock()
    return mock.patch.object(_cache_index.CacheIndex, "_bound_entries", unbounded)


@_injection
def keeps_idle_connections():
    """A front that closes no connection for a new one, unless it lingers."""
    return mock.patch.object(_room, "close_idle", lambda states, count, now: [])


def _impatient(chunks):
    waiting_since = time.monotonic()
    for chunk in chunks:
        if time.monotonic() - waiting_since > PATIENCE_S:
            raise errors.AnswerLostError("injected")
        yield chunk
        waiting_since = time.monotonic()


if __name__ == "__main__":
    names, sys.argv[1:] = sys.argv[1:], []
    for name in names:
        REGISTRY[name]().start()
    _program.main()
