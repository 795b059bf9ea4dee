"""Measures what clients that misbehave add to the memory of a front.

`python -m benchmarks.held_memory` starts a front of 160 MB on loopback for each crowd
and prints one JSON line: resident memory before and added at most, temporary files,
descriptors, and the times of ordinary calls beside and after it.
"""

import json
import pathlib
import threading
import time

import click

from tests import misbehaving_clients, platform_fixtures, test_misbehaving_clients

MEMORY_MB = 160
SEND_S = 60.0
CALL_INTERVAL_S = 0.2
BODY_BYTES = 500_000
MISSING_BYTES = 10
EXTENSION_BYTES = 2_000_000


def _short_with_length():
    sent = BODY_BYTES - MISSING_BYTES
    return misbehaving_clients.with_length(BODY_BYTES, sent)


def _short_in_chunks():
    yield from misbehaving_clients.in_chunks(65536, BODY_BYTES // 65536)
    rest = BODY_BYTES % 65536
    yield misbehaving_clients.chunk(rest)[: -MISSING_BYTES - 2]


def _one_byte_chunks():
    return misbehaving_clients.in_chunks(1, 200_000)


def _extension():
    part = b"x" * 1024
    return misbehaving_clients.unterminated(b"1;a=", part, EXTENSION_BYTES)


# Name of a crowd: numbers of connections and what they send.
CROWDS = {
    "short with length": [(300, _short_with_length)],
    "short in chunks": [(300, _short_in_chunks)],
    "short with length, one-byte chunks": [
        (300, _short_with_length),
        (100, _one_byte_chunks),
    ],
    "chunk extensions": [(300, _extension)],
}


class _Calls:
    """Ordinary calls, one after the other, until the end."""

    def __init__(self, platform) -> None:
        self._platform = platform
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.results: list[tuple[int, float]] = []

    def __enter__(self) -> "_Calls":
        self._thread.start()
        return self

    def __exit__(self, *_) -> None:
        self._ending.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ending.wait(CALL_INTERVAL_S):
            self.results.append(_call(self._platform, f"c{len(self.results)}"))


def _call(platform, call_id: str) -> tuple[int, float]:
    began = time.monotonic()
    try:
        status = platform.call("GET", "/read/x", call_id)[0]
    except OSError:
        status = 0
    return status, time.monotonic() - began


def _measure(platform, groups) -> dict:
    resident_mb = test_misbehaving_clients.resident_mb
    pid = platform.process.pid
    before_mb = resident_mb(pid, "VmHWM")
    usage = test_misbehaving_clients.Usage(pid)
    crowds = [misbehaving_clients.Crowd(platform.front, *group) for group in groups]
    with _Calls(platform) as calls:
        threads = [
            threading.Thread(target=crowd.send, args=(SEND_S, usage.observe))
            for crowd in crowds
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    for crowd in crowds:
        crowd.close()
    status, after_s = _call(platform, "after")
    return {
        "before_mb": round(before_mb, 1),
        "added_mb": round(resident_mb(pid, "VmHWM") - before_mb, 1),
        "files": len(usage.files),
        "descriptors": usage.descriptors,
        "calls": len(calls.results),
        "answered": sum(s == 200 for s, _ in calls.results),
        "longest_s": round(max((t for _, t in calls.results), default=0.0), 2),
        "after": [status, round(after_s, 2)],
        "ended": _ended(pathlib.Path(platform.log)),
    }


def _ended(log: pathlib.Path) -> dict[str, int]:
    """Returns the logged reasons for which holdings ended."""
    counts: dict[str, int] = {}
    for line in log.read_text().splitlines():
        if '"memory_ended"' in line:
            reason = json.loads(line)["reason"]
            counts[reason] = counts.get(reason, 0) + 1
    return counts


@click.command()
@click.option("--crowd", "names", multiple=True, help="name; all by default")
def main(names: tuple[str, ...]) -> None:
    """Measures each crowd at a front of its own."""
    for name in names or CROWDS:
        with platform_fixtures.platform(("p1",), memory_mb=MEMORY_MB) as platform:
            test_misbehaving_clients.configure(platform)
            click.echo(json.dumps({name: _measure(platform, CROWDS[name])}))


if __name__ == "__main__":
    main()
