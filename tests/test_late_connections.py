"""Both transports against targets that pause, on real connections."""

import contextlib
import re
import socket
import threading
import time

import attrs

from tests import (
    fixtures,
    processor_waits,
    test_delivery,
    test_dispatch,
    test_late_attempts,
)
from turmericward import delivery, dispatching, fleet, routing, telemetry
from turmericward.entry import _transport as entry_transport
from turmericward.platform import _notices, _transport

check = fixtures.check
PAUSE_S = 1.4
# More than the buffers of a connection take.
LONG_BODY_BYTES = 12 * 1024 * 1024
IDS = (
    b"X-Request-Id: c\r\nTurmericward-Attempt-Id: c\r\nTurmericward-Server-Stamp: s\r\n"
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + IDS + b"\r\n"
REFUSAL = (
    b"HTTP/1.1 503 No\r\n" + IDS + b"Turmericward-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
DONE = b"data: [DONE]\n\n"


def _events(*numbers: int) -> bytes:
    return b"".join(b'id: %d\ndata: {"n": %d}\n\n' % (n, n) for n in numbers)


class _Target:
    """Plays one script for each connection: bytes to send, and pauses in seconds."""

    def __init__(self, *scripts: tuple[bytes | float, ...]) -> None:
        self._scripts = scripts
        self.closed_after_s: list[float] = []
        self.watch = processor_waits.Stopwatch()

    def __enter__(self) -> "_Target":
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()
        return self

    def __exit__(self, *_) -> None:
        self._listener.close()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            for script in self._scripts:
                conn, _ = self._listener.accept()
                self.watch.note()
                threading.Thread(
                    target=self._play, args=(conn, script), daemon=True
                ).start()

    def _play(self, conn: socket.socket, script) -> None:
        with conn, contextlib.suppress(OSError):
            self._read_request(conn)
            began = time.monotonic()
            for step in script:
                self.watch.note()
                if isinstance(step, bytes):
                    conn.sendall(step)
                else:
                    self._pause(conn, step, began)

    def _read_request(self, conn: socket.socket) -> None:
        received = conn.recv(65536)
        length = re.search(rb"(?i)content-length: (\d+)", received)
        missing = (
            int(length[1]) - len(received.partition(b"\r\n\r\n")[2]) if length else 0
        )
        while missing > 0:
            missing -= len(conn.recv(65536))

    def _pause(self, conn: socket.socket, pause_s: float, began: float) -> None:
        """Records when the front closes the connection meanwhile."""
        conn.settimeout(pause_s)
        with contextlib.suppress(TimeoutError):
            if not conn.recv(1):
                self.watch.note()
                self.closed_after_s.append(time.monotonic() - began)
                raise ConnectionAbortedError


class _UnreadingTarget:
    """Accepts connections and reads nothing."""

    def __enter__(self) -> "_UnreadingTarget":
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        return self

    def __exit__(self, *_) -> None:
        self._listener.close()


def _transports():
    reader = _notices.NoticeReader(lambda notice: None, tuple)
    return {
        "platform": (_transport.ReplicaTransport(reader), b""),
        "entry": (entry_transport.EngineTransport(), DONE),
    }


def _timed_run(transport, *targets: _Target, **changes):
    """Returns a run's stopwatch, and what was received."""
    watch = processor_waits.Stopwatch()
    for target in targets:
        target.watch = watch
    received = _run(transport, *targets, **changes)
    watch.stop()
    return watch, received


def _run(transport, *targets: _Target, **changes):
    """Delivers a call whose first attempt is at the first target."""
    retries = dispatching.RetryBounds(
        share=0.0, slack=changes.pop("slack", test_dispatch.slack_for(2.7))
    )
    task = test_dispatch._task(retries=retries)
    first, *others = (
        fleet.Target(
            name=f"e{n}",
            service="model",
            address=target.address,
            domain="a",
            slots=8,
            role=changes.get("role", fleet.EngineRole.DECODE),
        )
        for n, target in enumerate(targets)
    )
    changes.pop("role", None)
    task.handle(dispatching.PutTargets(targets=(first,)))
    dispatcher = _AnnouncingDispatcher(task, others)
    ctx = delivery.Context(
        dispatch=dispatcher, transport=transport, metrics=telemetry.Metrics(None, "")
    )
    call = attrs.evolve(
        test_dispatch._call(changes.pop("deadline_s", 8.0)),
        prompt=changes.pop("prompt", test_late_attempts.SHORT),
        body=changes.pop("body", b""),
    )
    call = attrs.evolve(call, route=attrs.evolve(call.route, **changes))
    return test_late_attempts._received(delivery.Delivery(ctx, call, "model").run())


class _AnnouncingDispatcher(test_delivery._Dispatcher):
    """Announces further targets once the first placement is made."""

    def __init__(self, task, others) -> None:
        super().__init__(task)
        self._others = tuple(others)

    def ask(self, message):
        answer = super().ask(message)
        if isinstance(message, dispatching.Place):
            self._task.handle(dispatching.PutTargets(targets=self._others))
        return answer


def test_a_paused_stream_was_lost_with_the_second_attempt_that_was_refused():
    for name, (transport, done) in _transports().items():
        script = (HEAD, _events(1, 2), PAUSE_S, _events(3, 4), done)
        with _Target(script) as paused, _Target((REFUSAL,)) as full:
            received = _run(transport, paused, full)
        check.assertEqual(received, [1, 2, 3, 4], name)
        check.assertEqual(paused.closed_after_s, [], name)


def _resume(name: str, transport, done: bytes, *script: bytes | float):
    """Returns the stopwatch of a stream that is resumed, and its first target."""
    resumed = (HEAD, _events(3, 4), done)
    with _Target((HEAD, _events(1, 2), *script)) as first, _Target(resumed) as sound:
        watch, received = _timed_run(transport, first, sound)
        time.sleep(0.1)
    check.assertEqual(received, [1, 2, 3, 4], name)
    return watch, first


def test_a_stream_is_resumed_at_a_target_that_answers():
    for name, (transport, done) in _transports().items():

        def play(name=name, transport=transport, done=done):
            watch, hung = _resume(name, transport, done, 5.0)
            (closed_s,) = hung.closed_after_s
            return watch, [watch.took_s, closed_s]

        processor_waits.check_times(play, [1.6, 1.5], name)


def test_a_target_that_goes_on_first_keeps_its_stream():
    for name, (transport, done) in _transports().items():
        script = (HEAD, _events(1, 2), 1.1, _events(3, 4), done)
        with _Target(script) as paused, _Target((3.0,)) as silent:
            received = _run(transport, paused, silent)
            time.sleep(0.2)
        check.assertEqual(received, [1, 2, 3, 4], name)
        check.assertEqual(paused.closed_after_s, [], name)
        check.assertEqual(len(silent.closed_after_s), 1, name)


def test_two_targets_did_not_work_on_a_stream_for_longer_than_the_rules_allow():
    for name, (transport, done) in _transports().items():
        resumed = (0.8, HEAD, _events(3, 4), done)
        with _Target((HEAD, _events(1, 2), 5.0)) as hung, _Target(resumed) as slow:
            received = _run(transport, hung, slow)
        check.assertEqual(received, [1, 2, 3, 4], name)
        # The second attempt begins after 1.0 s.
        check.assertLess(hung.closed_after_s[0], 1.4, name)


def test_a_late_plain_answer_comes_though_the_second_target_is_silent_too():
    answer = b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 2\r\n\r\nok"
    transport, _ = _transports()["platform"]
    with _Target((PAUSE_S, answer)) as paused, _Target((3.0,)) as silent:
        body = _run(
            transport,
            paused,
            silent,
            prompt=None,
            role=None,
            kind=routing.CallKind.IDEMPOTENT,
            deadline_s=2.4,
            objective_s=0.1,
        )
    check.assertEqual(body, b"ok")
    check.assertEqual(paused.closed_after_s, [])


def test_two_targets_worked_on_a_prompt_until_the_second_had_its_whole_answer():
    head = b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 2\r\n\r\n"
    for name, (transport, _) in _transports().items():
        with _Target((5.0,)) as hung, _Target((head, 0.8, b"ok")) as slow:
            body = _run(
                transport,
                hung,
                slow,
                kind=routing.CallKind.IDEMPOTENT,
                deadline_s=2.4,
                objective_s=0.1,
            )
        check.assertEqual(body, b"ok", name)
        # The second attempt begins after 1.2 s.
        check.assertLess(hung.closed_after_s[0], 1.6, name)


def test_a_plain_answer_was_not_read_while_a_second_request_could_not_be_written():
    answer = b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 2\r\n\r\nok"
    transport, _ = _transports()["platform"]
    with _Target((PAUSE_S, answer)) as paused, _UnreadingTarget() as full:
        began = time.monotonic()
        body = _run(
            transport,
            paused,
            full,
            prompt=None,
            role=None,
            kind=routing.CallKind.IDEMPOTENT,
            body=bytes(LONG_BODY_BYTES),
            deadline_s=2.4,
            objective_s=0.1,
        )
        took_s = time.monotonic() - began
    check.assertEqual(body, b"ok")
    check.assertLess(took_s, 2.0)


def test_a_plain_call_was_lost_at_two_hung_targets_though_a_third_answers():
    answer = b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 2\r\n\r\nok"
    transport, _ = _transports()["platform"]
    for sound_at in range(2):
        with (
            _Target((5.0,)) as first,
            _Target((5.0,)) as hung,
            _Target((answer,)) as ok,
        ):
            others = (ok, hung) if sound_at == 0 else (hung, ok)
            body = _run(
                transport,
                first,
                *others,
                prompt=None,
                role=None,
                kind=routing.CallKind.IDEMPOTENT,
                deadline_s=2.4,
                objective_s=0.1,
                max_attempts=3,
                slack=600.0,
            )
        check.assertEqual(body, b"ok", sound_at)


def test_a_trickle_of_bytes_without_an_event_does_not_keep_a_stream():
    trickle = [step for _ in range(40) for step in (b":", 0.1)]
    for name, (transport, done) in _transports().items():

        def play(name=name, transport=transport, done=done):
            watch, _ = _resume(name, transport, done, *trickle)
            return watch, [watch.took_s]

        processor_waits.check_times(play, [1.6], name)


class _LateReader(_Target):
    """Reads the request after a pause, then answers it."""

    def _play(self, conn: socket.socket, script) -> None:
        pause_s, length, answer = script
        with conn, contextlib.suppress(OSError):
            time.sleep(pause_s)
            received = 0
            while received < length and (chunk := conn.recv(1 << 20)):
                received += len(chunk)
            conn.sendall(answer)


def test_a_target_that_paused_in_a_long_request_lost_the_call():
    body = bytes(LONG_BODY_BYTES)
    answer = b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 2\r\n\r\nok"
    for name, (transport, _) in _transports().items():
        # The wait for the first byte ends after half of the call's time.
        script = (1.7, len(body), answer)
        with _LateReader(script) as paused, _Target((3.0,)) as silent:
            received = _run(
                transport,
                paused,
                silent,
                body=body,
                kind=routing.CallKind.IDEMPOTENT,
                objective_s=0.1,
                deadline_s=3.0,
            )
        check.assertEqual(received, b"ok", name)
