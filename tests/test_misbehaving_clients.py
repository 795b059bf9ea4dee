"""Real fronts before clients that make them hold memory: they live, and stay small.

The crowd and the bounds were fixed before the account of memory was built. Nothing is
said about times or about how many of the crowd's requests are served.
"""

import os
import pathlib
import time

import attrs

from standins import launch
from tests import fixtures, misbehaving_clients, platform_fixtures

check = fixtures.check
CLIENT_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 30_000,
    "idle_timeout_ms": 60_000,
}
LONG_HEADER = {"X-Long": "x" * CLIENT_LIMITS["max_header_bytes"]}
MEMORY_MB = 64
# What a crowd may add to the resident memory of a front with `MEMORY_MB`.
MAX_ADDED_MB = 24.0
# Beyond one for each client: connections to targets and files of the interpreter.
MAX_OTHER_DESCRIPTORS = 60
SEND_S = 30.0
OBSERVE_S = 0.1
BODY_BYTES = 500_000
MISSING_BYTES = 10
MB = 1_000_000


@attrs.define
class Usage:
    """Highest usage of a process since the start of the observation."""

    pid: int
    resident_mb: float = 0.0
    descriptors: int = 0
    files: set[str] = attrs.field(factory=set)
    _next_at: float = 0.0

    def observe(self) -> None:
        """Reads the process's state, at most once each `OBSERVE_S`."""
        if time.monotonic() < self._next_at:
            return
        self._next_at = time.monotonic() + OBSERVE_S
        names = []
        for link in pathlib.Path(f"/proc/{self.pid}/fd").iterdir():
            try:
                names.append(os.readlink(link))
            except OSError:
                continue
        self.descriptors = max(self.descriptors, len(names))
        # A temporary file has no name any more.
        self.files |= {name for name in names if name.endswith("(deleted)")}
        self.resident_mb = max(self.resident_mb, resident_mb(self.pid, "VmRSS"))


def resident_mb(pid: int, field: str) -> float:
    """Returns a field of a process's memory: VmRSS is resident, VmHWM its peak."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / 1024
    raise AssertionError(f"process {pid} has ended")


def _check_ordinary_call(platform, call_id: str) -> None:
    status, _, answer = platform.call("GET", "/read/x", call_id)
    check.assertEqual((status, answer), (200, f"answer to {call_id}".encode()))


def configure(platform) -> None:
    """Sets limits on clients and waits until they are in force."""
    platform.configure(platform_fixtures.manifest(4) | {"limits": CLIENT_LIMITS})
    launch.wait_until(
        lambda: platform.call("GET", "/read/x", "long", LONG_HEADER)[0] == 431,
        what="limits in force",
    )


def _check_crowd(count: int, script) -> None:
    """Checks that the front outlives one crowd within the bounds."""
    with platform_fixtures.platform(("p1",), memory_mb=MEMORY_MB) as platform:
        configure(platform)
        _check_ordinary_call(platform, "before")
        pid = platform.process.pid
        before_mb = resident_mb(pid, "VmHWM")
        usage = Usage(pid)
        crowd = misbehaving_clients.Crowd(platform.front, count, script)
        try:
            crowd.send(SEND_S, usage.observe)
            _check_ordinary_call(platform, "beside")
        finally:
            crowd.close()
        usage.observe()
        _check_ordinary_call(platform, "after")
        check.assertIsNone(platform.process.poll())
        check.assertEqual(usage.files, set())
        check.assertLessEqual(usage.descriptors, count + MAX_OTHER_DESCRIPTORS)
        added_mb = resident_mb(pid, "VmHWM") - before_mb
        check.assertLess(added_mb, MAX_ADDED_MB)


def test_bodies_with_a_length_that_stop_short_filled_the_memory():
    """Guards against a bound on each body alone."""
    sent = BODY_BYTES - MISSING_BYTES
    _check_crowd(100, lambda: misbehaving_clients.with_length(BODY_BYTES, sent))


def test_large_bodies_that_stop_short_were_written_to_files():
    """Guards against temporary files: instances have no disk."""
    _check_crowd(30, lambda: misbehaving_clients.with_length(4 * MB, 4 * MB - 10))


def test_bodies_in_large_chunks_that_stop_short_filled_the_memory():
    """Guards against an account that takes only announced lengths into it."""
    _check_crowd(100, lambda: misbehaving_clients.in_chunks(65536, 8))


def test_bodies_of_one_byte_chunks_kept_the_event_loop_busy():
    """Guards against work for a body that grows with the square of its length."""
    _check_crowd(80, lambda: misbehaving_clients.in_chunks(1, 200_000))


def test_bodies_announced_far_over_the_limit_filled_the_memory():
    """Guards against bytes held of requests that are refused anyway."""
    _check_crowd(60, lambda: misbehaving_clients.with_length(64 * MB, 4 * MB))


def test_endless_chunked_bodies_filled_the_memory():
    """Guards against a bound that is looked at when a body is complete."""
    _check_crowd(40, lambda: misbehaving_clients.in_chunks(16_384, 512))


def test_chunk_extensions_without_end_filled_the_memory():
    """Guards against parts of the framing without a bound."""
    _check_crowd(
        60, lambda: misbehaving_clients.unterminated(b"1;a=", b"x" * 1024, 2 * MB)
    )


def test_trailers_without_end_filled_the_memory():
    """Guards against parts of the framing without a bound, at the end."""
    line = b"X-T: " + b"x" * 57 + b"\r\n"
    _check_crowd(
        60, lambda: misbehaving_clients.unterminated(b"1\r\nx\r\n0\r\n", line, 2 * MB)
    )


def test_many_large_legal_bodies_at_once_filled_the_memory():
    """Guards against a bound on incomplete bodies alone."""
    _check_crowd(30, lambda: misbehaving_clients.with_length(3 * MB, 3 * MB))


def test_many_large_legal_bodies_in_small_pieces_filled_the_memory():
    """Guards against a bound that a body passes piece by piece."""
    _check_crowd(30, lambda: misbehaving_clients.with_length(3 * MB, 3 * MB, 16_384))
