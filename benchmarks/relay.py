"""Processor time and delay that one entry process adds to each event."""

import contextlib
import http.client
import json
import threading
import time

import click

from benchmarks import _processes, _tables
from tests import fixtures


class _Caller(threading.Thread):
    """Reads one stream and records the delay of each event."""

    def __init__(self, address: str, number: int, tokens: int) -> None:
        super().__init__(daemon=True)
        self._address = address
        self._body = fixtures.chat(tokens=tokens, text=f"{number}")
        self.delays_ms: list[float] = []
        self.reads = 0
        self.first_s = 0.0
        self.status = 0

    def run(self) -> None:
        host, _, port = self._address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=120)
        started = time.monotonic()
        with contextlib.closing(conn):
            conn.request(
                "POST",
                "/v1/chat/completions",
                json.dumps(self._body),
                fixtures.HEADERS,
            )
            resp = conn.getresponse()
            self.status = resp.status
            while data := resp.read1(65536):
                self._record(data, time.time(), started)

    def _record(self, data: bytes, now: float, started: float) -> None:
        self.first_s = self.first_s or time.monotonic() - started
        self.reads += 1
        for line in data.split(b"\n"):
            if line.startswith(b"data: {"):
                with contextlib.suppress(ValueError):
                    sent_at = json.loads(line[6:])["created"]
                    self.delays_ms.append((now - sent_at) * 1000)


def _run(streams: int, tokens: int, token_s: float) -> list:
    engine = ("--token-s", str(token_s), "--clock", "--slots", "2000")
    overrides = {
        "entry.threads": streams + 40,
        "log_level": "warning",
    }
    with fixtures.cluster(
        domains=("a", "b"), engine_args=engine, overrides=overrides
    ) as cluster:
        entry = cluster.nodes["a0"].entries[0]
        pid = cluster.processes["entry-a0-0"].pid
        callers = [_Caller(entry, n, tokens) for n in range(streams)]
        started = time.monotonic()
        cpu_before_s = _processes.cpu_s(pid)
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(120)
        used_s = _processes.cpu_s(pid) - cpu_before_s
        elapsed_s = time.monotonic() - started
        rss = _processes.rss_mb(pid)
    delays = [d for c in callers for d in c.delays_ms]
    complete = sum(c.status == 200 and len(c.delays_ms) == tokens for c in callers)
    return [
        streams,
        complete,
        len(delays) / elapsed_s,
        1000 * used_s / max(1, len(delays)),
        _tables.percentile(delays, 0.5),
        _tables.percentile(delays, 0.95),
        _tables.percentile([c.first_s for c in callers], 0.95),
        rss,
    ]


@click.command()
@click.option("--streams", default="50,200,600")
@click.option("--tokens", default=100)
@click.option("--token-s", default=0.068)
def main(streams: str, tokens: int, token_s: float) -> None:
    """Prints one row for each number of streams; events carry their send time."""
    rows = [_run(int(count), tokens, token_s) for count in streams.split(",")]
    columns = ["streams", "whole", "events/s", "cpu ms/event"]
    columns += ["delay p50 ms", "delay p95 ms", "first p95 s", "rss MB"]
    _tables.show("Relay of one entry process", columns, rows)


if __name__ == "__main__":
    main()
