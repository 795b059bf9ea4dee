"""Time from the request of a change until it is in force on every entry."""

import contextlib
import http.client
import json
import threading
import time

import click

from benchmarks import _tables
from standins import launch
from tests import fixtures

PATH = "/apis/v1/model/probe"


class _Watcher(threading.Thread):
    """Records when an entry's watch shows each version."""

    def __init__(self, entry: str, since: int) -> None:
        super().__init__(daemon=True)
        self._entry = entry
        self._since = since
        self.seen_at: dict[int, float] = {}

    def run(self) -> None:
        host, _, port = self._entry.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=60)
        path = f"/apis/v1/model?watch=1&resourceVersion={self._since}"
        with contextlib.closing(conn), contextlib.suppress(OSError):
            conn.request("GET", path, headers=fixtures.OPERATOR)
            resp = conn.getresponse()
            while line := resp.readline():
                event = json.loads(line)
                if event["type"] != "BOOKMARK":
                    version = event["object"]["resourceVersion"]
                    self.seen_at[version] = time.monotonic()


def _put(entry: str, number: int) -> int:
    value = {"version": str(number)}
    status, _, body = launch.request(entry, "PUT", PATH, value, fixtures.OPERATOR)
    if status != 200:
        raise RuntimeError(f"change {number}: {status} {body!r}")
    return json.loads(body)["resourceVersion"]


@click.command()
@click.option("--changes", default=500)
@click.option("--domains", default="a,b,c,d,e,f", help="one entry in each")
def main(changes: int, domains: str) -> None:
    """Measures from before the request until each entry shows the change."""
    with fixtures.cluster(domains=tuple(domains.split(","))) as cluster:
        entries = [node.entries[0] for node in cluster.nodes.values()]
        since = _put(entries[0], -1)
        watchers = [_Watcher(entry, since) for entry in entries]
        for watcher in watchers:
            watcher.start()
        time.sleep(1)
        sent = {}
        for number in range(changes):
            started = time.monotonic()
            sent[_put(entries[number % len(entries)], number)] = started
        launch.wait_until(lambda: all(len(w.seen_at) >= changes for w in watchers))
        delays = [max(w.seen_at[v] for w in watchers) - at for v, at in sent.items()]
    rows = [
        [changes, len(entries)]
        + [1000 * _tables.percentile(delays, p) for p in (0.5, 0.99)]
        + [1000 * max(delays)]
    ]
    columns = ["changes", "entries", "p50 ms", "p99 ms", "max ms"]
    _tables.show("From the request to in force on every entry", columns, rows)


if __name__ == "__main__":
    main()
