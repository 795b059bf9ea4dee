"""Real fronts whose targets answer uploads at once and break their connections."""

import contextlib
import http.client
import itertools
import socket
import threading
import time
from concurrent import futures

import attrs

from tests import fixtures, platform_fixtures, test_connection_endings
from turmericward.httpd import _linger

check = fixtures.check
PROMPT = platform_fixtures.PROMPT
PATHS = ("/read/", "/write/", "/ask/", "/once/")
# The longest is more than the buffers of a connection take.
BODY_BYTES = (3000, 300_000, 3_000_000)
PAUSES_S = (0.0, 0.05, 0.3)
CALLERS = 12
PART = "part of an answer"
NO_STATUSES = (
    "000",
    "0",
    "00",
    "099",
    "20",
    "2000",
    "+200",
    "-20",
    "600",
    "700",
    "999",
)


@attrs.frozen(kw_only=True)
class _Script:
    """What a target does to a call, which its path names.

    It takes so many bytes of the body, answers with a part of a body without a length,
    ends its side in order if `ends_first`, and resets the connection after a pause.
    """

    path: str
    body_bytes: int
    taken_bytes: int
    pause_s: float
    ends_first: bool
    # Other statuses come with a whole answer and its length.
    status: str = "200"


def _scripts() -> list[_Script]:
    scripts = []
    for path, size, pause_s in itertools.product(PATHS, BODY_BYTES, PAUSES_S):
        for ends_first, taken in itertools.product((False, True), (0, 2000, size)):
            # Nobody can know of a reset that follows a whole answer's end later on.
            told_late = ends_first and pause_s and (taken == size or size < 3_000_000)
            if not told_late:
                scripts.append(
                    _Script(
                        path=path,
                        body_bytes=size,
                        taken_bytes=taken,
                        pause_s=pause_s,
                        ends_first=ends_first,
                    )
                )
    return scripts


class _Target:
    """Plays the script of each call that it gets."""

    def __init__(self, scripts: list[_Script]) -> None:
        self._scripts = scripts
        self.answered: set[_Script] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def __enter__(self) -> "_Target":
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            head, _, body = _read_head(conn).partition(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            number = path.rpartition("/")[2]
            if not number.isdecimal():
                # No call.
                return
            script = self._scripts[int(number)]
            taken = len(body)
            while taken < script.taken_bytes and (more := conn.recv(65536)):
                taken += len(more)
            conn.sendall(_answer(head, script))
            self.answered.add(script)
            if script.ends_first and not script.pause_s:
                test_connection_endings.end_and_reset(conn)
                return
            if script.ends_first:
                conn.shutdown(socket.SHUT_WR)
            time.sleep(script.pause_s)
            _linger.reset(conn)


def _read_head(conn: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        if not (part := conn.recv(4096)):
            raise ConnectionError("no whole request")
        data += part
    return data


def _answer(head: bytes, script: _Script) -> bytes:
    (call_id,) = [
        line.partition(b": ")[2]
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"turmericward-attempt-id")
    ]
    body = f"id: 1\ndata: {PART}\n\n" if script.path in ("/ask/", "/once/") else PART
    framing = "" if script.status == "200" else f"Content-Length: {len(body)}\r\n"
    return (
        f"HTTP/1.1 {script.status} X\r\nTurmericward-Server-Stamp: s\r\n{framing}"
        "Content-Type: text/event-stream\r\nTurmericward-Attempt-Id: "
        f"{call_id.decode()}\r\n\r\n{body}"
    ).encode()


def _call(platform, number: int, script: _Script) -> tuple[int, bytes]:
    """Returns status and body that a caller gets, 0 for none that is whole."""
    headers = PROMPT if script.path in ("/ask/", "/once/") else {}
    body = b"x" * script.body_bytes
    try:
        status, _, answer = platform.call(
            "POST", f"{script.path}{number}", f"c{number}", headers, body
        )
    except (OSError, http.client.HTTPException):
        return 0, b""
    return status, answer


def _play(scripts: list[_Script]) -> list[tuple[int, bytes]]:
    """Returns what the callers of a front get whose targets play these scripts."""
    with (
        platform_fixtures.platform(("p1", "m1")) as platform,
        _Target(scripts) as target,
    ):
        for name in ("p1", "m1"):
            platform.announce(name, address=target.address, born=2000)
        time.sleep(0.5)
        with futures.ThreadPoolExecutor(CALLERS) as executor:
            replies = executor.map(
                lambda item: _call(platform, *item), enumerate(scripts)
            )
            replies = list(replies)
    check.assertEqual(target.answered, set(scripts))
    return replies


def test_a_part_of_an_early_answer_whose_connection_was_reset_looked_whole():
    """Guards against a reset after an end in order that nobody hears."""
    scripts = _scripts()
    played = zip(scripts, _play(scripts), strict=True)
    broken = [script for script, reply in played if PART.encode() in reply[1]]
    check.assertEqual(broken, [])


def test_a_status_outside_the_grammar_was_passed_on_as_an_answer():
    """Guards against a number that is no status (RFC 9110, 15)."""
    scripts = [
        _Script(
            path=path,
            body_bytes=10,
            taken_bytes=10,
            pause_s=0.05,
            ends_first=False,
            status=status,
        )
        for path, status in itertools.product(PATHS, NO_STATUSES)
    ]
    replies = {status for status, _ in _play(scripts)}
    check.assertEqual(replies, {502})
