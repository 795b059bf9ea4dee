"""Latency of claims, appends a second, and answers during a log outage."""

import threading
import time
from concurrent import futures

import click

from benchmarks import _tables
from standins import launch
from tests import fixtures
from turmericward import runtime
from turmericward.adapters import errors, steward
from turmericward.wire import ttypes

SCOPE = "coop/alarm"


class _Pool:
    """One connection for each thread, assigned to the stewards in turn."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._local = threading.local()
        self._count = 0

    def client(self) -> steward.StewardClient:
        if not hasattr(self._local, "client"):
            address = self._addresses[self._count % len(self._addresses)]
            self._count += 1
            self._local.client = steward.StewardClient(address, 5.0)
        return self._local.client


def _claim(pool: _Pool) -> tuple[float, bool]:
    started = time.monotonic()
    request = ttypes.ClaimRequest(
        scope=SCOPE,
        key=runtime.new_id(),
        fingerprint="f",
        attempt=runtime.new_id(),
    )
    try:
        answer = pool.client().claim(request)
    except errors.StewardUnavailableError:
        return time.monotonic() - started, False
    granted = answer.state == ttypes.ClaimState.GRANTED
    return time.monotonic() - started, granted


def _appends(cluster) -> int:
    _, _, body = launch.request(cluster.log, "POST", "/_faults", {})
    return fixtures.json.loads(body)["appends"]


def _claim_rate(cluster, rate: int, seconds: float) -> list:
    pool = _Pool([cluster.steward_address(n) for n in cluster.nodes.values()])
    before = _appends(cluster)
    started = time.monotonic()
    with futures.ThreadPoolExecutor(200) as executor:
        futs = []
        for number in range(int(rate * seconds)):
            due = started + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
            futs.append(executor.submit(_claim, pool))
        results = [fut.result() for fut in futs]
    elapsed_s = time.monotonic() - started
    times = [1000 * took for took, granted in results if granted]
    return [
        rate,
        len(results) / elapsed_s,
        len(times) / len(results),
        _tables.percentile(times, 0.5),
        _tables.percentile(times, 0.99),
        (_appends(cluster) - before) / elapsed_s,
    ]


def _outage(cluster, calls: int) -> list:
    cluster.faults("log", outage=True)
    time.sleep(1)
    entry = next(iter(cluster.nodes.values())).entries[0]
    counts = {"keyed": 0, "unkeyed": 0, "stream": 0}
    for number in range(calls):
        keyed = fixtures.HEADERS | {"Idempotency-Key": f"out-{number}"}
        path = "/services/alarm/x"
        answers = {
            "keyed": launch.request(entry, "POST", path, {}, keyed),
            "unkeyed": launch.request(entry, "POST", path, {}, fixtures.HEADERS),
            "stream": launch.request(
                entry, "POST", "/v1/chat/completions", fixtures.chat(), fixtures.HEADERS
            ),
        }
        for name, (status, _, _) in answers.items():
            counts[name] += status == 200
    return [calls, *(count / calls for count in counts.values())]


@click.command()
@click.option("--rates", default="100,500,1000")
@click.option("--seconds", default=6.0)
def main(rates: str, seconds: float) -> None:
    """Claims new keys at six stewards, then sends calls during a log outage."""
    overrides = {"log_level": "error"}
    with fixtures.cluster(domains=tuple("abcdef"), overrides=overrides) as cluster:
        rows = [_claim_rate(cluster, int(rate), seconds) for rate in rates.split(",")]
        columns = ["claims/s", "reached/s", "granted"]
        columns += ["p50 ms", "p99 ms", "appends/s"]
        _tables.show("Claims at six stewards", columns, rows)
        columns = ["calls", "keyed", "without key", "streams"]
        _tables.show("Share answered in an outage", columns, [_outage(cluster, 50)])


if __name__ == "__main__":
    main()
